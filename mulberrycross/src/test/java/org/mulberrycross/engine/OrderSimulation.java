package org.mulberrycross.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.mulberrycross.Address;
import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.weightstore.LoadRateLimiter;

/**
 * Randomised simulation of several daemons that send orders to engines, on a manual
 * clock. A daemon is paused inside a call of its store or clock by running the other
 * daemons in the meantime. Throws an exception as soon as two daemons hold the same
 * lease, an order is sent although the lease may expire during the exchange, or an engine
 * that checks fencing numbers executes an order of a previous holder.
 */
final class OrderSimulation {

	private static final Duration LEASE_DURATION = Duration.ofSeconds(10);

	private static final Duration SEND_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration LOAD_TIME = Duration.ofSeconds(3);

	private static final long WEIGHT_BYTES = 1000;

	/** Two clocks with opposite errors differ by slightly less than the margin. */
	private static final double MAX_CLOCK_RATE_ERROR = OrderLease.CLOCK_RATE_MARGIN * 0.49;

	private static final int DAEMONS = 4;

	private static final int LEASES = 3;

	private static final Duration MAX_COPY_AGE = Duration.ofSeconds(30);

	private static final Address ADDRESS = new Address("127.0.0.1", 1);

	private final Random random;

	private final FakeLeaseStore store = new FakeLeaseStore(this::nextStoreFault);

	private final OrderPlanner planner = new OrderPlanner(SEND_TIMEOUT);

	private final List<Daemon> daemons = new ArrayList<>();

	private final List<Engine> engines = new ArrayList<>();

	private final Map<String, Daemon> holdersByTerm = new HashMap<>();

	private final List<Runnable> delayedOrders = new ArrayList<>();

	private final Map<Event, Integer> eventCounts = new EnumMap<>(Event.class);

	private long nanos;

	private boolean faultsEnabled = true;

	private boolean outage;

	private Optional<Map<String, StoredLease>> copy = Optional.empty();

	private long copiedNanos;

	private int remainingSteps;

	private Daemon activeDaemon;

	private int tokenCount;

	OrderSimulation(long seed) {
		this.random = new Random(seed);
		this.engines.add(new Engine("own-checks", true));
		this.engines.add(new Engine("own-ignores", false));
		this.engines.add(new Engine("group", true));
		this.engines.add(new Engine("group", false));
		for (int i = 0; i < DAEMONS; i++) {
			this.daemons.add(new Daemon());
		}
	}

	Map<Event, Integer> eventCounts() {
		return this.eventCounts;
	}

	void run(int stepCount) {
		this.remainingSteps = stepCount;
		while (this.remainingSteps > 0) {
			step();
		}
	}

	// Runs without further faults and returns whether all engines have the desired setup.
	boolean converges(int stepCount) {
		this.faultsEnabled = false;
		this.outage = false;
		while (this.store.deliverDelayedWrite() || deliverDelayedOrder()) {
			countEvent(Event.DELAYED_DELIVERY);
		}
		run(stepCount);
		return this.engines.stream().allMatch((engine) -> engine.report().current().equals(engine.desired));
	}

	private void step() {
		this.remainingSteps--;
		this.nanos += Duration.ofMillis(this.random.nextInt(100)).toNanos();
		if (this.faultsEnabled) {
			injectFault(this.random.nextInt(1000));
		}
		Daemon daemon = this.daemons.get(this.random.nextInt(DAEMONS));
		if (!daemon.paused) {
			daemon.reconcilersByLease.keySet().forEach((lease) -> reconcile(daemon, lease));
		}
		checkSingleHolder();
	}

	private void injectFault(int draw) {
		Daemon daemon = this.daemons.get(this.random.nextInt(DAEMONS));
		if (draw < 5 && !daemon.paused) {
			this.daemons.set(this.daemons.indexOf(daemon), new Daemon());
			countEvent(Event.KILL);
		}
		else if (draw >= 5 && draw < (this.outage ? 14 : 7)) {
			this.outage = !this.outage;
			countEvent(Event.OUTAGE);
		}
		else if (draw < 40 && this.store.deliverDelayedWrite() || draw >= 40 && draw < 43 && deliverDelayedOrder()) {
			countEvent(Event.DELAYED_DELIVERY);
		}
		else if (draw >= 43 && draw < 46) {
			copyOrRestoreStore();
		}
		else if (draw > 950) {
			this.engines.get(this.random.nextInt(this.engines.size())).desired = randomSetup();
		}
	}

	// A copy is some seconds old at most. A daemon that starts after the return can't
	// know
	// of a lease whose first record is lost, so that copies hold a record of each.
	private void copyOrRestoreStore() {
		boolean recent = this.nanos - this.copiedNanos <= MAX_COPY_AGE.toNanos();
		if (this.copy.isPresent() && recent) {
			this.store.restore(this.copy.get());
			this.copy = Optional.empty();
			countEvent(Event.STORE_RESTORED);
			return;
		}
		this.copy = this.store.copy().filter((copied) -> copied.size() == LEASES);
		this.copiedNanos = this.nanos;
	}

	private EngineSetup randomSetup() {
		EngineRole[] roles = EngineRole.values();
		return new EngineSetup("model", "v" + this.random.nextInt(3), "", roles[this.random.nextInt(roles.length)]);
	}

	// Pauses the daemon with a probability of 1 / oneIn. The others run in the meantime.
	private void pauseSometimes(Daemon daemon, int oneIn) {
		if (!this.faultsEnabled || this.random.nextInt(oneIn) > 0) {
			return;
		}
		daemon.paused = true;
		countEvent(Event.PAUSE);
		for (int remaining = this.random.nextInt(500); remaining > 0 && this.remainingSteps > 0; remaining--) {
			step();
		}
		daemon.paused = false;
	}

	private void reconcile(Daemon daemon, String lease) {
		Daemon outerDaemon = this.activeDaemon;
		this.activeDaemon = daemon;
		OrderReconciler reconciler = daemon.reconcilersByLease.get(lease);
		long previousFencing = fencing(reconciler);
		List<Engine> group = this.engines.stream().filter((engine) -> engine.leaseName.equals(lease)).toList();
		reconciler.reconcile(group.stream().map(Engine::toManagedEngine).toList(),
				(setup, nowNanos) -> daemon.loadRateLimiter.tryStart(WEIGHT_BYTES, nowNanos));
		this.activeDaemon = outerDaemon;
		if (fencing(reconciler) > previousFencing) {
			countEvent(Event.NEW_TERM);
			String term = lease + " " + fencing(reconciler);
			check(this.holdersByTerm.putIfAbsent(term, daemon) == null, "fencing number used by two terms: " + term);
		}
		reconciler.grant()
			.filter((grant) -> daemon.holds(lease))
			.ifPresent((grant) -> group.stream()
				.filter((engine) -> this.planner.isUpToDate(grant, engine.desired, engine.report(),
						engine.checksFencing))
				.forEach((engine) -> engine.highestConfirmedFencing = Math.max(engine.highestConfirmedFencing,
						grant.fencing())));
	}

	private static long fencing(OrderReconciler reconciler) {
		return reconciler.grant().map(LeaseGrant::fencing).orElse(0L);
	}

	private OrderReply deliver(Engine engine, EngineOrder order) throws PeerException {
		int draw = this.faultsEnabled ? this.random.nextInt(10) : 9;
		if (draw < 5) {
			this.delayedOrders.add(() -> engine.receive(order));
		}
		else if (draw > 5) {
			OrderReply reply = engine.receive(order);
			if (draw > 6) {
				countEvent(Event.ORDER_ANSWERED);
				return reply;
			}
		}
		countEvent(Event.ORDER_LOST);
		throw new OutcomeUnknownException(Step.ORDER, new Peer(Peer.Kind.ENGINE, engine.name()), "no response", null);
	}

	private boolean deliverDelayedOrder() {
		if (this.delayedOrders.isEmpty()) {
			return false;
		}
		this.delayedOrders.remove(this.random.nextInt(this.delayedOrders.size())).run();
		return true;
	}

	private void checkSingleHolder() {
		for (Engine engine : this.engines) {
			long holders = this.daemons.stream().filter((daemon) -> daemon.holds(engine.leaseName)).count();
			check(holders <= 1, holders + " daemons hold lease " + engine.leaseName);
		}
	}

	private Engine findEngine(String name) {
		return this.engines.stream().filter((engine) -> engine.name().equals(name)).findFirst().orElseThrow();
	}

	private FakeLeaseStore.Fault nextStoreFault() {
		pauseSometimes(this.activeDaemon, 300);
		if (this.outage) {
			return FakeLeaseStore.Fault.UNAVAILABLE;
		}
		FakeLeaseStore.Fault[] all = FakeLeaseStore.Fault.values();
		boolean faulty = this.faultsEnabled && this.random.nextInt(10) == 0;
		return faulty ? all[this.random.nextInt(all.length)] : FakeLeaseStore.Fault.NONE;
	}

	private void countEvent(Event event) {
		this.eventCounts.merge(event, 1, Integer::sum);
	}

	private static void check(boolean condition, String message) {
		if (!condition) {
			throw new IllegalStateException(message);
		}
	}

	/**
	 * Events that are counted during a run.
	 */
	enum Event {

		PAUSE, KILL, OUTAGE, DELAYED_DELIVERY, NEW_TERM, ORDER_ANSWERED, ORDER_LOST, ORDER_NOT_SENT,
		STALE_ORDER_REFUSED, STALE_ORDER_EXECUTED, STORE_RESTORED

	}

	/**
	 * Daemon whose clock has its own rate and offset.
	 */
	private final class Daemon {

		private final double clockRate = 1 + (OrderSimulation.this.random.nextDouble() * 2 - 1) * MAX_CLOCK_RATE_ERROR;

		private final long clockOffsetNanos = OrderSimulation.this.random.nextLong() >> 4;

		private final OrderLease stateMachine = new OrderLease("daemon", LEASE_DURATION);

		private final LoadRateLimiter loadRateLimiter = new LoadRateLimiter(WEIGHT_BYTES, nowNanos());

		private final Map<String, OrderReconciler> reconcilersByLease = new HashMap<>();

		private boolean paused;

		Daemon() {
			OrderSimulation.this.engines
				.forEach((engine) -> this.reconcilersByLease.computeIfAbsent(engine.leaseName, this::newReconciler));
		}

		private OrderReconciler newReconciler(String lease) {
			OrderSender sender = new OrderSender((name, address, order, timeout) -> {
				LeaseGrant grant = this.reconcilersByLease.get(lease).grant().orElseThrow();
				check(grant.isValidFor(timeout, nowNanos()),
						"order sent although the lease expires during the exchange");
				return deliver(findEngine(name), order);
			}, () -> {
				long nowNanos = nowAfterPause(8);
				if (!this.reconcilersByLease.get(lease).grant().orElseThrow().isValidFor(SEND_TIMEOUT, nowNanos)) {
					countEvent(Event.ORDER_NOT_SENT);
				}
				return nowNanos;
			}, SEND_TIMEOUT);
			LeaseActionExecutor leaseExecutor = new LeaseActionExecutor(OrderSimulation.this.store, lease);
			return new OrderReconciler(new OrderLease("daemon", LEASE_DURATION), leaseExecutor,
					OrderSimulation.this.planner, (name, address, timeout) -> findEngine(name).report(), sender,
					() -> nowAfterPause(300), () -> "token-" + OrderSimulation.this.tokenCount++);
		}

		private long nowAfterPause(int oneIn) {
			pauseSometimes(this, oneIn);
			return nowNanos();
		}

		long nowNanos() {
			return this.clockOffsetNanos + (long) (OrderSimulation.this.nanos * this.clockRate);
		}

		boolean holds(String lease) {
			return this.reconcilersByLease.get(lease)
				.grant()
				.filter((grant) -> grant.isValidFor(Duration.ZERO, nowNanos()))
				.isPresent();
		}

	}

	/**
	 * Engine that takes some time to load weights.
	 */
	private final class Engine {

		private final String leaseName;

		private final boolean checksFencing;

		private EngineSetup desired = new EngineSetup("model", "v1", "", EngineRole.BOTH);

		private EngineSetup current = new EngineSetup("model", "v0", "", EngineRole.BOTH);

		private EngineSetup target = this.current;

		private long loadedAtNanos;

		private long fencing;

		private long highestExecutedFencing;

		private long highestConfirmedFencing;

		Engine(String leaseName, boolean checksFencing) {
			this.leaseName = leaseName;
			this.checksFencing = checksFencing;
		}

		String name() {
			return this.leaseName + " " + this.checksFencing;
		}

		ManagedEngine toManagedEngine() {
			return new ManagedEngine(name(), ADDRESS, this.desired, this.checksFencing);
		}

		EngineSetupReport report() {
			if (OrderSimulation.this.nanos >= this.loadedAtNanos) {
				this.current = this.target;
			}
			return new EngineSetupReport(this.current, this.target, this.fencing);
		}

		OrderReply receive(EngineOrder order) {
			EngineSetupReport report = report();
			if (this.checksFencing && order.fencing() < this.fencing) {
				countEvent(Event.STALE_ORDER_REFUSED);
				return new OrderReply(false, "outdated fencing number", report);
			}
			if (this.checksFencing && !order.expected().equals(this.current)) {
				return new OrderReply(false, "unexpected current setup", report);
			}
			execute(order);
			return new OrderReply(true, "", report());
		}

		private void execute(EngineOrder order) {
			check(!this.checksFencing
					|| order.fencing() >= Math.max(this.highestConfirmedFencing, this.highestExecutedFencing),
					"engine executes an order of a previous holder");
			if (order.fencing() < this.highestExecutedFencing) {
				countEvent(Event.STALE_ORDER_EXECUTED);
			}
			this.highestExecutedFencing = Math.max(this.highestExecutedFencing, order.fencing());
			this.fencing = this.checksFencing ? order.fencing() : 0;
			if (!order.desired().equals(this.target)) {
				boolean loadsWeights = !order.desired().hasSameWeights(this.current);
				this.target = order.desired();
				this.loadedAtNanos = OrderSimulation.this.nanos + (loadsWeights ? LOAD_TIME.toNanos() : 0);
			}
		}

	}

}
