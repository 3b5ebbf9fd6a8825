package org.mulberrycross.platform;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.operator.ObjectStatus;

/**
 * Writes the status objects of rejected edits to the object API. Accepted edits have no
 * status object, since the chunks of the head contain the accepted versions; accepting an
 * edit therefore requires no status write. Not thread-safe; owned by one publisher.
 */
final class RejectionStatus {

	/** Kind of status objects in the object API. */
	static final String KIND = "status";

	private static final int PAGE_SIZE = 500;

	/** Limits the size of a status object. */
	private static final int MAX_ERRORS = 20;

	private final ObjectStore store;

	private final ConfigurationCodec codec;

	private final Map<String, VersionedStatus> storedStatuses = new HashMap<>();

	private boolean loaded;

	RejectionStatus(ObjectStore store, ConfigurationCodec codec) {
		this.store = Objects.requireNonNull(store, "store");
		this.codec = Objects.requireNonNull(codec, "codec");
	}

	/**
	 * Returns the key of the status object of an operator's object.
	 * @param key the key of the operator's object, {@code kind/name}
	 * @return the key of the status object, {@code status/kind.name}
	 */
	static String statusKey(String key) {
		return KIND + "/" + key.replace('/', '.');
	}

	/**
	 * Makes the next update reload the status objects.
	 */
	void invalidate() {
		this.loaded = false;
	}

	/**
	 * Writes the status objects of the rejected edits and deletes all others.
	 * @param rejections the rejected edits, not null
	 * @throws PeerException if a call to the store fails or another publisher has changed
	 * a status object; the next update then reloads them
	 */
	void update(List<Rejection> rejections) throws PeerException {
		boolean complete = false;
		try {
			if (!this.loaded) {
				loadAll();
			}
			writeStatuses(rejections);
			complete = true;
		}
		finally {
			this.loaded = complete;
		}
	}

	private void loadAll() throws PeerException {
		this.storedStatuses.clear();
		String afterKey = "";
		ObjectPage page;
		do {
			page = this.store.list(Set.of(KIND), afterKey, PAGE_SIZE);
			for (StoredObject stored : page.objects()) {
				afterKey = stored.key();
				// Skips status objects that do not describe an operator's object.
				int dot = stored.name().indexOf('.');
				if (dot > 0 && ObjectMirror.KINDS.contains(stored.name().substring(0, dot))) {
					this.storedStatuses.put(stored.key(), new VersionedStatus(stored.version(),
							this.codec.decode(stored.value(), ObjectStatus.class)));
				}
			}
		}
		while (page.more());
	}

	private void writeStatuses(List<Rejection> rejections) throws PeerException {
		Set<String> outdatedKeys = new HashSet<>(this.storedStatuses.keySet());
		for (Rejection rejection : rejections) {
			String key = statusKey(rejection.edit().key());
			outdatedKeys.remove(key);
			ObjectStatus status = new ObjectStatus(rejection.edit().key(), rejection.edit().version(),
					ObjectStatus.State.REJECTED, rejection.errors().stream().limit(MAX_ERRORS).toList());
			VersionedStatus stored = this.storedStatuses.get(key);
			// The comparison includes the texts of the reasons. They must not change, or
			// the publishers in a rolling upgrade rewrite every status object.
			if (stored != null && stored.status().equals(status)) {
				continue;
			}
			OptionalLong version = ConditionalWrite.write(this.store, key, this.codec.encode(status),
					(stored != null) ? OptionalLong.of(stored.version()) : OptionalLong.empty(),
					(value) -> this.codec.decode(value, ObjectStatus.class).equals(status));
			this.storedStatuses.put(key, new VersionedStatus(version.orElseThrow(() -> conflict(key)), status));
		}
		for (String key : outdatedKeys) {
			if (!this.store.delete(key, this.storedStatuses.get(key).version())) {
				throw conflict(key);
			}
			this.storedStatuses.remove(key);
		}
	}

	private static PeerException conflict(String key) {
		return new PeerException(Step.WRITE_OBJECT, new Peer(Peer.Kind.PLATFORM, ""),
				key + " was changed by another publisher");
	}

	/**
	 * Status object with its version in the object API.
	 *
	 * @param version the version
	 * @param status the decoded status
	 */
	private record VersionedStatus(long version, ObjectStatus status) {

	}

}
