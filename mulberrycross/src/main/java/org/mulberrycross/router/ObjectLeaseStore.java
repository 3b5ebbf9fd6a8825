package org.mulberrycross.router;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.mulberrycross.PeerException;
import org.mulberrycross.engine.LeaseStore;
import org.mulberrycross.engine.OrderLeaseRecord;
import org.mulberrycross.engine.StoredLease;
import org.mulberrycross.engine.http.LeaseCodec;
import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.StoredObject;

/**
 * Stores lease records as objects of kind {@code lease} in the object API. Thread-safe.
 */
public final class ObjectLeaseStore implements LeaseStore {

	/** Separates leases of engines from other leases, such as the publisher's. */
	private static final String KEY_PREFIX = "lease/orders-";

	private final ObjectStore store;

	/**
	 * Creates a lease store that keeps no state of its own.
	 * @param store the client of the object API, not null
	 */
	public ObjectLeaseStore(ObjectStore store) {
		this.store = Objects.requireNonNull(store, "store");
	}

	@Override
	public OptionalLong era() {
		return this.store.era();
	}

	@Override
	public Optional<StoredLease> read(String name) throws PeerException {
		Optional<StoredObject> object = this.store.read(KEY_PREFIX + name);
		if (object.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new StoredLease(object.get().version(), LeaseCodec.decode(object.get().value())));
	}

	@Override
	public OptionalLong write(String name, OrderLeaseRecord lease, long version) throws PeerException {
		byte[] value = LeaseCodec.encode(lease);
		return (version > 0) ? this.store.replace(KEY_PREFIX + name, value, version)
				: this.store.create(KEY_PREFIX + name, value);
	}

}
