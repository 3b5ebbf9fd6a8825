package org.mulberrycross.platform.http;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * JSON messages of the object API. Shared with the platform stand-in.
 */
public final class ObjectMessages {

	private ObjectMessages() {
	}

	/**
	 * Body of a list. Immutable.
	 *
	 * @param revision the revision of the store
	 * @param objects the objects
	 * @param more whether objects follow
	 */
	public record Page(long revision, List<Item> objects, boolean more) {

	}

	/**
	 * Body of a watch. Immutable.
	 *
	 * @param revision the revision from which the next watch continues
	 * @param changes the changes; one without a value is a deletion
	 * @param compacted whether the objects must be listed again
	 */
	public record Changes(long revision, List<Item> changes, boolean compacted) {

	}

	/**
	 * An object in a list or watch. Immutable.
	 *
	 * @param key the key, {@code kind/name}
	 * @param version the version
	 * @param value the value, empty for a deletion
	 */
	public record Item(String key, long version, Optional<JsonNode> value) {

	}

}
