package org.mulberrycross.router.relay;

import java.util.List;

import org.mulberrycross.platform.ObjectChange;
import org.mulberrycross.platform.StoredObject;

/**
 * Learns of the objects of one kind. Called on the thread of a {@link KindFollower}.
 */
interface KindListener {

	/**
	 * All objects were read.
	 * @param objects the objects, in place of what was known before
	 * @param asOf the moment up to which they are surely known
	 */
	void listed(List<StoredObject> objects, Freshness asOf);

	/**
	 * Some objects have changed, or none has.
	 * @param changes the changes in order
	 * @param asOf the moment up to which the objects are surely known now
	 */
	void changed(List<ObjectChange> changes, Freshness asOf);

	/** The store does not answer. */
	void lost();

	/** The store answers again. */
	void regained();

}
