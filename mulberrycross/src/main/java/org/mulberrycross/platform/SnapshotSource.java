package org.mulberrycross.platform;

import java.util.Optional;

import org.mulberrycross.PeerException;

/**
 * Where a daemon gets the accepted configuration from: the object API or a sibling
 * daemon. Implementations are thread-safe and block with a bound.
 */
public interface SnapshotSource {

	/**
	 * Reads the head.
	 * @return the JSON text of a {@link ConfigurationHead}, or empty if there is none
	 * @throws PeerException if the source does not answer
	 */
	Optional<byte[]> head() throws PeerException;

	/**
	 * Reads a chunk.
	 * @param digest the SHA-256 of the chunk in lower-case hexadecimal, not null
	 * @return the bytes of the chunk, or empty if the source does not have it
	 * @throws PeerException if the source does not answer
	 */
	Optional<byte[]> chunk(String digest) throws PeerException;

	/**
	 * Returns a source that reads from the object API.
	 * @param store the object API, not null
	 * @return the source
	 */
	static SnapshotSource of(ObjectStore store) {
		return new SnapshotSource() {

			@Override
			public Optional<byte[]> head() throws PeerException {
				return store.read(ConfigurationHead.KEY).map(StoredObject::value);
			}

			@Override
			public Optional<byte[]> chunk(String digest) throws PeerException {
				return store.read(ConfigurationChunk.key(digest)).map(StoredObject::value);
			}

		};
	}

}
