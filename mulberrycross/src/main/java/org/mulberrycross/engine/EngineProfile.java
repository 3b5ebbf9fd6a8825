package org.mulberrycross.engine;

import java.util.Map;
import java.util.Optional;

/**
 * What is known of a service's model and of the engines that run it. Immutable and
 * thread-safe.
 *
 * @param layers the number of layers of the model
 * @param layerMb the memory of the weights of one layer, in MB
 * @param cacheMbPerToken the memory of one token in all layers, in MB
 * @param stepMillis the time of a step through all layers on the reference accelerator
 * @param readTokensPerMillis the prompt tokens that the reference accelerator reads
 * through all layers in a millisecond
 * @param usualPromptTokens the mean number of tokens of a prompt
 * @param usualOutputTokens the mean number of tokens that are generated
 * @param loadsAtOnce the number of loads of weights that run at full speed side by side
 * @param kinds the kinds of accelerators by name, not null
 */
public record EngineProfile(int layers, double layerMb, double cacheMbPerToken, double stepMillis,
		double readTokensPerMillis, double usualPromptTokens, double usualOutputTokens, int loadsAtOnce,
		Map<String, AcceleratorKind> kinds) {

	/**
	 * Creates a profile.
	 * @param layers the number of layers of the model
	 * @param layerMb the memory of the weights of one layer, in MB
	 * @param cacheMbPerToken the memory of one token in all layers, in MB
	 * @param stepMillis the time of a step on the reference accelerator
	 * @param readTokensPerMillis the prompt tokens read in a millisecond
	 * @param usualPromptTokens the mean number of tokens of a prompt
	 * @param usualOutputTokens the mean number of tokens that are generated
	 * @param loadsAtOnce the number of loads that run at full speed side by side
	 * @param kinds the kinds of accelerators by name, not null
	 */
	public EngineProfile {
		kinds = Map.copyOf(kinds);
		if (layers < 1 || !(layerMb > 0) || !(stepMillis > 0) || !(readTokensPerMillis > 0)) {
			throw new IllegalArgumentException("model of " + layers + " layers of " + layerMb + " MB");
		}
	}

	/**
	 * Returns the kind of an engine.
	 * @param engine the engine, not null
	 * @return the kind, or empty if the profile does not know it
	 */
	public Optional<AcceleratorKind> kind(EngineInstance engine) {
		return Optional.ofNullable(this.kinds.get(engine.kind()));
	}

	/**
	 * Returns the memory of one token in one layer.
	 * @return the memory, in MB
	 */
	public double cacheMbPerTokenAndLayer() {
		return this.cacheMbPerToken / this.layers;
	}

	/**
	 * Returns the tokens that a usual request holds when it ends.
	 * @return the number of tokens
	 */
	public double usualTokens() {
		return this.usualPromptTokens + this.usualOutputTokens;
	}

}
