package org.mulberrycross.platform;

import java.util.List;

/**
 * One page of a list of objects. Immutable and thread-safe.
 *
 * @param revision the revision of the store at which the page was read
 * @param objects the objects, ordered by key
 * @param more whether objects follow after the last one of this page
 */
public record ObjectPage(long revision, List<StoredObject> objects, boolean more) {

	/**
	 * Creates a page.
	 * @param revision the revision of the store at which the page was read
	 * @param objects the objects, ordered by key, not null
	 * @param more whether objects follow after the last one of this page
	 */
	public ObjectPage {
		objects = List.copyOf(objects);
	}

}
