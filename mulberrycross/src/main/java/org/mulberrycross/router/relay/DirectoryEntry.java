package org.mulberrycross.router.relay;

import java.util.Objects;
import java.util.Optional;

import org.mulberrycross.UpstreamInstance;
import org.mulberrycross.engine.EngineInstance;

/**
 * One entry of the platform's list of upstreams. Immutable and thread-safe.
 *
 * @param instance the instance, not null
 * @param engine the engine data if the instance is a model engine, not null
 */
public record DirectoryEntry(UpstreamInstance instance, Optional<EngineInstance> engine) {

	/**
	 * Creates an entry.
	 * @param instance the instance, not null
	 * @param engine the engine, or empty for an instance of a plain service, not null
	 */
	public DirectoryEntry {
		Objects.requireNonNull(instance, "instance");
		Objects.requireNonNull(engine, "engine");
	}

}
