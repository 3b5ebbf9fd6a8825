package org.mulberrycross.engine;

import java.util.List;
import java.util.Objects;

/**
 * Sequence of stages that a stream runs through. The stages cover every layer of the
 * model exactly once, in order, with a single model version and a single adapter version.
 * Immutable and thread-safe.
 *
 * @param model the name of the model, not null
 * @param version the model version, not null
 * @param adapter the adapter version, empty for none
 * @param stages the stages in the order of their layers, not empty
 */
public record Route(String model, String version, String adapter, List<Stage> stages) {

	/**
	 * Creates a route.
	 * @param model the name of the model, not null
	 * @param version the model version, not null
	 * @param adapter the adapter version, empty for none
	 * @param stages the stages in the order of their layers, not empty
	 * @throws IllegalArgumentException if the stages do not start at layer 0, or skip or
	 * repeat a layer
	 */
	public Route {
		Objects.requireNonNull(model, "model");
		Objects.requireNonNull(version, "version");
		Objects.requireNonNull(adapter, "adapter");
		stages = List.copyOf(stages);
		if (stages.isEmpty()) {
			throw new IllegalArgumentException("route for model " + model + " has no stages");
		}
		int nextLayer = 0;
		for (Stage stage : stages) {
			if (stage.layers().first() != nextLayer) {
				throw new IllegalArgumentException("stage " + stage.engine() + " runs layers " + stage.layers()
						+ ", but layer " + nextLayer + " is next");
			}
			nextLayer = stage.layers().end();
		}
	}

	/**
	 * Returns the number of layers that the route covers.
	 * @return the number, 1 or more
	 */
	public int layerCount() {
		return this.stages.get(this.stages.size() - 1).layers().end();
	}

}
