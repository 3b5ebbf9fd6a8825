package org.mulberrycross.engine;

import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

/**
 * Request capacity of each layer: the number of average-sized requests for which all
 * holders of the layer together have memory. Not thread-safe.
 */
final class LayerCapacity {

	/**
	 * Fraction of the layers, those with the highest capacity, that is ignored when the
	 * reference capacity is determined. Otherwise a few layers with many holders would
	 * make all others appear under-provisioned.
	 */
	private static final double OUTLIER_RATIO = 0.25;

	private final EngineProfile profile;

	private final double maxRequestsPerEngine;

	private final double[] requestsByLayer;

	/**
	 * Creates an instance in which no layer has a holder.
	 * @param profile the model and its engines, not null
	 * @param maxRequestsPerEngine the maximum number of requests that one holder adds to
	 * a layer, so that a holder of few layers has no more weight than any other
	 */
	LayerCapacity(EngineProfile profile, double maxRequestsPerEngine) {
		this.profile = Objects.requireNonNull(profile, "profile");
		this.maxRequestsPerEngine = maxRequestsPerEngine;
		this.requestsByLayer = new double[profile.layers()];
	}

	/**
	 * Adds the capacity of an engine to each of its layers.
	 * @param engine the engine, not null; adds nothing if its kind is unknown
	 * @param layers the layers that it holds, not null
	 * @param slowdown the factor by which it is slower than its kind, at least 1
	 */
	void addHolder(EngineInstance engine, LayerRange layers, double slowdown) {
		add(layers, requestsOf(engine, layers, slowdown));
	}

	/**
	 * Subtracts the capacity of an engine at full speed from each of its layers.
	 * @param engine the engine, not null
	 * @param layers the layers that it was added with, not null
	 */
	void removeHolder(EngineInstance engine, LayerRange layers) {
		add(layers, -requestsOf(engine, layers, 1));
	}

	private void add(LayerRange layers, double requests) {
		for (int layer = layers.first(); layer < Math.min(this.requestsByLayer.length, layers.end()); layer++) {
			this.requestsByLayer[layer] += requests;
		}
	}

	/**
	 * Returns the number of requests that an engine adds to each of its layers.
	 * @param engine the engine, not null; adds nothing if its kind is unknown
	 * @param layers the layers that it holds, not null
	 * @param slowdown the factor by which it is slower than its kind, at least 1
	 * @return the number of average-sized requests
	 */
	double requestsOf(EngineInstance engine, LayerRange layers, double slowdown) {
		double freeMb = this.profile.kind(engine).map(AcceleratorKind::memoryMb).orElse(0.0)
				- layers.size() * this.profile.weightMbPerLayer();
		double mbPerRequest = layers.size() * this.profile.meanTokens() * this.profile.cacheMbPerTokenAndLayer();
		return Math.min(this.maxRequestsPerEngine, Math.max(0, freeMb / mbPerRequest)) / slowdown;
	}

	/**
	 * Returns the capacity of a layer.
	 * @param layer the layer, in the range of the model
	 * @return the number of average-sized requests
	 */
	double requests(int layer) {
		return this.requestsByLayer[layer];
	}

	/**
	 * Returns the capacity of the layer with the lowest one.
	 * @return the number of average-sized requests, 0 if a layer has no holder
	 */
	double lowest() {
		return requests(lowestLayer());
	}

	/**
	 * Returns the layer with the lowest capacity.
	 * @return the first one of several
	 */
	int lowestLayer() {
		int lowest = 0;
		for (int layer = 1; layer < this.requestsByLayer.length; layer++) {
			if (this.requestsByLayer[layer] < this.requestsByLayer[lowest]) {
				lowest = layer;
			}
		}
		return lowest;
	}

	/**
	 * Finds the layer with the lowest capacity and the adjacent layers that are also
	 * below the required capacity.
	 * @param minRatio the required fraction of the reference capacity, which is that of
	 * the best layer after the outliers are removed
	 * @param minRequests the number of requests that is required in any case
	 * @return the range, or empty if each layer has the required capacity
	 */
	Optional<LayerRange> findLowCapacityRange(double minRatio, double minRequests) {
		double[] sorted = this.requestsByLayer.clone();
		Arrays.sort(sorted);
		double reference = sorted[(int) ((sorted.length - 1) * (1 - OUTLIER_RATIO))];
		double required = Math.max(minRequests, minRatio * reference);
		int lowest = lowestLayer();
		if (this.requestsByLayer[lowest] >= required) {
			return Optional.empty();
		}
		int first = lowest;
		while (first > 0 && this.requestsByLayer[first - 1] < required) {
			first--;
		}
		int end = lowest + 1;
		while (end < this.requestsByLayer.length && this.requestsByLayer[end] < required) {
			end++;
		}
		return Optional.of(new LayerRange(first, end));
	}

}
