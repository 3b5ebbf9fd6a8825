package org.mulberrycross.platform;

import java.util.List;
import java.util.Objects;

import org.mulberrycross.StorePosition;

/**
 * One page of a list of objects. Immutable and thread-safe.
 *
 * @param position the position of the store at which the page was read, not null
 * @param objects the objects, ordered by key
 * @param more whether objects follow after the last one of this page
 */
public record ObjectPage(StorePosition position, List<StoredObject> objects, boolean more) {

	/**
	 * Creates a page.
	 * @param position the position of the store at which the page was read, not null
	 * @param objects the objects, ordered by key, not null
	 * @param more whether objects follow after the last one of this page
	 */
	public ObjectPage {
		Objects.requireNonNull(position, "position");
		objects = List.copyOf(objects);
	}

	/**
	 * Creates a page of a store that names no eras.
	 * @param revision the revision of the store at which the page was read
	 * @param objects the objects, ordered by key, not null
	 * @param more whether objects follow after the last one of this page
	 */
	public ObjectPage(long revision, List<StoredObject> objects, boolean more) {
		this(StorePosition.of(revision), objects, more);
	}

	/**
	 * Returns the revision of the position.
	 * @return the revision of the store at which the page was read
	 */
	public long revision() {
		return this.position.revision();
	}

}
