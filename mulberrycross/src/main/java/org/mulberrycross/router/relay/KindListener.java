package org.mulberrycross.router.relay;

import java.util.List;

import org.mulberrycross.platform.ObjectChange;
import org.mulberrycross.platform.StoredObject;

/**
 * Receives the objects of one kind in the store. Called on the thread of a
 * {@link KindWatcher}.
 */
interface KindListener {

	/**
	 * Called when all objects were listed.
	 * @param objects the objects, which replace all earlier ones
	 * @param asOf the time up to which the list is known to be current
	 */
	void onListed(List<StoredObject> objects, ClockReading asOf);

	/**
	 * Called when a watch returned, also without changes.
	 * @param changes the changes in order, may be empty
	 * @param asOf the time up to which the objects are known to be current
	 */
	void onChanged(List<ObjectChange> changes, ClockReading asOf);

	/**
	 * Called before {@link #onListed} if the store has come back from an older copy since
	 * the last call. What was written in the seconds before is gone, and its writers
	 * write it again.
	 */
	void onStoreRestored();

	/** Called when the store becomes unavailable. */
	void onStoreUnavailable();

	/** Called when the store is available again after an outage. */
	void onStoreAvailable();

	/**
	 * Called instead of {@link #onStoreAvailable()} if the store responded to the first
	 * call on another connection: only the connection was lost.
	 */
	void onConnectionReplaced();

}
