package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Optional;

import org.mulberrycross.StorePosition;

/**
 * Asks a sibling for the changes of one kind of objects before the store is asked.
 * Blocks. Implementations are used by one thread.
 */
@FunctionalInterface
interface SiblingWatch {

	/** For daemons that always ask the store. */
	SiblingWatch NONE = (after, confirmedAsOf, trust) -> Optional.empty();

	/**
	 * Waits for changes after a position, or for a newer confirmation that there are
	 * none.
	 * @param after the position up to which the changes are known, not null
	 * @param confirmedAsOf the time up to which this is confirmed
	 * @param trust the age of the confirmation by which the store must be asked
	 * @return what the sibling knows, or empty if the store must be asked now
	 */
	Optional<SiblingChanges> changesAfter(StorePosition after, ClockReading confirmedAsOf, Duration trust);

}
