package org.mulberrycross.engine;

/**
 * Learns what happens while streams recover. Called on the threads that run streams;
 * implementations are thread-safe and do not block.
 */
@FunctionalInterface
public interface RecoveryListener {

	/**
	 * Receives an event.
	 * @param event the event, not null
	 */
	void on(RecoveryEvent event);

}
