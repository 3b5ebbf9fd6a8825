package org.mulberrycross.router;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.mulberrycross.PeerException;
import org.mulberrycross.engine.LeaseRecord;
import org.mulberrycross.engine.LeaseStore;
import org.mulberrycross.engine.StoredLease;
import org.mulberrycross.engine.http.LeaseCodec;
import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.StoredObject;

/**
 * Lease records as objects of kind {@code lease} in the object API. Thread-safe.
 */
public final class ObjectLeaseStore implements LeaseStore {

	/** Keeps an engine's name apart from other leases, such as the publisher's. */
	private static final String PREFIX = "lease/orders-";

	private final ObjectStore store;

	/**
	 * Creates a store.
	 * @param store the object API, not null
	 */
	public ObjectLeaseStore(ObjectStore store) {
		this.store = Objects.requireNonNull(store, "store");
	}

	@Override
	public Optional<StoredLease> read(String name) throws PeerException {
		Optional<StoredObject> object = this.store.read(PREFIX + name);
		if (object.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new StoredLease(object.get().version(), LeaseCodec.decode(object.get().value())));
	}

	@Override
	public OptionalLong write(String name, LeaseRecord lease, long version) throws PeerException {
		byte[] value = LeaseCodec.encode(lease);
		return (version > 0) ? this.store.replace(PREFIX + name, value, version)
				: this.store.create(PREFIX + name, value);
	}

}
