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

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.PeerException;
import org.mulberrycross.Transition;
import org.mulberrycross.engine.EngineInstance;
import org.mulberrycross.engine.EngineProfile;
import org.mulberrycross.engine.LayerPlanner;
import org.mulberrycross.engine.LeaseAction;
import org.mulberrycross.engine.LeaseEvent;
import org.mulberrycross.engine.LeaseGrant;
import org.mulberrycross.engine.LeaseState;
import org.mulberrycross.engine.LeaseWriter;
import org.mulberrycross.engine.OrderLease;
import org.mulberrycross.engine.Placement;

/**
 * Traffic thread that places layers on engines, as long as this daemon holds the lease
 * for it. The lease is taken only when there is something to order, so that nothing is
 * written while all layers stand. Thread-safe.
 */
final class PlacementRunner implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(PlacementRunner.class);

	/** Name of the lease. */
	static final String LEASE_NAME = "placement";

	/** Validity of the lease; a daemon that dies while it places is replaced after it. */
	static final Duration LEASE_TIME = Duration.ofSeconds(4);

	/** Period of the check for something to place. */
	private static final Duration PERIOD = Duration.ofMillis(200);

	/** Bound on one order: hundreds of round trips within a region. */
	private static final Duration ORDER_TIMEOUT = Duration.ofMillis(700);

	/**
	 * Time without new engines before the first copies are laid out, so that engines that
	 * start together share the layers.
	 */
	private static final Duration GATHER_TIME = Duration.ofMillis(900);

	/** Orders on their way at the same time. */
	private static final int ORDERS_AT_ONCE = 8;

	private final Supplier<PlacementView> view;

	private final OrderLease lease;

	private final LeaseWriter writer;

	private final PlacementClient client;

	private final MonotonicClock clock;

	private final Supplier<String> tokens;

	private final PendingOrders pending = new PendingOrders();

	private final Map<String, Gathering> gatherings = new HashMap<>();

	private final CountDownLatch closed = new CountDownLatch(1);

	private final ExecutorService senders = Executors.newFixedThreadPool(ORDERS_AT_ONCE, (task) -> {
		Thread thread = new Thread(task, "order");
		thread.setDaemon(true);
		return thread;
	});

	private final Thread thread = new Thread(this::run, "placement");

	private LeaseState state = LeaseState.initial();

	/**
	 * Whether an engine has seen a higher fencing number, so that the lease is not ours.
	 */
	private volatile boolean fenced;

	PlacementRunner(Supplier<PlacementView> view, OrderLease lease, LeaseWriter writer, PlacementClient client,
			MonotonicClock clock, Supplier<String> tokens) {
		this.view = Objects.requireNonNull(view, "view");
		this.lease = Objects.requireNonNull(lease, "lease");
		this.writer = Objects.requireNonNull(writer, "writer");
		this.client = Objects.requireNonNull(client, "client");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.tokens = Objects.requireNonNull(tokens, "tokens");
		this.thread.setDaemon(true);
	}

	void start() {
		this.thread.start();
	}

	private void run() {
		try {
			while (!this.closed.await(PERIOD.toMillis(), TimeUnit.MILLISECONDS)) {
				round();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void round() throws InterruptedException {
		PlacementView seen = this.view.get();
		long now = this.clock.nanos();
		List<Placement> placements = seen.profiles()
			.entrySet()
			.stream()
			.flatMap((entry) -> plan(entry.getKey(), entry.getValue(),
					seen.engines().getOrDefault(entry.getKey(), List.of()), now)
				.stream())
			.toList();
		if (placements.isEmpty()) {
			return;
		}
		if (this.fenced) {
			this.fenced = false;
			this.state = LeaseState.initial();
			logger.info("placement lease given up, since an engine has seen a newer one");
		}
		advanceLease();
		Optional<LeaseGrant> grant = this.state.grant().filter((held) -> held.lasts(ORDER_TIMEOUT, this.clock.nanos()));
		if (grant.isPresent()) {
			send(placements, grant.get());
		}
	}

	private List<Placement> plan(String service, EngineProfile profile, List<EngineInstance> engines, long now) {
		List<EngineInstance> ordered = this.pending.overlay(engines, now);
		Set<String> ids = engines.stream().map(EngineInstance::id).collect(Collectors.toSet());
		Gathering gathering = this.gatherings.get(service);
		if (gathering == null || !gathering.ids().equals(ids)) {
			gathering = new Gathering(ids, now);
			this.gatherings.put(service, gathering);
		}
		boolean first = ordered.stream().allMatch((engine) -> engine.layers().isEmpty());
		if (first && now - gathering.sinceNanos() < GATHER_TIME.toNanos()) {
			return List.of();
		}
		return new LayerPlanner(profile).plan(ordered);
	}

	private void advanceLease() {
		Optional<LeaseAction> action = next(new LeaseEvent.Tick(this.tokens.get()));
		while (action.isPresent()) {
			action = next(this.writer.perform(action.get()));
		}
	}

	private Optional<LeaseAction> next(LeaseEvent event) {
		boolean held = this.state.grant().isPresent();
		Transition<LeaseState, LeaseAction> step = this.lease.next(this.state, event, this.clock.nanos());
		this.state = step.state();
		if (held != this.state.grant().isPresent()) {
			logger.atInfo()
				.addKeyValue("held", !held)
				.addKeyValue("fencing", this.state.grant().map(LeaseGrant::fencing).orElse(0L))
				.log("placement lease changed");
		}
		return step.actions().stream().findFirst();
	}

	private void send(List<Placement> placements, LeaseGrant grant) throws InterruptedException {
		CountDownLatch left = new CountDownLatch(placements.size());
		for (Placement placement : placements) {
			this.senders.execute(() -> {
				try {
					order(placement, grant);
				}
				finally {
					left.countDown();
				}
			});
		}
		left.await();
	}

	private void order(Placement placement, LeaseGrant grant) {
		Optional<PlacementReply> reply = Optional.empty();
		OptionalLong taken = OptionalLong.empty();
		String outcome;
		try {
			taken = this.client.ordersTaken(placement.engine(), ORDER_TIMEOUT);
			if (!grant.lasts(ORDER_TIMEOUT, this.clock.nanos())) {
				return;
			}
			// An engine that carries out an order takes no other one, so it is
			// asked again later.
			reply = Optional.of(taken.isEmpty() ? PlacementReply.CONFLICT
					: this.client.order(placement, taken.getAsLong(), grant.fencing(), ORDER_TIMEOUT));
			outcome = reply.get().name();
			if (reply.get() == PlacementReply.FENCED) {
				this.fenced = true;
			}
		}
		catch (PeerException ex) {
			outcome = "no answer: " + ex;
		}
		this.pending.put(placement, reply, this.clock.nanos());
		logger.atInfo()
			.addKeyValue("upstream", placement.engine().id())
			.addKeyValue("layers", placement.layers())
			.addKeyValue("fencing", grant.fencing())
			.addKeyValue("expected_orders", taken)
			.addKeyValue("outcome", outcome)
			.log("layers ordered");
	}

	@Override
	public void close() {
		this.closed.countDown();
		this.senders.shutdownNow();
		this.thread.interrupt();
	}

	/**
	 * The engines of a service and since when there are just these.
	 */
	private record Gathering(Set<String> ids, long sinceNanos) {

	}

}
