package org.mulberrycross.platform.http;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * JSON messages of the object API, also used by the platform stand-in.
 */
public final class ObjectMessages {

	private ObjectMessages() {
	}

	/**
	 * Response body of a list. Immutable.
	 *
	 * @param revision the revision of the store at which the page was read
	 * @param objects the objects, ordered by key
	 * @param more whether objects follow after the last one of this page
	 */
	public record Page(long revision, List<Item> objects, boolean more) {

	}

	/**
	 * Response body of a watch. Immutable.
	 *
	 * @param revision the revision from which the next watch continues
	 * @param changes the changes in the order in which they were made; one without a
	 * value is a deletion
	 * @param compacted whether the store no longer retains the changes since the watched
	 * revision, so that the objects must be listed again
	 */
	public record Changes(long revision, List<Item> changes, boolean compacted) {

	}

	/**
	 * An object in the response of a list or watch. Immutable.
	 *
	 * @param key the key, {@code kind/name}
	 * @param version the version
	 * @param value the value, empty for a deletion
	 */
	public record Item(String key, long version, Optional<JsonNode> value) {

	}

}
