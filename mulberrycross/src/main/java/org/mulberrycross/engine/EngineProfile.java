package org.mulberrycross.engine;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Size and speed of a service's model and of the accelerators that run it. Immutable and
 * thread-safe.
 *
 * @param layers the number of layers of the model
 * @param weightMbPerLayer the memory for the weights of one layer, in MB
 * @param cacheMbPerToken the key-value cache memory of one token in all layers, in MB
 * @param stepMillis the time of one decode step through all layers on the reference
 * accelerator, in milliseconds
 * @param prefillTokensPerMillis the prompt tokens that the reference accelerator
 * processes through all layers per millisecond of prefill
 * @param meanPromptTokens the mean number of prompt tokens of a request
 * @param meanOutputTokens the mean number of output tokens of a request
 * @param maxConcurrentLoads the number of concurrent weight loads that run at full speed
 * @param kinds the accelerator kinds by name, not null
 * @param pipe the link between data centres, empty if unknown, not null
 */
public record EngineProfile(int layers, double weightMbPerLayer, double cacheMbPerToken, double stepMillis,
		double prefillTokensPerMillis, double meanPromptTokens, double meanOutputTokens, int maxConcurrentLoads,
		Map<String, AcceleratorKind> kinds, Optional<PipeProfile> pipe) {

	/**
	 * Creates a profile.
	 * @param layers the number of layers of the model
	 * @param weightMbPerLayer the memory for the weights of one layer, in MB
	 * @param cacheMbPerToken the key-value cache memory of one token in all layers, in MB
	 * @param stepMillis the time of one decode step on the reference accelerator
	 * @param prefillTokensPerMillis the prompt tokens processed per millisecond of
	 * prefill
	 * @param meanPromptTokens the mean number of prompt tokens of a request
	 * @param meanOutputTokens the mean number of output tokens of a request
	 * @param maxConcurrentLoads the number of weight loads that run at full speed
	 * @param kinds the accelerator kinds by name, not null
	 * @param pipe the link between data centres, empty if unknown, not null
	 * @throws IllegalArgumentException if there is no layer, or a layer's memory or a
	 * speed is not positive
	 */
	public EngineProfile {
		kinds = Map.copyOf(kinds);
		Objects.requireNonNull(pipe, "pipe");
		if (layers < 1 || !(weightMbPerLayer > 0) || !(stepMillis > 0) || !(prefillTokensPerMillis > 0)) {
			throw new IllegalArgumentException("invalid model profile: " + layers + " layers of " + weightMbPerLayer
					+ " MB, " + stepMillis + " ms per step, " + prefillTokensPerMillis + " prompt tokens per ms");
		}
	}

	/**
	 * Creates a profile without a known link between data centres.
	 * @param layers the number of layers of the model
	 * @param weightMbPerLayer the memory for the weights of one layer, in MB
	 * @param cacheMbPerToken the key-value cache memory of one token in all layers, in MB
	 * @param stepMillis the time of one decode step on the reference accelerator
	 * @param prefillTokensPerMillis the prompt tokens processed per millisecond of
	 * prefill
	 * @param meanPromptTokens the mean number of prompt tokens of a request
	 * @param meanOutputTokens the mean number of output tokens of a request
	 * @param maxConcurrentLoads the number of weight loads that run at full speed
	 * @param kinds the accelerator kinds by name, not null
	 */
	public EngineProfile(int layers, double weightMbPerLayer, double cacheMbPerToken, double stepMillis,
			double prefillTokensPerMillis, double meanPromptTokens, double meanOutputTokens, int maxConcurrentLoads,
			Map<String, AcceleratorKind> kinds) {
		this(layers, weightMbPerLayer, cacheMbPerToken, stepMillis, prefillTokensPerMillis, meanPromptTokens,
				meanOutputTokens, maxConcurrentLoads, kinds, Optional.empty());
	}

	/**
	 * Returns the accelerator kind of an engine.
	 * @param engine the engine, not null
	 * @return the kind, or empty if this profile does not contain it
	 */
	public Optional<AcceleratorKind> kind(EngineInstance engine) {
		return Optional.ofNullable(this.kinds.get(engine.kind()));
	}

	/**
	 * Returns the key-value cache memory of one token in one layer.
	 * @return the memory, in MB
	 */
	public double cacheMbPerTokenAndLayer() {
		return this.cacheMbPerToken / this.layers;
	}

	/**
	 * Returns the mean number of tokens in the key-value cache when a request ends.
	 * @return the mean sum of prompt and output tokens
	 */
	public double meanTokens() {
		return this.meanPromptTokens + this.meanOutputTokens;
	}

	/**
	 * Returns the tokens that the key-value cache of an engine can hold.
	 * @param engine the engine, not null
	 * @return the tokens, 0 if the kind is unknown or the engine holds no layer
	 */
	public double cacheTokens(EngineInstance engine) {
		int layerCount = engine.layers().map(LayerRange::size).orElse(0);
		double freeMb = kind(engine).map(AcceleratorKind::memoryMb).orElse(0.0) - layerCount * this.weightMbPerLayer;
		return Math.max(0, freeMb / (cacheMbPerTokenAndLayer() * Math.max(1, layerCount)));
	}

}
