package org.mulberrycross.router;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.mulberrycross.PeerException;
import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.service.IntentRecord;
import org.mulberrycross.service.IntentStore;
import org.mulberrycross.service.StoredIntent;
import org.mulberrycross.service.http.IntentCodec;

/**
 * Stores intent records as objects of kind {@code intent} in the object API. Thread-safe.
 */
public final class ObjectIntentStore implements IntentStore {

	private static final String KIND = "intent";

	private final ObjectStore store;

	/**
	 * Creates an intent store that keeps no state of its own.
	 * @param store the client of the object API, not null
	 */
	public ObjectIntentStore(ObjectStore store) {
		this.store = Objects.requireNonNull(store, "store");
	}

	@Override
	public Optional<StoredIntent> read(String name) throws PeerException {
		Optional<StoredObject> object = this.store.read(key(name));
		return object.isPresent() ? Optional.of(decode(object.get())) : Optional.empty();
	}

	@Override
	public OptionalLong create(String name, IntentRecord intent) throws PeerException {
		return this.store.create(key(name), IntentCodec.encode(intent));
	}

	@Override
	public OptionalLong replace(String name, IntentRecord intent, long version) throws PeerException {
		return this.store.replace(key(name), IntentCodec.encode(intent), version);
	}

	@Override
	public boolean delete(String name, long version) throws PeerException {
		return this.store.delete(key(name), version);
	}

	@Override
	public List<StoredIntent> list(String after, int limit) throws PeerException {
		List<StoredIntent> intents = new ArrayList<>();
		for (StoredObject object : this.store.list(Set.of(KIND), after.isEmpty() ? "" : key(after), limit).objects()) {
			intents.add(decode(object));
		}
		return intents;
	}

	private static StoredIntent decode(StoredObject object) throws PeerException {
		return new StoredIntent(object.name(), object.version(), IntentCodec.decode(object.value()));
	}

	private static String key(String name) {
		return KIND + "/" + name;
	}

}
