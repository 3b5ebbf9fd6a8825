package org.mulberrycross.engine;

import java.util.Objects;
import java.util.Set;

/**
 * Request for a route or for the replacement of a part of one. Immutable and thread-safe.
 *
 * @param model the name of the model, not null
 * @param version the model version, not null
 * @param adapter the adapter version, empty for none
 * @param layers the layers to cover; all layers for a complete route, or only those of a
 * stage to replace
 * @param excludedEngines the names of engines that must not be used, not null
 * @param limitShare the fraction of each engine's stream limit that may be in use; below
 * 1 to reserve the rest for short requests, infinite if the limit does not apply
 */
public record RouteRequest(String model, String version, String adapter, LayerRange layers, Set<String> excludedEngines,
		double limitShare) {

	/**
	 * Creates a request.
	 * @param model the name of the model, not null
	 * @param version the model version, not null
	 * @param adapter the adapter version, empty for none
	 * @param layers the layers to cover, not null
	 * @param excludedEngines the names of engines that must not be used, not null
	 * @param limitShare the fraction of each engine's stream limit that may be in use
	 */
	public RouteRequest {
		Objects.requireNonNull(model, "model");
		Objects.requireNonNull(version, "version");
		Objects.requireNonNull(adapter, "adapter");
		Objects.requireNonNull(layers, "layers");
		excludedEngines = Set.copyOf(excludedEngines);
	}

	/**
	 * Creates a request to which stream limits do not apply, such as one to replace a
	 * stage of a running stream.
	 * @param model the name of the model, not null
	 * @param version the model version, not null
	 * @param adapter the adapter version, empty for none
	 * @param layers the layers to cover, not null
	 * @param excludedEngines the names of engines that must not be used, not null
	 */
	public RouteRequest(String model, String version, String adapter, LayerRange layers, Set<String> excludedEngines) {
		this(model, version, adapter, layers, excludedEngines, Double.POSITIVE_INFINITY);
	}

}
