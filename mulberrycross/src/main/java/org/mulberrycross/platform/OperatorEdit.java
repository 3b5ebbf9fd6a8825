package org.mulberrycross.platform;

import org.mulberrycross.operator.Fault;
import org.mulberrycross.operator.OperatorObject;

/**
 * Latest edit of a key by an operator, as seen in the object API. Immutable and
 * thread-safe.
 */
public sealed interface OperatorEdit {

	/**
	 * Returns the key of the edited object.
	 * @return the key, {@code kind/name}
	 */
	String key();

	/**
	 * Returns the version of the object after the edit.
	 * @return the version; for a deletion seen only as an absence, the revision at which
	 * the absence was seen
	 */
	long version();

	/**
	 * Object that was created or replaced.
	 *
	 * @param key the key
	 * @param version the version
	 * @param object the object, not null
	 */
	record Put(String key, long version, OperatorObject object) implements OperatorEdit {

	}

	/**
	 * Value that is no object of its kind.
	 *
	 * @param key the key
	 * @param version the version
	 * @param fault why the value cannot be read, not null
	 */
	record Unreadable(String key, long version, Fault fault) implements OperatorEdit {

	}

	/**
	 * Object that was deleted.
	 *
	 * @param key the key
	 * @param version the version of the deletion
	 */
	record Deleted(String key, long version) implements OperatorEdit {

	}

}
