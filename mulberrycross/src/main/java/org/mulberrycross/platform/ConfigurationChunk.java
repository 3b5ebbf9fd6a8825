package org.mulberrycross.platform;

import java.util.List;
import java.util.Objects;

/**
 * Accepted objects of one bucket. Immutable and thread-safe. The token makes the content,
 * and so the digest, of every written chunk unique: a chunk that was dropped and is being
 * removed can then never be needed again by a later generation.
 *
 * @param generation the generation that the chunk was written for; only the head of this
 * generation can be the first to name it
 * @param token unique for every attempt to write a head
 * @param objects the objects in the order of their keys
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
	 * @param digest the digest of the chunk
	 * @return the key
	 */
	public static String key(String digest) {
		return KIND + "/" + digest;
	}

}
