package org.mulberrycross.platform;

import java.util.List;

/**
 * A page of a list. Immutable and thread-safe.
 *
 * @param revision the revision of the store at which the page was read
 * @param objects the objects in the order of their keys
 * @param more whether objects follow after the last one
 */
public record ObjectPage(long revision, List<StoredObject> objects, boolean more) {

	/**
	 * Creates a page.
	 * @param revision the revision of the store at which the page was read
	 * @param objects the objects in the order of their keys, not null
	 * @param more whether objects follow after the last one
	 */
	public ObjectPage {
		objects = List.copyOf(objects);
	}

}
