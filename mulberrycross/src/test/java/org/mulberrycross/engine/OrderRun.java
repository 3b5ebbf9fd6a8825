package org.mulberrycross.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
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
import org.mulberrycross.Transition;
import org.mulberrycross.weightstore.LoadBudget;

/**
 * Randomised run of several daemons that order setups from engines, on a manual clock.
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

	private final Deque<Runnable> lateOrders = new ArrayDeque<>();

	private final Map<Event, Integer> events = new EnumMap<>(Event.class);

	private long nanos;

	private boolean faults = true;

	private boolean outage;

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

	void run(int steps) {
		for (int i = 0; i < steps; i++) {
			fault(this.random.nextInt(1000));
			step();
		}
	}

	boolean settle(int steps) {
		this.faults = false;
		this.outage = false;
		this.daemons.forEach((daemon) -> daemon.paused = false);
		while (this.store.deliverDelayed() || deliverLateOrder()) {
			count(Event.LATE_DELIVERY);
		}
		for (int i = 0; i < steps; i++) {
			step();
		}
		return this.engines.stream().allMatch((engine) -> engine.report().current().equals(engine.desired));
	}

	private void step() {
		this.nanos += Duration.ofMillis(this.random.nextInt(100)).toNanos();
		Daemon daemon = this.daemons.get(this.random.nextInt(DAEMONS));
		if (!daemon.paused) {
			daemon.leases.values().forEach((lease) -> advance(daemon, lease));
			this.engines.stream()
				.filter((engine) -> this.random.nextBoolean())
				.forEach((engine) -> advance(daemon, engine));
		}
		checkHolders();
	}

	private void fault(int draw) {
		Daemon daemon = this.daemons.get(this.random.nextInt(DAEMONS));
		if (draw < (daemon.paused ? 12 : 6)) {
			daemon.paused = !daemon.paused;
			count(Event.PAUSE);
		}
		else if (draw < 14) {
			this.daemons.set(this.daemons.indexOf(daemon), new Daemon());
			count(Event.KILL);
		}
		else if (draw < (this.outage ? 24 : 16)) {
			this.outage = !this.outage;
			count(Event.OUTAGE);
		}
		else if (draw < 40 && this.store.deliverDelayed() || draw >= 40 && draw < 45 && deliverLateOrder()) {
			count(Event.LATE_DELIVERY);
		}
		else if (draw > 970) {
			this.engines.get(this.random.nextInt(this.engines.size())).desired = setup();
		}
	}

	private EngineSetup setup() {
		EngineRole[] roles = EngineRole.values();
		return new EngineSetup("model", "v" + this.random.nextInt(3), "", roles[this.random.nextInt(roles.length)]);
	}

	private void advance(Daemon daemon, Lease lease) {
		if (lease.action != null) {
			lease.event = lease.writer.perform(lease.action);
			lease.action = null;
			return;
		}
		LeaseEvent event = (lease.event != null) ? lease.event : new LeaseEvent.Tick("token-" + this.tokens++);
		long term = lease.term();
		boolean unsettled = lease.state.unsettled() && event instanceof LeaseEvent.Found;
		Transition<LeaseState, LeaseAction> step = daemon.decision.next(lease.state, event, daemon.now());
		lease.state = step.state();
		lease.event = null;
		step.actions().forEach((action) -> lease.action = action);
		if (unsettled && lease.state.grant().isPresent()) {
			count(Event.LOST_WRITE_SETTLED);
		}
		if (lease.term() > term) {
			count(Event.NEW_TERM);
			String key = lease.name + " " + lease.term();
			check(this.terms.putIfAbsent(key, daemon) == null, "two terms have the number " + key);
		}
	}

	private void advance(Daemon daemon, Engine engine) {
		Optional<LeaseGrant> grant = daemon.leases.get(engine.lease).state.grant();
		Planned planned = daemon.planned.remove(engine);
		if (planned != null) {
			send(daemon, engine, planned);
		}
		else if (grant.isPresent()) {
			EngineReport report = engine.report();
			if (grant.get().lasts(Duration.ZERO, daemon.now())
					&& this.orders.settled(grant.get(), engine.desired, report, engine.checks)) {
				engine.settledBy = Math.max(engine.settledBy, grant.get().fencing());
			}
			this.orders
				.next(grant.get(), engine.desired, report, engine.checks,
						(setup, now) -> daemon.budget.tryStart(WEIGHT_BYTES, now), daemon.now())
				.ifPresent((order) -> plan(daemon, engine, new Planned(order, grant.get())));
		}
	}

	private void plan(Daemon daemon, Engine engine, Planned planned) {
		daemon.planned.put(engine, planned);
		if (this.faults && this.random.nextInt(10) == 0) {
			daemon.paused = true;
			count(Event.PAUSE);
		}
	}

	private void send(Daemon daemon, Engine engine, Planned planned) {
		OrderSender sender = new OrderSender((name, address, order, timeout) -> {
			check(planned.grant().validUntilNanos() - daemon.now() > timeout.toNanos(), "order leaves after its lease");
			return deliver(engine, order);
		}, daemon::now, SEND_BOUND);
		try {
			sender.send(engine.lease, ADDRESS, planned.order(), planned.grant());
			count(Event.ORDER_ANSWERED);
		}
		catch (OutcomeUnknownException ex) {
			count(Event.ORDER_LOST);
		}
		catch (PeerException ex) {
			count(Event.ORDER_NOT_SENT);
		}
	}

	private OrderReply deliver(Engine engine, EngineOrder order) throws PeerException {
		int draw = this.faults ? this.random.nextInt(10) : 9;
		if (draw < 3) {
			this.lateOrders.add(() -> engine.receive(order));
		}
		else if (draw > 3) {
			OrderReply reply = engine.receive(order);
			if (draw > 4) {
				return reply;
			}
		}
		throw new OutcomeUnknownException(Step.ORDER, new Peer(Peer.Kind.ENGINE, engine.lease), "no answer", null);
	}

	private boolean deliverLateOrder() {
		Optional<Runnable> order = Optional.ofNullable(this.lateOrders.poll());
		order.ifPresent(Runnable::run);
		return order.isPresent();
	}

	private void checkHolders() {
		for (Engine engine : this.engines) {
			long holders = this.daemons.stream().filter((daemon) -> daemon.holds(engine.lease)).count();
			check(holders <= 1, holders + " daemons hold the lease " + engine.lease);
		}
	}

	private FakeLeaseStore.Fault storeFault() {
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

		PAUSE, KILL, OUTAGE, LATE_DELIVERY, NEW_TERM, LOST_WRITE_SETTLED, ORDER_ANSWERED, ORDER_LOST, ORDER_NOT_SENT,
		FORMER_HOLDER_REFUSED, FORMER_HOLDER_OBEYED

	}

	/**
	 * An order that was decided and not sent yet.
	 *
	 * @param order the order
	 * @param grant the right under which it was decided
	 */
	private record Planned(EngineOrder order, LeaseGrant grant) {

	}

	/**
	 * One lease as one daemon sees it, with what is outstanding.
	 */
	private final class Lease {

		private final String name;

		private final LeaseWriter writer;

		private LeaseState state = LeaseState.initial();

		private LeaseAction action;

		private LeaseEvent event;

		Lease(String name) {
			this.name = name;
			this.writer = new LeaseWriter(OrderRun.this.store, name);
		}

		long term() {
			return this.state.held().lease().fencing();
		}

	}

	/**
	 * A daemon with a clock of its own.
	 */
	private final class Daemon {

		private final double rate = 1 + (OrderRun.this.random.nextDouble() * 2 - 1) * MAX_RATE_ERROR;

		private final long offset = OrderRun.this.random.nextLong() >> 4;

		private final OrderLease decision = new OrderLease("daemon", LEASE);

		private final LoadBudget budget = new LoadBudget(WEIGHT_BYTES, now());

		private final Map<String, Lease> leases = new HashMap<>();

		private final Map<Engine, Planned> planned = new HashMap<>();

		private boolean paused;

		Daemon() {
			OrderRun.this.engines.forEach((engine) -> this.leases.computeIfAbsent(engine.lease, Lease::new));
		}

		long now() {
			return this.offset + (long) (OrderRun.this.nanos * this.rate);
		}

		boolean holds(String lease) {
			return this.leases.get(lease).state.grant()
				.filter((grant) -> grant.lasts(Duration.ZERO, now()))
				.isPresent();
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
