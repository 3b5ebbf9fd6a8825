package org.mulberrycross.engine;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * A stream on a path of engines as a router sees it. Immutable and thread-safe.
 *
 * @param id the id, unique among the streams observed together, not null
 * @param engineIds the ids of the engines of its path, not null
 * @param begun whether an event has arrived on this path
 * @param lastActivityNanos the time of the last event or, before it, of sending
 * @param pace the pauses to expect; before the first event, the usual times until it; not
 * null
 * @param silenceLimit the silence after the last activity from which on the stream is
 * late, not null
 * @param movable whether the stream may be moved to another path now
 */
public record ObservedStream(String id, List<String> engineIds, boolean begun, long lastActivityNanos, StreamPace pace,
		Duration silenceLimit, boolean movable) {

	/**
	 * Creates an observation.
	 * @param id the id, not null
	 * @param engineIds the ids of the engines of its path, not null
	 * @param begun whether an event has arrived on this path
	 * @param lastActivityNanos the time of the last event or, before it, of sending
	 * @param pace the pauses to expect, not null
	 * @param silenceLimit the silence from which on the stream is late, not null
	 * @param movable whether the stream may be moved to another path now
	 */
	public ObservedStream {
		Objects.requireNonNull(id, "id");
		engineIds = List.copyOf(engineIds);
		Objects.requireNonNull(pace, "pace");
		Objects.requireNonNull(silenceLimit, "silenceLimit");
	}

}
