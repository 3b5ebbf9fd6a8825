package org.mulberrycross.router;

import java.util.Objects;
import java.util.Set;

import org.mulberrycross.engine.EngineView;
import org.mulberrycross.operator.Configuration;

/**
 * Control state at one moment, for traffic threads. Immutable and thread-safe.
 *
 * @param configuration the configuration in force, not null
 * @param engines the engines, not null
 * @param leaving the names of the upstreams that get no new work, not null
 * @param draining whether the daemon is shutting down
 */
public record ControlSnapshot(Configuration configuration, EngineView engines, Set<String> leaving, boolean draining) {

	/**
	 * Creates a snapshot.
	 * @param configuration the configuration in force, not null
	 * @param engines the engines, not null
	 * @param leaving the names of the upstreams that get no new work, not null
	 * @param draining whether the daemon is shutting down
	 */
	public ControlSnapshot {
		Objects.requireNonNull(configuration, "configuration");
		Objects.requireNonNull(engines, "engines");
		leaving = Set.copyOf(leaving);
	}

}
