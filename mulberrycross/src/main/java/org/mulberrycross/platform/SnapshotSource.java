package org.mulberrycross.platform;

import java.util.Optional;

import org.mulberrycross.PeerException;

/**
 * Source of the accepted configuration: the object API or a sibling daemon.
 * Implementations are thread-safe and block for a bounded time.
 */
public interface SnapshotSource {

	/**
	 * Reads the head.
	 * @return a {@link ConfigurationHead} as JSON in UTF-8, or empty if nothing was
	 * accepted yet
	 * @throws PeerException if the source cannot be read
	 */
	Optional<byte[]> head() throws PeerException;

	/**
	 * Reads a chunk.
	 * @param digest the SHA-256 digest of the chunk in lower-case hexadecimal, not null
	 * @return the encoded chunk, or empty if the source does not have it
	 * @throws PeerException if the source cannot be read
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
