package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.PeerException;
import org.mulberrycross.Supervisor;
import org.mulberrycross.Transition;
import org.mulberrycross.engine.EngineInstance;
import org.mulberrycross.engine.EngineProfile;
import org.mulberrycross.engine.LayerPlanner;
import org.mulberrycross.engine.LeaseAction;
import org.mulberrycross.engine.LeaseActionExecutor;
import org.mulberrycross.engine.LeaseEvent;
import org.mulberrycross.engine.LeaseGrant;
import org.mulberrycross.engine.LeaseState;
import org.mulberrycross.engine.OrderLease;
import org.mulberrycross.engine.Placement;

/**
 * Traffic thread that plans the placement of layers on engines and sends the orders for
 * it while this daemon holds the placement lease. The lease is acquired only when there
 * is something to order, so that nothing is written to the store while the placement is
 * complete. Thread-safe.
 */
final class PlacementRunner implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(PlacementRunner.class);

	static final String LEASE_NAME = "placement";

	/**
	 * Validity of the lease, after which another daemon takes over from a failed holder.
	 */
	static final Duration LEASE_DURATION = Duration.ofSeconds(4);

	/** Delay after a failed call for the lease; leaves time for two renewals. */
	private static final Duration LEASE_RETRY_DELAY = Duration.ofMillis(800);

	private static final Duration PLANNING_PERIOD = Duration.ofMillis(200);

	/** Timeout for each call of an order; hundreds of round trips within a region. */
	private static final Duration ORDER_TIMEOUT = Duration.ofMillis(700);

	/**
	 * Time for which the set of engines must be unchanged before the first placement, so
	 * that engines that start together share the layers.
	 */
	private static final Duration MEMBERSHIP_SETTLE_TIME = Duration.ofMillis(900);

	/**
	 * Time for which the set of engines must be unchanged before engines that hold layers
	 * are moved. Engines that are lost together leave the list within this time, and
	 * those that return first are repaired with what is there.
	 */
	private static final Duration REBALANCE_SETTLE_TIME = Duration.ofSeconds(4);

	private static final int MAX_CONCURRENT_ORDERS = 8;

	private final Supplier<PlacementView> viewSource;

	private final OrderLease lease;

	private final LeaseActionExecutor leaseExecutor;

	private final PlacementClient client;

	private final Supplier<ClockReading> clocks;

	private final Supplier<String> leaseTokens;

	private final PendingOrders pendingOrders = new PendingOrders();

	private final Map<String, EngineMembership> memberships = new HashMap<>();

	/** The last input by service for which nothing was to be ordered. */
	private final Map<String, PlanInput> completeInputs = new HashMap<>();

	private final CountDownLatch closed = new CountDownLatch(1);

	private final ExecutorService orderExecutor = Executors.newFixedThreadPool(MAX_CONCURRENT_ORDERS, (task) -> {
		Thread thread = new Thread(task, "order");
		thread.setDaemon(true);
		return thread;
	});

	private final Thread thread = Supervisor.newThread("placement", this::run);

	private LeaseState leaseState = LeaseState.initial();

	/** When the calls began that last granted or renewed the lease. */
	private volatile ClockReading grantRequestedAt = new ClockReading(0, 0);

	/** The monotonic time before which no call is made after a failed one. */
	private OptionalLong leaseRetryNanos = OptionalLong.empty();

	/**
	 * Set when the store came back from an older copy: the wait for the record to expire
	 * begins when it is read, which is not put off until something is to be ordered.
	 */
	private boolean recordReadDue;

	/**
	 * The monotonic time at which a sibling learned that the store came back from an
	 * older copy, if that was shortly before this daemon started. Empty once it is
	 * handled.
	 */
	private volatile OptionalLong siblingRestoredNanos = OptionalLong.empty();

	/**
	 * Set when an engine has seen a higher fencing number, which means that another
	 * daemon holds the lease.
	 */
	private volatile boolean fenced;

	PlacementRunner(Supplier<PlacementView> viewSource, OrderLease lease, LeaseActionExecutor leaseExecutor,
			PlacementClient client, Supplier<ClockReading> clocks, Supplier<String> leaseTokens) {
		this.viewSource = Objects.requireNonNull(viewSource, "viewSource");
		this.lease = Objects.requireNonNull(lease, "lease");
		this.leaseExecutor = Objects.requireNonNull(leaseExecutor, "leaseExecutor");
		this.client = Objects.requireNonNull(client, "client");
		this.clocks = Objects.requireNonNull(clocks, "clocks");
		this.leaseTokens = Objects.requireNonNull(leaseTokens, "leaseTokens");
	}

	void start() {
		this.thread.start();
	}

	private void run() {
		Supervisor supervisor = new Supervisor("placement");
		try {
			while (!this.closed.await(PLANNING_PERIOD.toMillis(), TimeUnit.MILLISECONDS)) {
				supervisor.run(this::planAndOrder);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// Does not acquire the lease until one duration has passed since a sibling learned
	// that the store came back from an older copy: the holder of a lease whose record was
	// lost may still act on it. Callable on any thread.
	void awaitFormerHolder(Duration restoredAgo) {
		this.siblingRestoredNanos = OptionalLong.of(this.clocks.get().monotonicNanos() - restoredAgo.toNanos());
	}

	// Plans once, and sends the orders if this daemon holds the lease.
	void planAndOrder() throws InterruptedException {
		PlacementView view = this.viewSource.get();
		// A daemon that reaches no engine leaves the lease to one that does.
		if (!view.enginesReachable()) {
			return;
		}
		applyRestorations();
		long nowNanos = this.clocks.get().monotonicNanos();
		List<ServicePlan> plans = view.profiles()
			.entrySet()
			.stream()
			.flatMap((entry) -> plan(view, entry.getKey(), entry.getValue(), nowNanos).stream())
			.toList();
		// The holder keeps the lease until its orders have ended. Another daemon does not
		// know them and would place the same layers once more.
		boolean keepsLease = this.leaseState.grant().isPresent() && this.pendingOrders.isAnyAccepted(nowNanos);
		if (plans.isEmpty() && !keepsLease && !this.recordReadDue) {
			return;
		}
		if (this.fenced) {
			this.fenced = false;
			this.leaseState = this.leaseState.abandoned();
			logger.info("placement lease abandoned: an engine has seen a higher fencing number");
		}
		if (view.storeAvailable() && nowNanos - this.leaseRetryNanos.orElse(nowNanos) >= 0) {
			advanceLease();
			this.recordReadDue = false;
		}
		Optional<LeaseGrant> grant = this.leaseState.grant().filter(this::isValidForOrder);
		if (grant.isPresent() && !plans.isEmpty()) {
			plans.forEach(PlacementRunner::log);
			sendOrders(plans.stream().flatMap((plan) -> plan.placements().stream()).toList(), grant.get());
		}
	}

	private void applyRestorations() {
		OptionalLong siblingRestored = this.siblingRestoredNanos;
		if (siblingRestored.isPresent()) {
			this.siblingRestoredNanos = OptionalLong.empty();
			applyLeaseEvent(new LeaseEvent.StoreRestored(), siblingRestored.getAsLong());
			this.recordReadDue = true;
		}
		this.leaseExecutor.checkEra().ifPresent((event) -> {
			applyLeaseEvent(event);
			this.recordReadDue = true;
		});
	}

	// Tells whether capacity is missing because engines are, or because they are empty.
	private static void log(ServicePlan plan) {
		logger.atInfo()
			.addKeyValue("service", plan.service())
			.addKeyValue("engines", plan.engines().size())
			.addKeyValue("empty", plan.engines().stream().filter((engine) -> engine.layers().isEmpty()).count())
			.addKeyValue("orders", plan.placements().size())
			.addKeyValue("capacity", plan.planner().capacities(plan.engines()))
			.log("placement planned");
	}

	// Returns the plan for a service, empty if nothing is to be ordered now.
	private Optional<ServicePlan> plan(PlacementView view, String service, EngineProfile profile, long nowNanos) {
		List<EngineInstance> engines = view.engines().getOrDefault(service, List.of());
		List<EngineInstance> enginesWithOrders = this.pendingOrders.applyTo(engines, nowNanos);
		Set<String> engineIds = engines.stream().map(EngineInstance::id).collect(Collectors.toSet());
		EngineMembership membership = this.memberships.get(service);
		if (membership == null || !membership.engineIds().equals(engineIds)) {
			membership = new EngineMembership(engineIds, nowNanos);
			this.memberships.put(service, membership);
		}
		boolean nothingPlaced = enginesWithOrders.stream().allMatch((engine) -> engine.layers().isEmpty());
		long unchangedNanos = nowNanos - membership.unchangedSinceNanos();
		if (nothingPlaced && unchangedNanos < MEMBERSHIP_SETTLE_TIME.toNanos()) {
			return Optional.empty();
		}
		boolean settled = unchangedNanos >= REBALANCE_SETTLE_TIME.toNanos();
		PlanInput input = new PlanInput(profile, enginesWithOrders,
				engines.stream().map(EngineInstance::id).filter(this.pendingOrders::isPending).toList(),
				view.slowdowns(), settled);
		if (input.equals(this.completeInputs.get(service))) {
			return Optional.empty();
		}
		LayerPlanner planner = new LayerPlanner(profile);
		List<Placement> placements = planner.plan(enginesWithOrders, view::slowdown, this::isChanging);
		if (placements.isEmpty() && settled) {
			placements = planner.rebalance(enginesWithOrders, view::slowdown, this::isChanging);
		}
		if (placements.isEmpty()) {
			this.completeInputs.put(service, input);
			return Optional.empty();
		}
		return Optional.of(new ServicePlan(service, planner, enginesWithOrders, placements));
	}

	private boolean isChanging(EngineInstance engine) {
		return this.pendingOrders.isPending(engine.id());
	}

	// Returns whether the lease outlasts an order that is sent now, and its record was
	// not lost since. The monotonic clock stops while the machine is suspended, so the
	// age on the wall clock counts as well.
	private boolean isValidForOrder(LeaseGrant grant) {
		ClockReading now = this.clocks.get();
		return this.leaseExecutor.isEraCurrent() && grant.isValidFor(ORDER_TIMEOUT, now.monotonicNanos())
				&& this.grantRequestedAt.ageMillis(now) <= LEASE_DURATION.minus(ORDER_TIMEOUT).toMillis();
	}

	private void advanceLease() {
		this.leaseRetryNanos = OptionalLong.empty();
		ClockReading requestedAt = this.clocks.get();
		Optional<LeaseGrant> previousGrant = this.leaseState.grant();
		Optional<LeaseAction> action = applyLeaseEvent(
				new LeaseEvent.Tick(this.leaseTokens.get(), this.leaseExecutor.fencingFloor()));
		while (action.isPresent()) {
			LeaseEvent result = this.leaseExecutor.execute(action.get());
			if (result instanceof LeaseEvent.CallFailed || result instanceof LeaseEvent.WriteOutcomeUnknown) {
				this.leaseRetryNanos = OptionalLong
					.of(this.clocks.get().monotonicNanos() + LEASE_RETRY_DELAY.toNanos());
			}
			action = applyLeaseEvent(result);
		}
		if (!this.leaseState.grant().equals(previousGrant)) {
			this.grantRequestedAt = requestedAt;
		}
	}

	private Optional<LeaseAction> applyLeaseEvent(LeaseEvent event) {
		return applyLeaseEvent(event, this.clocks.get().monotonicNanos());
	}

	private Optional<LeaseAction> applyLeaseEvent(LeaseEvent event, long nowNanos) {
		boolean wasHeld = this.leaseState.grant().isPresent();
		Transition<LeaseState, LeaseAction> transition = this.lease.next(this.leaseState, event, nowNanos);
		this.leaseState = transition.state();
		if (wasHeld != this.leaseState.grant().isPresent()) {
			logger.atInfo()
				.addKeyValue("held", !wasHeld)
				.addKeyValue("fencing", this.leaseState.grant().map(LeaseGrant::fencing).orElse(0L))
				.log("placement lease acquired or lost");
		}
		return transition.actions().stream().findFirst();
	}

	// Sends the orders concurrently and waits until all have ended.
	private void sendOrders(List<Placement> placements, LeaseGrant grant) throws InterruptedException {
		CountDownLatch remaining = new CountDownLatch(placements.size());
		for (Placement placement : placements) {
			this.orderExecutor.execute(() -> {
				try {
					sendOrder(placement, grant);
				}
				finally {
					remaining.countDown();
				}
			});
		}
		remaining.await();
	}

	private void sendOrder(Placement placement, LeaseGrant grant) {
		Optional<PlacementReply> reply = Optional.empty();
		OptionalLong acceptedOrders = OptionalLong.empty();
		String outcome;
		try {
			acceptedOrders = this.client.acceptedOrderCount(placement.engine(), ORDER_TIMEOUT);
			if (!isValidForOrder(grant)) {
				return;
			}
			// An engine accepts no order while it executes another one, so the order is
			// retried later.
			reply = Optional.of(acceptedOrders.isEmpty() ? PlacementReply.CONFLICT
					: this.client.sendOrder(placement, acceptedOrders.getAsLong(), grant.fencing(), ORDER_TIMEOUT));
			outcome = reply.get().name();
			if (reply.get() == PlacementReply.FENCED) {
				this.fenced = true;
			}
		}
		catch (PeerException ex) {
			outcome = "no reply: " + ex;
		}
		this.pendingOrders.add(placement, reply, this.clocks.get().monotonicNanos());
		logger.atInfo()
			.addKeyValue("upstream", placement.engine().id())
			.addKeyValue("layers", placement.layers())
			.addKeyValue("fencing", grant.fencing())
			.addKeyValue("expected_orders", acceptedOrders)
			.addKeyValue("outcome", outcome)
			.log("placement order attempted");
	}

	@Override
	public void close() {
		this.closed.countDown();
		this.orderExecutor.shutdownNow();
		this.thread.interrupt();
	}

	/** Everything that the plan for a service depends on. */
	private record PlanInput(EngineProfile profile, List<EngineInstance> engines, List<String> changingIds,
			Map<String, Double> slowdowns, boolean settled) {

	}

	/** The orders for a service and the engines, with pending orders, that they suit. */
	private record ServicePlan(String service, LayerPlanner planner, List<EngineInstance> engines,
			List<Placement> placements) {

	}

	/** The engines of a service and the monotonic time since which they are unchanged. */
	private record EngineMembership(Set<String> engineIds, long unchangedSinceNanos) {

	}

}
