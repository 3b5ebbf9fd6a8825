package org.mulberrycross.engine;

import java.util.Objects;
import java.util.Optional;

import org.mulberrycross.UpstreamInstance;

/**
 * Engine instance with its layers and weights as last reported. Immutable and
 * thread-safe.
 *
 * @param upstream the instance, not null
 * @param kind the name of its accelerator kind, not null
 * @param layers the layers that it holds, empty if none, not null
 * @param weightsVersion the version of its weights, 0 for none
 */
public record EngineInstance(UpstreamInstance upstream, String kind, Optional<LayerRange> layers, long weightsVersion) {

	/**
	 * Creates an engine.
	 * @param upstream the instance, not null
	 * @param kind the name of its accelerator kind, not null
	 * @param layers the layers that it holds, empty if none, not null
	 * @param weightsVersion the version of its weights, 0 for none
	 */
	public EngineInstance {
		Objects.requireNonNull(upstream, "upstream");
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(layers, "layers");
	}

	/**
	 * Returns the id of the instance.
	 * @return the id, unique among all instances
	 */
	public String id() {
		return this.upstream.id();
	}

}
