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
 * @param limitShare the share of each engine's stream limit that may be in use; below 1
 * where the rest is kept free for short work, infinite where the limit does not apply
 */
public record RouteRequest(String model, String version, String adapter, LayerRange layers, Set<String> excluded,
		double limitShare) {

	/**
	 * Creates a request.
	 * @param model the name of the model, not null
	 * @param version the model version, not null
	 * @param adapter the adapter version, empty for none
	 * @param layers the layers to cover, not null
	 * @param excluded the names of engines that must not be used, not null
	 * @param limitShare the share of each engine's stream limit that may be in use
	 */
	public RouteRequest {
		Objects.requireNonNull(model, "model");
		Objects.requireNonNull(version, "version");
		Objects.requireNonNull(adapter, "adapter");
		Objects.requireNonNull(layers, "layers");
		excluded = Set.copyOf(excluded);
	}

	/**
	 * Creates a request to which stream limits do not apply, such as one that replaces a
	 * lost stage of a running stream.
	 * @param model the name of the model, not null
	 * @param version the model version, not null
	 * @param adapter the adapter version, empty for none
	 * @param layers the layers to cover, not null
	 * @param excluded the names of engines that must not be used, not null
	 */
	public RouteRequest(String model, String version, String adapter, LayerRange layers, Set<String> excluded) {
		this(model, version, adapter, layers, excluded, Double.POSITIVE_INFINITY);
	}

}
