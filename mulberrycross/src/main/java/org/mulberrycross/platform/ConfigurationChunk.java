package org.mulberrycross.platform;

import java.util.List;
import java.util.Objects;

/**
 * Accepted objects of one bucket. Immutable and thread-safe. The token makes the content,
 * and therefore the digest, of every written chunk unique, so that a later generation can
 * never reference a chunk that is being deleted.
 *
 * @param generation the generation that the chunk was written for; the first head that
 * can reference the chunk is that of this generation
 * @param token unique for every attempt to write a head
 * @param objects the objects, ordered by key
 */
public record ConfigurationChunk(long generation, String token, List<AcceptedObject> objects) {

	/** Kind of chunks in the object API. */
	public static final String KIND = "chunk";

	/**
	 * Creates a chunk.
	 * @param generation the generation that the chunk was written for
	 * @param token unique for every attempt to write a head, not null
	 * @param objects the objects; null means none
	 */
	public ConfigurationChunk {
		Objects.requireNonNull(token, "token");
		objects = (objects != null) ? List.copyOf(objects) : List.of();
	}

	/**
	 * Returns the key of a chunk in the object API.
	 * @param digest the SHA-256 digest of the chunk in lower-case hexadecimal
	 * @return the key
	 */
	public static String key(String digest) {
		return KIND + "/" + digest;
	}

}
