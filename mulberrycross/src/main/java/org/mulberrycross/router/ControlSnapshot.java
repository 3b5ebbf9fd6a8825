package org.mulberrycross.router;

import java.util.Objects;

import org.mulberrycross.engine.EngineView;
import org.mulberrycross.operator.Configuration;

/**
 * Control state at one moment, for traffic threads. Immutable and thread-safe.
 *
 * @param configuration the configuration in force, not null
 * @param engines the engines, not null
 * @param draining whether the daemon is shutting down
 */
public record ControlSnapshot(Configuration configuration, EngineView engines, boolean draining) {

	/**
	 * Creates a snapshot.
	 * @param configuration the configuration in force, not null
	 * @param engines the engines, not null
	 * @param draining whether the daemon is shutting down
	 */
	public ControlSnapshot {
		Objects.requireNonNull(configuration, "configuration");
		Objects.requireNonNull(engines, "engines");
	}

}
