package org.mulberrycross.router.relay;

import java.util.function.Consumer;

import org.mulberrycross.engine.CrashEvent;

/**
 * Publishes events about requests that may crash engines to all daemons. Never blocks.
 */
@FunctionalInterface
interface CrashEventPublisher {

	/**
	 * Publishes an event.
	 * @param event the event, not null
	 * @param onResult receives, on the control thread, whether the event was published;
	 * false if another daemon has published the same claim, or on failure
	 */
	void publish(CrashEvent event, Consumer<Boolean> onResult);

}
