package org.mulberrycross.engine;

/**
 * Receives the events of recovering streams on the threads that run the streams.
 * Implementations are thread-safe and do not block.
 */
@FunctionalInterface
public interface RecoveryListener {

	/**
	 * Receives an event.
	 * @param event the event, not null
	 */
	void onEvent(RecoveryEvent event);

}
