package org.mulberrycross.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.mulberrycross.Address;
import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.weightstore.LoadBudget;

/**
 * Randomised run of several daemons that order setups from engines, on a manual clock. A
 * daemon is paused inside a call of its store or clock by running the others meanwhile.
 * Throws as soon as two daemons hold a lease, an order leaves without a lease that lasts,
 * or an engine that checks fencing numbers acts on an order of a former holder.
 */
final class OrderRun {

	private static final Duration LEASE = Duration.ofSeconds(10);

	private static final Duration SEND_BOUND = Duration.ofSeconds(1);

	private static final Duration LOAD = Duration.ofSeconds(3);

	private static final long WEIGHT_BYTES = 1000;

	/** Twice this is just below the margin that the leases allow for. */
	private static final double MAX_RATE_ERROR = OrderLease.CLOCK_RATE_MARGIN * 0.49;

	private static final int DAEMONS = 4;

	private static final Address ADDRESS = new Address("127.0.0.1", 1);

	private final Random random;

	private final FakeLeaseStore store = new FakeLeaseStore(this::storeFault);

	private final EngineOrders orders = new EngineOrders(SEND_BOUND);

	private final List<Daemon> daemons = new ArrayList<>();

	private final List<Engine> engines = new ArrayList<>();

	private final Map<String, Daemon> terms = new HashMap<>();

	private final List<Runnable> lateOrders = new ArrayList<>();

	private final Map<Event, Integer> events = new EnumMap<>(Event.class);

	private long nanos;

	private boolean faults = true;

	private boolean outage;

	private int steps;

	private Daemon current;

	private int tokens;

	OrderRun(long seed) {
		this.random = new Random(seed);
		this.engines.add(new Engine("own-checks", true));
		this.engines.add(new Engine("own-ignores", false));
		this.engines.add(new Engine("group", true));
		this.engines.add(new Engine("group", false));
		for (int i = 0; i < DAEMONS; i++) {
			this.daemons.add(new Daemon());
		}
	}

	Map<Event, Integer> events() {
		return this.events;
	}

	void run(int count) {
		this.steps = count;
		while (this.steps > 0) {
			step();
		}
	}

	boolean settle(int count) {
		this.faults = false;
		this.outage = false;
		while (this.store.deliverDelayed() || deliverLateOrder()) {
			count(Event.LATE_DELIVERY);
		}
		run(count);
		return this.engines.stream().allMatch((engine) -> engine.report().current().equals(engine.desired));
	}

	private void step() {
		this.steps--;
		this.nanos += Duration.ofMillis(this.random.nextInt(100)).toNanos();
		if (this.faults) {
			fault(this.random.nextInt(1000));
		}
		Daemon daemon = this.daemons.get(this.random.nextInt(DAEMONS));
		if (!daemon.paused) {
			daemon.leases.keySet().forEach((lease) -> round(daemon, lease));
		}
		checkHolders();
	}

	private void fault(int draw) {
		Daemon daemon = this.daemons.get(this.random.nextInt(DAEMONS));
		if (draw < 5 && !daemon.paused) {
			this.daemons.set(this.daemons.indexOf(daemon), new Daemon());
			count(Event.KILL);
		}
		else if (draw >= 5 && draw < (this.outage ? 14 : 7)) {
			this.outage = !this.outage;
			count(Event.OUTAGE);
		}
		else if (draw < 40 && this.store.deliverDelayed() || draw >= 40 && draw < 43 && deliverLateOrder()) {
			count(Event.LATE_DELIVERY);
		}
		else if (draw > 950) {
			this.engines.get(this.random.nextInt(this.engines.size())).desired = setup();
		}
	}

	private EngineSetup setup() {
		EngineRole[] roles = EngineRole.values();
		return new EngineSetup("model", "v" + this.random.nextInt(3), "", roles[this.random.nextInt(roles.length)]);
	}

	// Runs the other daemons meanwhile, until this one goes on.
	private void pause(Daemon daemon, int oneIn) {
		if (!this.faults || this.random.nextInt(oneIn) > 0) {
			return;
		}
		daemon.paused = true;
		count(Event.PAUSE);
		for (int left = this.random.nextInt(500); left > 0 && this.steps > 0; left--) {
			step();
		}
		daemon.paused = false;
	}

	private void round(Daemon daemon, String lease) {
		Daemon interrupted = this.current;
		this.current = daemon;
		LeasedOrders leased = daemon.leases.get(lease);
		long term = term(leased);
		List<Engine> group = this.engines.stream().filter((engine) -> engine.lease.equals(lease)).toList();
		leased.round(group.stream().map(Engine::ordered).toList(),
				(setup, now) -> daemon.budget.tryStart(WEIGHT_BYTES, now));
		this.current = interrupted;
		if (term(leased) > term) {
			count(Event.NEW_TERM);
			String key = lease + " " + term(leased);
			check(this.terms.putIfAbsent(key, daemon) == null, "two terms have the number " + key);
		}
		leased.grant()
			.filter((grant) -> daemon.holds(lease))
			.ifPresent((grant) -> group.stream()
				.filter((engine) -> this.orders.settled(grant, engine.desired, engine.report(), engine.checks))
				.forEach((engine) -> engine.settledBy = Math.max(engine.settledBy, grant.fencing())));
	}

	private static long term(LeasedOrders leased) {
		return leased.grant().map(LeaseGrant::fencing).orElse(0L);
	}

	private OrderReply deliver(Engine engine, EngineOrder order) throws PeerException {
		int draw = this.faults ? this.random.nextInt(10) : 9;
		if (draw < 5) {
			this.lateOrders.add(() -> engine.receive(order));
		}
		else if (draw > 5) {
			OrderReply reply = engine.receive(order);
			if (draw > 6) {
				count(Event.ORDER_ANSWERED);
				return reply;
			}
		}
		count(Event.ORDER_LOST);
		throw new OutcomeUnknownException(Step.ORDER, new Peer(Peer.Kind.ENGINE, engine.name()), "no answer", null);
	}

	private boolean deliverLateOrder() {
		if (this.lateOrders.isEmpty()) {
			return false;
		}
		this.lateOrders.remove(this.random.nextInt(this.lateOrders.size())).run();
		return true;
	}

	private void checkHolders() {
		for (Engine engine : this.engines) {
			long holders = this.daemons.stream().filter((daemon) -> daemon.holds(engine.lease)).count();
			check(holders <= 1, holders + " daemons hold the lease " + engine.lease);
		}
	}

	private Engine engine(String name) {
		return this.engines.stream().filter((engine) -> engine.name().equals(name)).findFirst().orElseThrow();
	}

	private FakeLeaseStore.Fault storeFault() {
		pause(this.current, 300);
		if (this.outage) {
			return FakeLeaseStore.Fault.DOWN;
		}
		FakeLeaseStore.Fault[] all = FakeLeaseStore.Fault.values();
		boolean faulty = this.faults && this.random.nextInt(10) == 0;
		return faulty ? all[this.random.nextInt(all.length)] : FakeLeaseStore.Fault.NONE;
	}

	private void count(Event event) {
		this.events.merge(event, 1, Integer::sum);
	}

	private static void check(boolean condition, String fault) {
		if (!condition) {
			throw new IllegalStateException(fault);
		}
	}

	/**
	 * What happened in a run.
	 */
	enum Event {

		PAUSE, KILL, OUTAGE, LATE_DELIVERY, NEW_TERM, ORDER_ANSWERED, ORDER_LOST, ORDER_NOT_SENT, FORMER_HOLDER_REFUSED,
		FORMER_HOLDER_OBEYED

	}

	/**
	 * A daemon with a clock of its own.
	 */
	private final class Daemon {

		private final double rate = 1 + (OrderRun.this.random.nextDouble() * 2 - 1) * MAX_RATE_ERROR;

		private final long offset = OrderRun.this.random.nextLong() >> 4;

		private final OrderLease decision = new OrderLease("daemon", LEASE);

		private final LoadBudget budget = new LoadBudget(WEIGHT_BYTES, now());

		private final Map<String, LeasedOrders> leases = new HashMap<>();

		private boolean paused;

		Daemon() {
			OrderRun.this.engines.forEach((engine) -> this.leases.computeIfAbsent(engine.lease, this::leased));
		}

		private LeasedOrders leased(String lease) {
			OrderSender sender = new OrderSender((name, address, order, timeout) -> {
				LeaseGrant grant = this.leases.get(lease).grant().orElseThrow();
				check(grant.lasts(timeout, now()), "order leaves after its lease");
				return deliver(engine(name), order);
			}, () -> {
				long now = pausedNow(8);
				if (!this.leases.get(lease).grant().orElseThrow().lasts(SEND_BOUND, now)) {
					count(Event.ORDER_NOT_SENT);
				}
				return now;
			}, SEND_BOUND);
			LeaseWriter writer = new LeaseWriter(OrderRun.this.store, lease);
			return new LeasedOrders(new OrderLease("daemon", LEASE), writer, OrderRun.this.orders,
					(name, address, timeout) -> engine(name).report(), sender, () -> pausedNow(300),
					() -> "token-" + OrderRun.this.tokens++);
		}

		private long pausedNow(int oneIn) {
			pause(this, oneIn);
			return now();
		}

		long now() {
			return this.offset + (long) (OrderRun.this.nanos * this.rate);
		}

		boolean holds(String lease) {
			return this.leases.get(lease).grant().filter((grant) -> grant.lasts(Duration.ZERO, now())).isPresent();
		}

	}

	/**
	 * An engine whose loads take a time.
	 */
	private final class Engine {

		private final String lease;

		private final boolean checks;

		private EngineSetup desired = new EngineSetup("model", "v1", "", EngineRole.BOTH);

		private EngineSetup current = new EngineSetup("model", "v0", "", EngineRole.BOTH);

		private EngineSetup target = this.current;

		private long loadedNanos;

		private long fencing;

		private long newest;

		private long settledBy;

		Engine(String lease, boolean checks) {
			this.lease = lease;
			this.checks = checks;
		}

		String name() {
			return this.lease + " " + this.checks;
		}

		OrderedEngine ordered() {
			return new OrderedEngine(name(), ADDRESS, this.desired, this.checks);
		}

		EngineReport report() {
			if (OrderRun.this.nanos >= this.loadedNanos) {
				this.current = this.target;
			}
			return new EngineReport(this.current, this.target, this.fencing);
		}

		OrderReply receive(EngineOrder order) {
			EngineReport report = report();
			if (this.checks && order.fencing() < this.fencing) {
				count(Event.FORMER_HOLDER_REFUSED);
				return new OrderReply(false, "old number", report);
			}
			if (this.checks && !order.expected().equals(this.current)) {
				return new OrderReply(false, "other setup", report);
			}
			act(order);
			return new OrderReply(true, "", report());
		}

		private void act(EngineOrder order) {
			check(!this.checks || order.fencing() >= Math.max(this.settledBy, this.newest),
					"engine acts on an order of a former holder");
			if (order.fencing() < this.newest) {
				count(Event.FORMER_HOLDER_OBEYED);
			}
			this.newest = Math.max(this.newest, order.fencing());
			this.fencing = this.checks ? order.fencing() : 0;
			if (!order.desired().equals(this.target)) {
				boolean loads = !order.desired().sameWeights(this.current);
				this.target = order.desired();
				this.loadedNanos = OrderRun.this.nanos + (loads ? LOAD.toNanos() : 0);
			}
		}

	}

}
