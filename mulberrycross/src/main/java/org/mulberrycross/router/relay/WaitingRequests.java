package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.caller.ClientCall;
import org.mulberrycross.caller.RankedQueue;
import org.mulberrycross.caller.ReturnSchedule;
import org.mulberrycross.caller.ServiceRate;
import org.mulberrycross.caller.WeightedService;

/**
 * The requests that wait for room at their upstreams, by service: the more urgent rank
 * first, within a rank those that were refused once before new ones, and these fairly by
 * team. A request waits for a fraction of its target latency. Confined to the control
 * thread; not thread-safe.
 */
final class WaitingRequests {

	private static final Logger logger = LoggerFactory.getLogger(WaitingRequests.class);

	/**
	 * A request waits for room for at most its route's target latency divided by this.
	 * Waiting longer would cost the client more than a rejection and a retry.
	 */
	static final int TARGET_LATENCY_WAIT_DIVISOR = 8;

	/** Number of ranks; priorities beyond it share the last one. */
	static final int PRIORITIES = 10;

	/**
	 * While less urgent requests wait, each start of this number goes to the one that has
	 * waited longest, so that no rank is starved by a steady load of more urgent ones.
	 */
	private static final int STARTS_PER_LESS_URGENT = 4;

	/** Number of services above which those without any requests are forgotten. */
	private static final int MAX_IDLE_SERVICES = 256;

	/**
	 * Time after which the first of several clients refused by full upstreams may return.
	 */
	private static final Duration RETRY_AFTER_FULL = Duration.ofMillis(200);

	/** Time between returns until the rate at which requests end is known. */
	private static final Duration UNKNOWN_INTERVAL = Duration.ofMillis(20);

	/**
	 * Shortest time after which a client may return whose request an upstream turned away
	 * while others have room. A second try then still meets target latencies of half a
	 * second.
	 */
	private static final Duration RETRY_AFTER_REJECTION = Duration.ofMillis(200);

	/** Retry-After value if no upstream is eligible, for example while layers load. */
	private static final Duration RETRY_AFTER_NO_UPSTREAM = Duration.ofMillis(1000);

	private final Upstreams upstreams;

	private final Refusal refusal;

	private final RelayMetrics metrics;

	private final MonotonicClock clock;

	private final RandomGenerator random;

	private final Map<String, ServiceQueue> queues = new HashMap<>();

	/** Requests without an eligible upstream if the queue is off, in order of arrival. */
	private final Deque<RelayExchange> unranked = new ArrayDeque<>();

	private final ReturningCallers returningCallers = new ReturningCallers();

	private WaitingSettings settings;

	private int size;

	WaitingRequests(WaitingSettings settings, Upstreams upstreams, Refusal refusal, RelayMetrics metrics,
			MonotonicClock clock, RandomGenerator random) {
		this.settings = settings;
		this.upstreams = upstreams;
		this.refusal = refusal;
		this.metrics = metrics;
		this.clock = clock;
		this.random = random;
	}

	void reload(WaitingSettings changed) {
		this.settings = changed;
	}

	int size() {
		return this.size + this.unranked.size();
	}

	// Starts an admitted request, lets it wait or refuses it.
	void submit(RelayExchange exchange) {
		if (!this.settings.queue()) {
			startOrRetryLater(exchange);
			return;
		}
		long nowNanos = this.clock.nanos();
		exchange.setReturning(this.returningCallers.record(exchange, nowNanos));
		ServiceQueue queue = queue(exchange);
		boolean isBehind = queue.waiting.sizeUpTo(rank(exchange)) > 0;
		if (!isBehind && tryStart(exchange)) {
			return;
		}
		Duration wait = maxWait(exchange).minus(exchange.age(nowNanos));
		if (wait.isNegative() || wait.isZero()) {
			endWait(queue, exchange);
			return;
		}
		Room room = room(exchange);
		boolean isAtLimit = this.size >= this.settings.maxWaiting();
		if (isAtLimit && (room == Room.FULL || room == Room.UNKNOWN)) {
			refuse(exchange, "too many requests wait", retryAfterRejection(exchange));
			return;
		}
		RankedQueue.Ticket<RelayExchange> ticket = queue.waiting.add(rank(exchange), exchange.team().orElse(""), 1,
				nowNanos + wait.toNanos(), exchange);
		changeSize(ticket, 1);
		if (isAtLimit) {
			queue.next().ifPresent((first) -> endWait(queue, first));
		}
		else if (room == Room.FULL && queue.expectedWaitNanos(ticket) > wait.toNanos()
				&& !wouldOvertake(queue, ticket)) {
			endWait(queue, ticket);
		}
	}

	// Returns whether a request that ends its wait now is sent before others that are as
	// urgent. A client that was refused before is sent even to full upstreams.
	private static boolean wouldOvertake(ServiceQueue queue, RankedQueue.Ticket<RelayExchange> ticket) {
		return ticket.item().isReturning() && queue.waiting.sizeUpTo(ticket.rank()) > 1;
	}

	private void endWait(ServiceQueue queue, RankedQueue.Ticket<RelayExchange> ticket) {
		remove(queue, ticket);
		try {
			endWait(queue, ticket.item());
		}
		catch (RuntimeException ex) {
			refuseAfterError(ticket.item(), ex);
		}
	}

	// Without the queue, a request is tried again at each check, in order of arrival and
	// whatever becomes of those before it.
	private void startOrRetryLater(RelayExchange exchange) {
		if (this.upstreams.starter().test(exchange)) {
			return;
		}
		if (exchange.age(this.clock.nanos()).compareTo(maxWait(exchange)) < 0) {
			this.unranked.add(exchange);
			return;
		}
		refuseWithoutUpstream(exchange);
	}

	private static Duration maxWait(RelayExchange exchange) {
		return exchange.rule().targetLatency().dividedBy(TARGET_LATENCY_WAIT_DIVISOR);
	}

	// Records that a request was sent for the first time.
	void recordStart(RelayExchange exchange) {
		exchange.setSentNanos(this.clock.nanos());
		queue(exchange).rate.adjustRunning(1);
	}

	// Records that a request that was sent has ended, and starts requests that wait. How
	// long it ran counts only if it is complete: a rejection or a client that leaves ends
	// a request sooner and tells nothing of the time that others will run.
	void recordEnd(RelayExchange exchange, boolean isComplete) {
		ServiceQueue queue = queue(exchange);
		queue.rate.adjustRunning(-1);
		if (isComplete) {
			queue.rate.recordServiceTime(this.clock.nanos() - exchange.sentNanos());
		}
		startWaiting(queue);
	}

	// Starts requests that have room now and ends the wait of those that waited long
	// enough.
	void check() {
		for (int i = this.unranked.size(); i > 0; i--) {
			Optional.of(this.unranked.remove())
				.filter((exchange) -> !exchange.isFinished())
				.ifPresent(this::startOrRetryLater);
		}
		long nowNanos = this.clock.nanos();
		for (ServiceQueue queue : List.copyOf(this.queues.values())) {
			startWaiting(queue);
			Optional<RankedQueue.Ticket<RelayExchange>> expired = queue.waiting.peekExpired(nowNanos);
			while (expired.isPresent()) {
				endWait(queue, expired.get());
				expired = queue.waiting.peekExpired(nowNanos);
			}
			queue.waiting.unblockAndPrune();
		}
		if (this.queues.size() > MAX_IDLE_SERVICES) {
			this.queues.values().removeIf(ServiceQueue::isIdle);
		}
	}

	// Returns when the client of a request that an upstream turned away may come back:
	// soon if others have room, and otherwise when room is expected, behind those that
	// were refused before.
	Duration retryAfterRejection(RelayExchange exchange) {
		if (!this.settings.spreadReturns()) {
			return InFlightRequests.RETRY_AFTER_BUSY;
		}
		Room room = room(exchange);
		if (room == Room.FREE || room == Room.BUSY) {
			return RETRY_AFTER_REJECTION.plusMillis(this.random.nextLong(RETRY_AFTER_REJECTION.toMillis() / 2));
		}
		return retryAfter(exchange, RETRY_AFTER_FULL);
	}

	// Adds the rank of a request to what its upstream is sent, if the settings say so.
	Forwarding withRank(Forwarding forwarding, RelayExchange exchange) {
		return this.settings.forwardPriority() ? forwarding.withPriority(exchange.priority()) : forwarding;
	}

	private Duration retryAfter(RelayExchange exchange, Duration shortest) {
		ServiceQueue queue = queue(exchange);
		long nowNanos = this.clock.nanos();
		return queue.returns.book(shortest, queue.intervalNanos(), exchange.remainingTime(nowNanos), nowNanos);
	}

	private ServiceQueue queue(RelayExchange exchange) {
		String services = exchange.rule()
			.services()
			.stream()
			.map(WeightedService::service)
			.collect(Collectors.joining(","));
		return this.queues.computeIfAbsent(services, (key) -> new ServiceQueue(this.random));
	}

	private static int rank(RelayExchange exchange) {
		int priority = Math.max(0, Math.min(PRIORITIES - 1, exchange.priority()));
		return 2 * priority + (exchange.isReturning() ? 0 : 1);
	}

	private Room room(RelayExchange exchange) {
		return this.upstreams.roomCheck().room(exchange, this.clock.nanos());
	}

	private boolean tryStart(RelayExchange exchange) {
		if (this.settings.queue()) {
			Room room = room(exchange);
			if (room == Room.BUSY || room == Room.FULL) {
				return false;
			}
		}
		return this.upstreams.starter().test(exchange);
	}

	private void startWaiting(ServiceQueue queue) {
		Optional<RankedQueue.Ticket<RelayExchange>> next = queue.next();
		while (next.isPresent() && leaveQueue(queue, next.get())) {
			next = queue.next();
		}
	}

	// Starts or removes a waiting request, or returns false if it has to wait on.
	private boolean leaveQueue(ServiceQueue queue, RankedQueue.Ticket<RelayExchange> ticket) {
		if (ticket.item().isFinished()) {
			remove(queue, ticket);
			return true;
		}
		try {
			if (!tryStart(ticket.item())) {
				return false;
			}
		}
		catch (RuntimeException ex) {
			// Left in the queue, it would hold up all requests behind it.
			remove(queue, ticket);
			refuseAfterError(ticket.item(), ex);
			return true;
		}
		start(queue, ticket);
		return true;
	}

	private void refuseAfterError(RelayExchange exchange, RuntimeException error) {
		logger.atError()
			.addKeyValue("request", exchange.call().id())
			.setCause(error)
			.log("waiting request could not be started");
		if (!exchange.isFinished()) {
			refuse(exchange, "internal error", InFlightRequests.RETRY_AFTER_BUSY);
		}
	}

	private void start(ServiceQueue queue, RankedQueue.Ticket<RelayExchange> ticket) {
		int mostUrgent = queue.mostUrgentRank();
		ClientCall call = ticket.item().call();
		queue.waiting.start(ticket, 1 + call.promptTokens() + call.maxOutputTokens());
		queue.startsSinceLessUrgent = (ticket.rank() > mostUrgent) ? 0 : queue.startsSinceLessUrgent + 1;
		changeSize(ticket, -1);
		this.metrics.recordWait(ticket.item().priority(), ticket.item().age(this.clock.nanos()));
	}

	private void remove(ServiceQueue queue, RankedQueue.Ticket<RelayExchange> ticket) {
		queue.waiting.remove(ticket);
		changeSize(ticket, -1);
	}

	private void changeSize(RankedQueue.Ticket<RelayExchange> ticket, int change) {
		this.size += change;
		this.metrics.changeWaiting(ticket.item().priority(), change);
	}

	// Handles a request that cannot wait any longer. Room that is only expected to be
	// missing is no reason to refuse it; upstreams that have just turned requests away
	// are one, once for each caller.
	private void endWait(ServiceQueue queue, RelayExchange exchange) {
		if (exchange.isFinished()) {
			return;
		}
		if (this.settings.queue() && !exchange.isReturning() && room(exchange) == Room.FULL) {
			refuse(exchange, "upstreams are full", retryAfterRejection(exchange));
			return;
		}
		if (this.upstreams.starter().test(exchange)) {
			return;
		}
		refuseWithoutUpstream(exchange);
	}

	private void refuseWithoutUpstream(RelayExchange exchange) {
		refuse(exchange, "no upstream can take the request", this.settings.spreadReturns()
				? retryAfter(exchange, RETRY_AFTER_NO_UPSTREAM) : RETRY_AFTER_NO_UPSTREAM);
	}

	private void refuse(RelayExchange exchange, String reason, Duration retryAfter) {
		this.metrics.countRefusal(reason, exchange.priority());
		this.refusal.refuse(exchange, reason, retryAfter);
	}

	/**
	 * What the queue needs of the upstreams.
	 *
	 * @param roomCheck returns whether there is room for a request at a time
	 * @param starter sends or ends a request; false if no upstream is eligible, in which
	 * case nothing has happened
	 */
	record Upstreams(RoomCheck roomCheck, Predicate<RelayExchange> starter) {

	}

	/** Tells whether upstreams have room. */
	@FunctionalInterface
	interface RoomCheck {

		Room room(RelayExchange exchange, long nowNanos);

	}

	/** Ends a request that was not sent. */
	@FunctionalInterface
	interface Refusal {

		void refuse(RelayExchange exchange, String reason, Duration retryAfter);

	}

	/** The requests that wait for one service, and the rate at which others end. */
	private static final class ServiceQueue {

		private final RankedQueue<RelayExchange> waiting = new RankedQueue<>(2 * PRIORITIES);

		private final ServiceRate rate = new ServiceRate();

		private final ReturnSchedule returns;

		private int startsSinceLessUrgent;

		private ServiceQueue(RandomGenerator random) {
			this.returns = new ReturnSchedule(random);
		}

		// Returns the expected time until room for a request comes free if only the
		// requests of this daemon made room.
		private double expectedWaitNanos(RankedQueue.Ticket<RelayExchange> ticket) {
			int moreUrgent = (ticket.rank() > 0) ? this.waiting.sizeUpTo(ticket.rank() - 1) : 0;
			return this.rate.waitNanos(moreUrgent + this.waiting.estimatedPosition(ticket));
		}

		private double intervalNanos() {
			double intervalNanos = this.rate.waitNanos(1);
			return (intervalNanos > 0) ? intervalNanos : UNKNOWN_INTERVAL.toNanos();
		}

		// Returns the most urgent rank that waits, or the number of ranks if none does.
		private int mostUrgentRank() {
			int rank = 0;
			while (rank < this.waiting.rankCount() && this.waiting.size(rank) == 0) {
				rank++;
			}
			return rank;
		}

		private boolean isIdle() {
			return this.rate.running() == 0 && this.waiting.sizeUpTo(this.waiting.rankCount() - 1) == 0;
		}

		// Returns the request that starts next: that of the most urgent rank, but each
		// fourth time the one of the others that has waited longest.
		private Optional<RankedQueue.Ticket<RelayExchange>> next() {
			Optional<RankedQueue.Ticket<RelayExchange>> urgent = Optional.empty();
			Optional<RankedQueue.Ticket<RelayExchange>> longest = Optional.empty();
			for (int rank = 0; rank < this.waiting.rankCount(); rank++) {
				Optional<RankedQueue.Ticket<RelayExchange>> first = this.waiting.peek(rank, (team) -> true);
				if (urgent.isEmpty()) {
					urgent = first;
				}
				else if (first.isPresent()
						&& (longest.isEmpty() || first.get().item().arrivedEarlier(longest.get().item()))) {
					longest = first;
				}
			}
			if (longest.isPresent() && this.startsSinceLessUrgent >= STARTS_PER_LESS_URGENT - 1) {
				return longest;
			}
			return urgent;
		}

	}

}
