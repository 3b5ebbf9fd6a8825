package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.mulberrycross.engine.EngineInstance;
import org.mulberrycross.engine.LayerRange;
import org.mulberrycross.engine.Placement;

/**
 * Orders whose effect the list of engines does not show yet. Thread-safe.
 */
final class PendingOrders {

	/** Time for an accepted order to show; a load of a whole model takes less. */
	private static final Duration ACCEPTED_TIME = Duration.ofSeconds(20);

	/**
	 * Time for an order without an answer to show, after which it is sent again. The
	 * number of orders that the engine is expected to have taken keeps a late one from
	 * taking effect after that.
	 */
	private static final Duration UNANSWERED_TIME = Duration.ofMillis(1500);

	/** Time until the list shows the state that an order did not fit. */
	private static final Duration CONFLICT_TIME = Duration.ofMillis(500);

	private final Map<String, Pending> orders = new ConcurrentHashMap<>();

	void put(Placement placement, Optional<PlacementReply> reply, long nowNanos) {
		Duration time = reply.map((answer) -> (answer == PlacementReply.ACCEPTED) ? ACCEPTED_TIME : CONFLICT_TIME)
			.orElse(UNANSWERED_TIME);
		this.orders.put(placement.engine().id(), new Pending(placement, nowNanos + time.toNanos()));
	}

	// Returns the engines with the layers that they were ordered to hold.
	List<EngineInstance> overlay(List<EngineInstance> engines, long nowNanos) {
		return engines.stream().map((engine) -> overlay(engine, nowNanos)).toList();
	}

	private EngineInstance overlay(EngineInstance engine, long nowNanos) {
		Pending pending = this.orders.get(engine.id());
		if (pending == null) {
			return engine;
		}
		LayerRange ordered = pending.placement().layers();
		boolean shown = engine.layers().filter(ordered::equals).isPresent();
		boolean restarted = engine.upstream()
			.startedMillis() != pending.placement().engine().upstream().startedMillis();
		if (shown || restarted || nowNanos > pending.untilNanos()) {
			this.orders.remove(engine.id());
			return engine;
		}
		return new EngineInstance(engine.upstream(), engine.kind(), Optional.of(ordered), engine.weightsVersion());
	}

	/**
	 * An order and the time until which it counts as carried out.
	 */
	private record Pending(Placement placement, long untilNanos) {

	}

}
