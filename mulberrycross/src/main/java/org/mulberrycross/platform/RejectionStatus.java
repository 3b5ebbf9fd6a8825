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
 * Status objects of rejected edits in the object API. Accepted edits need none, since the
 * head names the accepted versions; a change that is accepted so costs no status write.
 * Not thread-safe; one publisher owns it.
 */
final class RejectionStatus {

	/** Kind of status objects in the object API. */
	static final String KIND = "status";

	private static final int PAGE_SIZE = 500;

	/** Bounds the size of a status object. */
	private static final int MAX_FAULTS = 20;

	private final ObjectStore store;

	private final ConfigurationCodec codec;

	private final Map<String, Stored> known = new HashMap<>();

	private boolean read;

	RejectionStatus(ObjectStore store, ConfigurationCodec codec) {
		this.store = Objects.requireNonNull(store, "store");
		this.codec = Objects.requireNonNull(codec, "codec");
	}

	/**
	 * Returns the key of the status of an object.
	 * @param key the key of the object
	 * @return the key of its status
	 */
	static String key(String key) {
		return KIND + "/" + key.replace('/', '.');
	}

	/**
	 * Makes the next update read the status objects anew.
	 */
	void forget() {
		this.read = false;
	}

	/**
	 * Writes the status of the rejected edits and removes all others.
	 * @param rejections the rejected edits, not null
	 * @throws PeerException if the store does not answer or another publisher has changed
	 * a status object; the next update then reads them anew
	 */
	void update(List<Rejection> rejections) throws PeerException {
		boolean complete = false;
		try {
			if (!this.read) {
				readAll();
			}
			write(rejections);
			complete = true;
		}
		finally {
			this.read = complete;
		}
	}

	private void readAll() throws PeerException {
		this.known.clear();
		String after = "";
		ObjectPage page;
		do {
			page = this.store.list(Set.of(KIND), after, PAGE_SIZE);
			for (StoredObject stored : page.objects()) {
				after = stored.key();
				int dot = stored.name().indexOf('.');
				if (dot > 0 && ObjectMirror.KINDS.contains(stored.name().substring(0, dot))) {
					this.known.put(stored.key(),
							new Stored(stored.version(), this.codec.decode(stored.value(), ObjectStatus.class)));
				}
			}
		}
		while (page.more());
	}

	private void write(List<Rejection> rejections) throws PeerException {
		Set<String> outdated = new HashSet<>(this.known.keySet());
		for (Rejection rejection : rejections) {
			String key = key(rejection.edit().key());
			outdated.remove(key);
			ObjectStatus status = new ObjectStatus(rejection.edit().key(), rejection.edit().version(),
					ObjectStatus.State.REJECTED, rejection.faults().stream().limit(MAX_FAULTS).toList());
			Stored stored = this.known.get(key);
			if (stored != null && stored.status().equals(status)) {
				continue;
			}
			OptionalLong version = ConditionalWrite.write(this.store, key, this.codec.encode(status),
					(stored != null) ? OptionalLong.of(stored.version()) : OptionalLong.empty(),
					(value) -> this.codec.decode(value, ObjectStatus.class).equals(status));
			this.known.put(key, new Stored(version.orElseThrow(() -> conflict(key)), status));
		}
		for (String key : outdated) {
			if (!this.store.delete(key, this.known.get(key).version())) {
				throw conflict(key);
			}
			this.known.remove(key);
		}
	}

	private static PeerException conflict(String key) {
		return new PeerException(Step.WRITE_OBJECT, new Peer(Peer.Kind.PLATFORM, ""),
				key + " was changed by another publisher");
	}

	/**
	 * Status object as it is in the object API.
	 *
	 * @param version the version
	 * @param status the status
	 */
	private record Stored(long version, ObjectStatus status) {

	}

}
