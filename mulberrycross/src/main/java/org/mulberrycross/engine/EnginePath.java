package org.mulberrycross.engine;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The engines that a request passes through. The stages cover all layers once and in
 * order, and no engine appears twice. Immutable and thread-safe.
 *
 * @param stages the stages in order, not empty
 */
public record EnginePath(List<PathStage> stages) {

	/**
	 * Creates a path.
	 * @param stages the stages in order, not empty
	 * @throws IllegalArgumentException if a layer is left out or runs twice, or an engine
	 * appears twice
	 */
	public EnginePath {
		stages = List.copyOf(stages);
		int next = 0;
		Set<String> engines = new HashSet<>();
		for (PathStage stage : stages) {
			if (stage.layers().first() != next || !engines.add(stage.engine().id())) {
				throw new IllegalArgumentException("stages " + stages + " do not run each layer once");
			}
			next = stage.layers().end();
		}
		if (stages.isEmpty()) {
			throw new IllegalArgumentException("path has no stage");
		}
	}

	/**
	 * Returns the engine that takes the request.
	 * @return the engine of the first stage
	 */
	public EngineInstance first() {
		return this.stages.get(0).engine();
	}

}
