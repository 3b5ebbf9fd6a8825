package org.mulberrycross.engine;

import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

/**
 * The usual requests for which the holders of each layer have memory together. Not
 * thread-safe.
 */
final class LayerCapacity {

	/**
	 * Share of the layers with the most capacity that are left out of the comparison, so
	 * that a few layers with many holders do not make all others look weak.
	 */
	private static final double LEFT_OUT = 0.25;

	private final EngineProfile profile;

	private final double mostPerEngine;

	private final double[] requests;

	/**
	 * Creates a capacity without holders.
	 * @param profile the model and its engines, not null
	 * @param mostPerEngine the requests that one holder counts for at most, so that a
	 * holder of few layers counts like any other
	 */
	LayerCapacity(EngineProfile profile, double mostPerEngine) {
		this.profile = Objects.requireNonNull(profile, "profile");
		this.mostPerEngine = mostPerEngine;
		this.requests = new double[profile.layers()];
	}

	/**
	 * Adds a holder.
	 * @param engine the engine, not null
	 * @param layers the layers that it holds, not null
	 */
	void add(EngineInstance engine, LayerRange layers) {
		double memory = this.profile.kind(engine).map(AcceleratorKind::memoryMb).orElse(0.0)
				- layers.size() * this.profile.layerMb();
		double perRequest = layers.size() * this.profile.usualTokens() * this.profile.cacheMbPerTokenAndLayer();
		double room = Math.min(this.mostPerEngine, Math.max(0, memory / perRequest));
		for (int layer = layers.first(); layer < Math.min(this.requests.length, layers.end()); layer++) {
			this.requests[layer] += room;
		}
	}

	/**
	 * Returns the layers around the one with the least capacity that are weak as well.
	 * @param leastShare the share of the capacity of well-held layers below which a layer
	 * is weak
	 * @param leastRequests the requests below which a layer is weak in any case
	 * @return the layers, or empty if none is weak
	 */
	Optional<LayerRange> weakest(double leastShare, double leastRequests) {
		double[] sorted = this.requests.clone();
		Arrays.sort(sorted);
		double wellHeld = sorted[(int) ((sorted.length - 1) * (1 - LEFT_OUT))];
		double limit = Math.max(leastRequests, leastShare * wellHeld);
		int least = 0;
		for (int layer = 1; layer < this.requests.length; layer++) {
			if (this.requests[layer] < this.requests[least]) {
				least = layer;
			}
		}
		if (this.requests[least] >= limit) {
			return Optional.empty();
		}
		int first = least;
		while (first > 0 && this.requests[first - 1] < limit) {
			first--;
		}
		int end = least + 1;
		while (end < this.requests.length && this.requests[end] < limit) {
			end++;
		}
		return Optional.of(new LayerRange(first, end));
	}

}
