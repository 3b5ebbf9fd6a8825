package org.mulberrycross.platform;

import java.util.List;
import java.util.Objects;

/**
 * References the chunks of the accepted configuration. A generation is accepted at the
 * moment when the head is replaced in the object API. Immutable and thread-safe.
 *
 * @param generation the generation
 * @param revision the revision of the operators' objects that the generation is based on
 * @param token unique for every attempt to write a head
 * @param chunks the SHA-256 digest of the chunk of each bucket in lower-case hexadecimal,
 * empty for a bucket without objects
 */
public record ConfigurationHead(long generation, long revision, String token, List<String> chunks) {

	/** Key of the head in the object API. */
	public static final String KEY = "head/config";

	/** Kind of the head in the object API. */
	public static final String KIND = "head";

	/**
	 * Creates a head.
	 * @param generation the generation
	 * @param revision the revision of the operators' objects
	 * @param token unique for every attempt to write a head, not null
	 * @param chunks the digest of the chunk of each bucket; null means none
	 */
	public ConfigurationHead {
		Objects.requireNonNull(token, "token");
		chunks = (chunks != null) ? List.copyOf(chunks) : List.of();
	}

}
