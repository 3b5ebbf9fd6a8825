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
 * Placement orders that the list of engines does not reflect yet. Thread-safe.
 */
final class PendingOrders {

	/**
	 * Time for which an accepted order is assumed to be in progress. Loading a complete
	 * model takes less time.
	 */
	private static final Duration ACCEPTED_TTL = Duration.ofSeconds(20);

	/**
	 * Time for which an order without a reply is assumed to be in progress before it is
	 * sent again. A delayed order has no effect after that, because the engine's number
	 * of orders no longer matches the expected one.
	 */
	private static final Duration UNANSWERED_TTL = Duration.ofMillis(1500);

	/** Time until the list of engines reflects the state that caused a conflict. */
	private static final Duration CONFLICT_TTL = Duration.ofMillis(500);

	private final Map<String, PendingOrder> orders = new ConcurrentHashMap<>();

	void add(Placement placement, Optional<PlacementReply> reply, long nowNanos) {
		Duration ttl = reply.map((received) -> (received == PlacementReply.ACCEPTED) ? ACCEPTED_TTL : CONFLICT_TTL)
			.orElse(UNANSWERED_TTL);
		boolean accepted = reply.filter((received) -> received == PlacementReply.ACCEPTED).isPresent();
		this.orders.put(placement.engine().id(), new PendingOrder(placement, accepted, nowNanos + ttl.toNanos()));
	}

	// Returns whether an engine is assumed to carry out an order that it has accepted. An
	// order to an engine that has left the list counts until it expires.
	boolean isAnyAccepted(long nowNanos) {
		return this.orders.values().stream().anyMatch((order) -> order.accepted() && nowNanos <= order.expiryNanos());
	}

	// Returns whether an engine has an order that is assumed to be in progress. Orders
	// that have ended are known once they have been applied to the list of engines.
	boolean isPending(String engineId) {
		return this.orders.containsKey(engineId);
	}

	// Returns the engines as if all pending orders were complete.
	List<EngineInstance> applyTo(List<EngineInstance> engines, long nowNanos) {
		return engines.stream().map((engine) -> applyTo(engine, nowNanos)).toList();
	}

	private EngineInstance applyTo(EngineInstance engine, long nowNanos) {
		PendingOrder order = this.orders.get(engine.id());
		if (order == null) {
			return engine;
		}
		LayerRange orderedLayers = order.placement().layers();
		boolean completed = engine.layers().filter(orderedLayers::equals).isPresent();
		boolean restarted = engine.upstream().startedMillis() != order.placement().engine().upstream().startedMillis();
		if (completed || restarted || nowNanos > order.expiryNanos()) {
			this.orders.remove(engine.id());
			return engine;
		}
		return new EngineInstance(engine.upstream(), engine.kind(), Optional.of(orderedLayers),
				engine.weightsVersion());
	}

	/** An order and the monotonic time until which it is assumed to be in progress. */
	private record PendingOrder(Placement placement, boolean accepted, long expiryNanos) {

	}

}
