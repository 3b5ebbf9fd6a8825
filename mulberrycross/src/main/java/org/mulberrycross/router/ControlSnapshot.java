package org.mulberrycross.router;

import java.util.Objects;
import java.util.Set;

import org.mulberrycross.engine.EngineView;
import org.mulberrycross.operator.Configuration;

/**
 * Snapshot of the control state for traffic threads. Immutable and thread-safe.
 *
 * @param configuration the current configuration, not null
 * @param engines the state of all engines, not null
 * @param leaving the names of the upstreams that receive no new requests, not null
 * @param draining whether the daemon is shutting down
 */
public record ControlSnapshot(Configuration configuration, EngineView engines, Set<String> leaving, boolean draining) {

	/**
	 * Creates a snapshot.
	 * @param configuration the current configuration, not null
	 * @param engines the state of all engines, not null
	 * @param leaving the names of the upstreams that receive no new requests, not null
	 * @param draining whether the daemon is shutting down
	 */
	public ControlSnapshot {
		Objects.requireNonNull(configuration, "configuration");
		Objects.requireNonNull(engines, "engines");
		leaving = Set.copyOf(leaving);
	}

}
