package org.mulberrycross.router.relay;

import java.util.Objects;
import java.util.Optional;

import org.mulberrycross.UpstreamInstance;
import org.mulberrycross.engine.EngineInstance;

/**
 * One entry of the platform's list of upstreams. Immutable and thread-safe.
 *
 * @param instance the instance, not null
 * @param engine what it holds, if it is a model engine, not null
 */
public record DirectoryEntry(UpstreamInstance instance, Optional<EngineInstance> engine) {

	/**
	 * Creates an entry.
	 * @param instance the instance, not null
	 * @param engine what it holds, or empty, not null
	 */
	public DirectoryEntry {
		Objects.requireNonNull(instance, "instance");
		Objects.requireNonNull(engine, "engine");
	}

}
