package org.mulberrycross.engine;

import java.util.Objects;
import java.util.Set;

/**
 * Asks for a route. Immutable and thread-safe.
 *
 * @param model the name of the model, not null
 * @param version the model version, not null
 * @param adapter the adapter version, empty for none
 * @param layers the layers to cover; from layer 0 for a whole route, a part of them to
 * replace lost stages
 * @param excluded the names of engines that must not be used, not null
 */
public record RouteRequest(String model, String version, String adapter, LayerRange layers, Set<String> excluded) {

	/**
	 * Creates a request.
	 * @param model the name of the model, not null
	 * @param version the model version, not null
	 * @param adapter the adapter version, empty for none
	 * @param layers the layers to cover, not null
	 * @param excluded the names of engines that must not be used, not null
	 */
	public RouteRequest {
		Objects.requireNonNull(model, "model");
		Objects.requireNonNull(version, "version");
		Objects.requireNonNull(adapter, "adapter");
		Objects.requireNonNull(layers, "layers");
		excluded = Set.copyOf(excluded);
	}

}
