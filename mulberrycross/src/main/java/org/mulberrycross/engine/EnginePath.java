package org.mulberrycross.engine;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.mulberrycross.Address;

/**
 * Sequence of engines that process a request. The stages cover the layers without gap or
 * overlap from layer 0 on, and no engine appears twice. Immutable and thread-safe.
 *
 * @param stages the stages in order, not empty
 */
public record EnginePath(List<PathStage> stages) {

	/**
	 * Creates a path.
	 * @param stages the stages in order, not empty
	 * @throws IllegalArgumentException if there is no stage, a layer is missing or runs
	 * twice, or an engine appears twice
	 */
	public EnginePath {
		stages = List.copyOf(stages);
		int nextLayer = 0;
		Set<String> engineIds = new HashSet<>();
		for (PathStage stage : stages) {
			if (stage.layers().first() != nextLayer || !engineIds.add(stage.engine().id())) {
				throw new IllegalArgumentException("stages " + stages + " leave a gap, overlap or repeat an engine");
			}
			nextLayer = stage.layers().end();
		}
		if (stages.isEmpty()) {
			throw new IllegalArgumentException("path has no stage");
		}
	}

	/**
	 * Returns the engine that receives the request from the router.
	 * @return the engine of the first stage
	 */
	public EngineInstance firstEngine() {
		return this.stages.get(0).engine();
	}

	/**
	 * Returns how often a token on this path passes from one data centre to another.
	 * @return the number of crossings
	 */
	public int crossings() {
		int crossings = 0;
		for (int i = 1; i < this.stages.size(); i++) {
			String previous = this.stages.get(i - 1).engine().upstream().dataCentre();
			crossings += previous.equals(this.stages.get(i).engine().upstream().dataCentre()) ? 0 : 1;
		}
		return crossings;
	}

	/**
	 * Returns the engine of this path at an address.
	 * @param address the address, not null
	 * @return the engine, or empty if no stage has the address
	 */
	public Optional<EngineInstance> engineAt(Address address) {
		return this.stages.stream()
			.map(PathStage::engine)
			.filter((engine) -> engine.upstream().address().equals(address))
			.findFirst();
	}

}
