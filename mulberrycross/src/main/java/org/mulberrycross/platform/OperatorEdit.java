package org.mulberrycross.platform;

import org.mulberrycross.operator.OperatorObject;
import org.mulberrycross.operator.ValidationError;

/**
 * Latest edit of an operator's object in the object API. Immutable and thread-safe.
 */
public sealed interface OperatorEdit {

	/**
	 * Returns the key of the edited object.
	 * @return the key, {@code kind/name}
	 */
	String key();

	/**
	 * Returns the version of the object after the edit.
	 * @return the version; for a deletion that is known only from the absence of the
	 * object, the revision at which it was absent
	 */
	long version();

	/**
	 * Creation or replacement of an object.
	 *
	 * @param key the key of the object, {@code kind/name}
	 * @param version the version
	 * @param object the object, not null
	 */
	record Put(String key, long version, OperatorObject object) implements OperatorEdit {

	}

	/**
	 * Edit whose value cannot be decoded as an object of its kind.
	 *
	 * @param key the key of the object, {@code kind/name}
	 * @param version the version
	 * @param error the reason why the value cannot be decoded, not null
	 */
	record Unreadable(String key, long version, ValidationError error) implements OperatorEdit {

	}

	/**
	 * Deletion of an object.
	 *
	 * @param key the key of the object, {@code kind/name}
	 * @param version the version of the deletion
	 */
	record Deleted(String key, long version) implements OperatorEdit {

	}

}
