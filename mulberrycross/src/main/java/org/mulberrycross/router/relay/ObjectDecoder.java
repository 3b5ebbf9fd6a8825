package org.mulberrycross.router.relay;

import java.util.Optional;

import org.mulberrycross.platform.StoredObject;

/**
 * Decodes objects of one kind from the platform's store.
 *
 * @param <T> the decoded type
 */
@FunctionalInterface
public interface ObjectDecoder<T> {

	/**
	 * Decodes an object.
	 * @param object the object, not null
	 * @return the value, or empty if the object does not contain a valid one
	 */
	Optional<T> decode(StoredObject object);

}
