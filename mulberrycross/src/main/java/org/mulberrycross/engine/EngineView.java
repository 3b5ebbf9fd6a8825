package org.mulberrycross.engine;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The engines that the control thread knows, at one moment. Immutable and thread-safe.
 */
public final class EngineView {

	private final long nanos;

	private final Map<String, EngineState> engines;

	/**
	 * Creates a view.
	 * @param nanos the moment on the daemon's monotonic clock
	 * @param engines the engines, not null
	 */
	public EngineView(long nanos, Collection<EngineState> engines) {
		this.nanos = nanos;
		this.engines = new TreeMap<>();
		for (EngineState engine : engines) {
			this.engines.put(engine.name(), engine);
		}
	}

	/**
	 * Returns the moment of this view.
	 * @return the reading of the daemon's monotonic clock, in nanoseconds
	 */
	public long nanos() {
		return this.nanos;
	}

	/**
	 * Returns the engines in the order of their names.
	 * @return the engines, not modifiable
	 */
	public List<EngineState> engines() {
		return List.copyOf(this.engines.values());
	}

	/**
	 * Finds an engine.
	 * @param name the name, not null
	 * @return the engine, or empty if it is not known
	 */
	public Optional<EngineState> engine(String name) {
		return Optional.ofNullable(this.engines.get(name));
	}

	/**
	 * Returns the engines that may start to run a request's route at a layer.
	 * @param request what to cover, not null
	 * @param layer the next layer to cover
	 * @return the available engines that hold the layer and have a place, in the order of
	 * their names
	 */
	public List<EngineState> candidates(RouteRequest request, int layer) {
		return this.engines.values()
			.stream()
			.filter(EngineState::available)
			.filter((engine) -> engine.model().equals(request.model()))
			.filter((engine) -> engine.layers().contains(layer))
			.filter((engine) -> !request.excluded().contains(engine.name()))
			.filter((engine) -> engine.admits(request.limitShare()))
			.toList();
	}

}
