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
 * Reconciles the engines of one lease with their desired setups. All rounds of a lease
 * run on one traffic thread; {@link #grant()} may be called on any thread.
 */
public final class OrderReconciler {

	private static final Logger logger = LoggerFactory.getLogger(OrderReconciler.class);

	private final OrderLease lease;

	private final LeaseActionExecutor leaseExecutor;

	private final OrderPlanner planner;

	private final ReportClient reportClient;

	private final OrderSender sender;

	private final MonotonicClock clock;

	private final Supplier<String> tokens;

	private volatile LeaseState state = LeaseState.initial();

	/**
	 * Creates an instance that does not hold the lease yet.
	 * @param lease the state machine of the lease, not null
	 * @param leaseExecutor reads and writes the lease record, not null
	 * @param planner decides which orders are needed, not null
	 * @param reportClient reads the reports of engines, not null
	 * @param sender sends the orders, not null
	 * @param clock the daemon's monotonic clock, not null
	 * @param tokens supplies a unique token for each write of the record, not null
	 */
	public OrderReconciler(OrderLease lease, LeaseActionExecutor leaseExecutor, OrderPlanner planner,
			ReportClient reportClient, OrderSender sender, MonotonicClock clock, Supplier<String> tokens) {
		this.lease = Objects.requireNonNull(lease, "lease");
		this.leaseExecutor = Objects.requireNonNull(leaseExecutor, "leaseExecutor");
		this.planner = Objects.requireNonNull(planner, "planner");
		this.reportClient = Objects.requireNonNull(reportClient, "reportClient");
		this.sender = Objects.requireNonNull(sender, "sender");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.tokens = Objects.requireNonNull(tokens, "tokens");
	}

	/**
	 * Returns the grant to send orders.
	 * @return the grant, which may have expired, or empty if the lease is not held
	 */
	public Optional<LeaseGrant> grant() {
		return this.state.grant();
	}

	/**
	 * Runs one reconciliation round: reads the reports, acquires or renews the lease if
	 * an engine has another setup than the desired one, and sends the necessary orders.
	 * An engine or store that does not respond is retried in the next round; each wait is
	 * bounded. A lease that is not needed is left to expire, because each renewal is a
	 * write to the object API.
	 * @param engines the engines of the lease, not null
	 * @param permit decides whether an order may make an engine load weights, not null
	 */
	public void reconcile(List<ManagedEngine> engines, LoadPermit permit) {
		Map<ManagedEngine, EngineSetupReport> reports = new LinkedHashMap<>();
		engines.forEach((engine) -> readReport(engine).ifPresent((report) -> reports.put(engine, report)));
		if (reports.entrySet().stream().anyMatch((entry) -> needsChange(entry.getKey(), entry.getValue()))) {
			acquireOrRenewLease();
		}
		grant().ifPresent((grant) -> reports.forEach((engine, report) -> sendOrder(grant, engine, report, permit)));
	}

	private static boolean needsChange(ManagedEngine engine, EngineSetupReport report) {
		return !report.target().equals(engine.desired());
	}

	private Optional<EngineSetupReport> readReport(ManagedEngine engine) {
		try {
			return Optional
				.of(this.reportClient.readReport(engine.name(), engine.address(), this.planner.sendTimeout()));
		}
		catch (PeerException ex) {
			logger.debug("failed to read state report: {}", ex.toString());
			return Optional.empty();
		}
	}

	private void acquireOrRenewLease() {
		this.leaseExecutor.checkEra().ifPresent(this::handleEvent);
		Optional<LeaseAction> action = handleEvent(
				new LeaseEvent.Tick(this.tokens.get(), this.leaseExecutor.fencingFloor()));
		while (action.isPresent()) {
			action = handleEvent(this.leaseExecutor.execute(action.get()));
		}
	}

	private Optional<LeaseAction> handleEvent(LeaseEvent event) {
		Transition<LeaseState, LeaseAction> transition = this.lease.next(this.state, event, this.clock.nanos());
		this.state = transition.state();
		return transition.actions().stream().findFirst();
	}

	private void sendOrder(LeaseGrant grant, ManagedEngine engine, EngineSetupReport report, LoadPermit permit) {
		Optional<EngineOrder> order = this.planner.nextOrder(grant, engine.desired(), report, engine.checksFencing(),
				permit, this.clock.nanos());
		if (order.isEmpty()) {
			return;
		}
		try {
			OrderReply reply = this.sender.send(engine.name(), engine.address(), order.get(), grant);
			logger.info("sent order {} to engine {}: {}", order.get(), engine.name(),
					reply.accepted() ? "accepted" : reply.reason());
		}
		catch (PeerException ex) {
			logger.warn("order {} was not acknowledged: {}", order.get(), ex.toString());
		}
	}

}
