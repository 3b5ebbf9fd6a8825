package org.mulberrycross.engine;

import java.util.Objects;
import java.util.Optional;

import org.mulberrycross.UpstreamInstance;

/**
 * An engine and what it holds, as it last said. Immutable and thread-safe.
 *
 * @param upstream the instance, not null
 * @param kind the name of its kind of accelerator, not null
 * @param layers the layers that it holds, or empty for none, not null
 * @param weightsVersion the version of its weights, 0 for none
 */
public record EngineInstance(UpstreamInstance upstream, String kind, Optional<LayerRange> layers, long weightsVersion) {

	/**
	 * Creates an engine.
	 * @param upstream the instance, not null
	 * @param kind the name of its kind of accelerator, not null
	 * @param layers the layers that it holds, or empty, not null
	 * @param weightsVersion the version of its weights
	 */
	public EngineInstance {
		Objects.requireNonNull(upstream, "upstream");
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(layers, "layers");
	}

	/**
	 * Returns the id.
	 * @return the id of the instance
	 */
	public String id() {
		return this.upstream.id();
	}

}
