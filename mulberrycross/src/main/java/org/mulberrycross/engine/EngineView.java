package org.mulberrycross.engine;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Snapshot of the engines known to the control thread. Immutable and thread-safe.
 */
public final class EngineView {

	private final long nanos;

	private final Map<String, EngineState> engines;

	/**
	 * Creates a view.
	 * @param nanos the time of the snapshot on the daemon's monotonic clock
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
	 * Returns the time of this snapshot.
	 * @return the reading of the daemon's monotonic clock, in nanoseconds
	 */
	public long nanos() {
		return this.nanos;
	}

	/**
	 * Returns the engines in the order of their names.
	 * @return the engines, unmodifiable
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
	 * Returns the engines that can run the next stage of a requested route.
	 * @param request the request for a route, not null
	 * @param layer the first layer of that stage
	 * @return the available engines that hold the layer and have room for another stream,
	 * in the order of their names
	 */
	public List<EngineState> candidates(RouteRequest request, int layer) {
		return this.engines.values()
			.stream()
			.filter(EngineState::isAvailable)
			.filter((engine) -> engine.model().equals(request.model()))
			.filter((engine) -> engine.layers().contains(layer))
			.filter((engine) -> !request.excludedEngines().contains(engine.name()))
			.filter((engine) -> engine.hasRoom(request.limitShare()))
			.toList();
	}

}
