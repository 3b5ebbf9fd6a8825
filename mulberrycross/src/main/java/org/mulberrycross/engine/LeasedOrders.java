package org.mulberrycross.engine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.PeerException;
import org.mulberrycross.Transition;

/**
 * Brings the engines of one lease to their desired setups, in rounds. One traffic thread
 * runs the rounds of a lease; {@link #grant()} may be called on any thread.
 */
public final class LeasedOrders {

	private static final Logger logger = LoggerFactory.getLogger(LeasedOrders.class);

	private final OrderLease lease;

	private final LeaseWriter writer;

	private final EngineOrders orders;

	private final ReportClient reports;

	private final OrderSender sender;

	private final MonotonicClock clock;

	private final Supplier<String> tokens;

	private volatile LeaseState state = LeaseState.initial();

	/**
	 * Creates orders that hold no lease yet.
	 * @param lease the decision on the lease, not null
	 * @param writer reads and writes its record, not null
	 * @param orders the decision on the orders, not null
	 * @param reports reads the state of engines, not null
	 * @param sender sends the orders, not null
	 * @param clock the daemon's monotonic clock, not null
	 * @param tokens supplies a token that was never used before, not null
	 */
	public LeasedOrders(OrderLease lease, LeaseWriter writer, EngineOrders orders, ReportClient reports,
			OrderSender sender, MonotonicClock clock, Supplier<String> tokens) {
		this.lease = Objects.requireNonNull(lease, "lease");
		this.writer = Objects.requireNonNull(writer, "writer");
		this.orders = Objects.requireNonNull(orders, "orders");
		this.reports = Objects.requireNonNull(reports, "reports");
		this.sender = Objects.requireNonNull(sender, "sender");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.tokens = Objects.requireNonNull(tokens, "tokens");
	}

	/**
	 * Returns the right to send orders.
	 * @return the right, which may have ended, or empty if there is none
	 */
	public Optional<LeaseGrant> grant() {
		return this.state.grant();
	}

	/**
	 * Reads the reports, takes or renews the lease if an engine has another setup than
	 * the desired one, and sends the orders that are needed. An engine or store that does
	 * not answer is tried again in the next round; each wait is bounded. A lease that is
	 * not needed is left to expire, since each renewal is a write of the object API.
	 * @param engines the engines of the lease, not null
	 * @param permit decides whether an order may make an engine load weights, not null
	 */
	public void round(List<OrderedEngine> engines, LoadPermit permit) {
		Map<OrderedEngine, EngineReport> seen = new LinkedHashMap<>();
		engines.forEach((engine) -> report(engine).ifPresent((report) -> seen.put(engine, report)));
		if (seen.entrySet().stream().anyMatch((entry) -> differs(entry.getKey(), entry.getValue()))) {
			advanceLease();
		}
		grant().ifPresent((grant) -> seen.forEach((engine, report) -> order(grant, engine, report, permit)));
	}

	private static boolean differs(OrderedEngine engine, EngineReport report) {
		return !report.target().equals(engine.desired());
	}

	private Optional<EngineReport> report(OrderedEngine engine) {
		try {
			return Optional.of(this.reports.report(engine.name(), engine.address(), this.orders.sendBound()));
		}
		catch (PeerException ex) {
			logger.debug("no state report: {}", ex.toString());
			return Optional.empty();
		}
	}

	private void advanceLease() {
		Optional<LeaseAction> action = next(new LeaseEvent.Tick(this.tokens.get()));
		while (action.isPresent()) {
			action = next(this.writer.perform(action.get()));
		}
	}

	private Optional<LeaseAction> next(LeaseEvent event) {
		Transition<LeaseState, LeaseAction> step = this.lease.next(this.state, event, this.clock.nanos());
		this.state = step.state();
		return step.actions().stream().findFirst();
	}

	private void order(LeaseGrant grant, OrderedEngine engine, EngineReport report, LoadPermit permit) {
		Optional<EngineOrder> order = this.orders.next(grant, engine.desired(), report, engine.checksFencing(), permit,
				this.clock.nanos());
		if (order.isEmpty()) {
			return;
		}
		try {
			OrderReply reply = this.sender.send(engine.name(), engine.address(), order.get(), grant);
			logger.info("order {} to engine {}: {}", order.get(), engine.name(),
					reply.accepted() ? "accepted" : reply.reason());
		}
		catch (PeerException ex) {
			logger.warn("order {} has no answer: {}", order.get(), ex.toString());
		}
	}

}
