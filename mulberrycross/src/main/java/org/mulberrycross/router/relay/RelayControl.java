package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.Address;
import org.mulberrycross.ControlThread;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.caller.ClientCall;
import org.mulberrycross.engine.EngineInstance;
import org.mulberrycross.http.MessageHead;
import org.mulberrycross.http.RelayClient;
import org.mulberrycross.http.RelayRequest;
import org.mulberrycross.http.ResponseWriter;

/**
 * Decides what happens to each request: which route and team it belongs to, which
 * upstream gets it, and what follows when an attempt fails. All state is owned by the
 * control thread; the methods that other threads call hand over to it.
 */
final class RelayControl implements RelayEvents {

	private static final Logger logger = LoggerFactory.getLogger(RelayControl.class);

	/** Period of the check of timeouts; small beside the shortest timeout, 250 ms. */
	static final Duration TICK = Duration.ofMillis(25);

	/**
	 * Part of the objective for which a request waits for a way to serve it. Holding it
	 * longer costs the client more than coming back.
	 */
	private static final int WAIT_PART_OF_OBJECTIVE = 8;

	/** Attempts at most, rejected ones included. */
	private static final int MAX_TRIES = 5;

	/** When a client may come back while a part of the model is being loaded. */
	private static final Duration RETRY_AFTER_NO_PATH = Duration.ofMillis(1000);

	/** When a client may come back to another daemon, or after a short overload. */
	private static final Duration RETRY_AFTER_BUSY = Duration.ofMillis(300);

	/**
	 * Time within which an engine that has no room says so; a dead one is silent longer.
	 */
	private static final Duration QUICK_REJECTION = Duration.ofMillis(700);

	/** Least time that is left for an attempt to be worth sending. */
	private static final Duration LEAST_REMAINING = Duration.ofMillis(30);

	/** Daemons assumed until they are counted. */
	private static final int UNKNOWN_DAEMONS = 8;

	/** Time for which a request waits for the first configuration, usually 0.1 s away. */
	private static final Duration CONFIGURATION_WAIT = Duration.ofMillis(250);

	private final ControlThread control;

	private final MonotonicClock clock;

	private final MessageFormat format;

	private final RelayClient client;

	private final StallProbes stallProbes;

	private final RelayMetrics metrics;

	private final UpstreamDirectory directory = new UpstreamDirectory();

	private final UpstreamHealth health = new UpstreamHealth();

	private final RequestAdmission admission;

	private final UpstreamChoice choice;

	private final RetryBudgets retries;

	private final RequestLog requestLog;

	private final Set<RelayExchange> exchanges = new LinkedHashSet<>();

	private final Deque<RelayExchange> waiting = new ArrayDeque<>();

	private volatile int open;

	RelayControl(ControlThread control, MonotonicClock clock, RandomGenerator random, RelaySettings settings,
			MessageFormat format, RelayClient client, StallProbes stallProbes, RelayMetrics metrics) {
		this.control = Objects.requireNonNull(control, "control");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.format = Objects.requireNonNull(format, "format");
		this.client = Objects.requireNonNull(client, "client");
		this.stallProbes = Objects.requireNonNull(stallProbes, "stallProbes");
		this.metrics = Objects.requireNonNull(metrics, "metrics");
		this.admission = new RequestAdmission(settings, clock);
		this.choice = new UpstreamChoice(this.directory, this.health, settings.dataCentre(), random, UNKNOWN_DAEMONS);
		this.retries = new RetryBudgets(settings, UNKNOWN_DAEMONS);
		this.requestLog = new RequestLog(logger, clock);
	}

	// Returns whether the balancer should send new connections.
	boolean ready() {
		return this.admission.ready();
	}

	// Returns the number of requests without a whole answer.
	int open() {
		return this.open;
	}

	UpstreamDirectory directory() {
		this.control.assertCurrent();
		return this.directory;
	}

	Optional<ServingConfiguration> configuration() {
		this.control.assertCurrent();
		return this.admission.configuration();
	}

	// Returns the engines that serve and the models that they run, for placement.
	PlacementView placementView() {
		this.control.assertCurrent();
		return this.directory
			.placementView(configuration().map(ServingConfiguration::enginesByService).orElse(Map.of()));
	}

	// Takes over bounds that changed; addresses stay as they were at the start.
	void reload(RelaySettings changed) {
		this.control.post(() -> {
			this.admission.reload(changed);
			this.retries.reload(changed);
		});
	}

	void stop() {
		this.control.post(this.admission::stop);
	}

	// Notes how many daemons there are, this one included.
	void daemons(int count) {
		this.control.assertCurrent();
		this.choice.daemons(Math.max(1, count));
		this.retries.daemons(Math.max(1, count));
	}

	void directoryListed() {
		this.control.assertCurrent();
		this.admission.directoryListed();
	}

	void apply(ServingConfiguration offered) {
		this.control.assertCurrent();
		if (this.admission.apply(offered)) {
			this.choice.configure(offered);
		}
	}

	// Notes up to when the configuration is known.
	void configurationKnown(Freshness asOf) {
		this.control.assertCurrent();
		this.admission.known(asOf);
	}

	// Takes a request from a selector thread.
	void arrived(RelayRequest request, ResponseWriter response) {
		ClientCall call = this.format.decode(request);
		RelayExchange exchange = new RelayExchange(request, call, response, Freshness.now(this.clock));
		response.onClientGone(() -> clientGone(exchange));
		if (!this.control.offer(() -> begin(exchange))) {
			OwnAnswer.notRun(RETRY_AFTER_BUSY, "too many requests wait for a decision").send(response);
			this.metrics.refused();
		}
	}

	private void begin(RelayExchange exchange) {
		this.exchanges.add(exchange);
		this.open = this.exchanges.size();
		admitOrWait(exchange);
	}

	private void admitOrWait(RelayExchange exchange) {
		boolean unknown = configuration().isEmpty();
		if (unknown && exchange.age(this.clock.nanos()).compareTo(CONFIGURATION_WAIT) < 0) {
			this.waiting.add(exchange);
			return;
		}
		Optional<OwnAnswer> refusal = this.admission.admit(exchange);
		if (refusal.isPresent()) {
			refusal.get().send(exchange.response());
			finish(exchange, "rejected " + refusal.get().status() + ": " + refusal.get().reason());
			return;
		}
		this.retries.earned(exchange.rule());
		dispatchOrWait(exchange);
	}

	private void dispatchOrWait(RelayExchange exchange) {
		if (dispatch(exchange)) {
			return;
		}
		long now = this.clock.nanos();
		Duration limit = exchange.rule().objective().dividedBy(WAIT_PART_OF_OBJECTIVE);
		if (exchange.age(now).compareTo(limit) < 0 && exchange.tries() == 0) {
			this.waiting.add(exchange);
			return;
		}
		giveUp(exchange, "no upstream can take the request", RETRY_AFTER_NO_PATH);
	}

	// Sends the request to the best upstream. Returns false if there is none.
	private boolean dispatch(RelayExchange exchange) {
		if (exchange.finished()) {
			return true;
		}
		long now = this.clock.nanos();
		Duration remaining = exchange.remaining(now);
		if (remaining.compareTo(LEAST_REMAINING) < 0) {
			return false;
		}
		Optional<Forwarding> forwarding = this.choice.choose(exchange, remaining, now);
		if (forwarding.isEmpty()) {
			return false;
		}
		RelayAttempt attempt = new RelayAttempt(exchange, forwarding.get(), this.format, this,
				UpstreamChoice.tokens(exchange));
		exchange.begin(attempt);
		exchange.countRun(1);
		this.choice.sent(attempt);
		this.requestLog.sent(exchange, attempt);
		attempt.attach(this.client.send(forwarding.get().upstream().address(),
				this.format.encode(exchange.request(), forwarding.get()), attempt));
		return true;
	}

	@Override
	public void answering(RelayAttempt attempt) {
		this.control.post(() -> this.choice.promptRead(attempt));
	}

	@Override
	public void completed(RelayAttempt attempt) {
		this.control.post(() -> {
			RelayExchange exchange = attempt.exchange();
			if (!isCurrent(attempt)) {
				return;
			}
			attempt.upstreams().forEach(this.health::succeeded);
			finish(exchange, "complete");
		});
	}

	@Override
	public void failureAnswered(RelayAttempt attempt, MessageHead head, UpstreamAnswer answer, byte[] body) {
		this.control.post(() -> {
			if (!isCurrent(attempt)) {
				return;
			}
			RelayExchange exchange = attempt.exchange();
			String reason = "status " + head.status() + (answer.notRun() ? ", not run" : "");
			this.choice.ended(attempt);
			if (answer.notRun()) {
				exchange.countRun(-1);
				blame(attempt, answer, reason);
				retryOr(exchange, reason, () -> giveUp(exchange, reason, RETRY_AFTER_BUSY));
				return;
			}
			if (head.status() >= 500) {
				exchange.failedUpstreams().addAll(attempt.upstreams());
			}
			Runnable relay = () -> relayFailure(attempt, head, answer, body);
			if (exchange.rule().repeatable() && head.status() >= 500 && exchange.runs() < exchange.rule().maxRuns()) {
				retryOr(exchange, reason, relay);
				return;
			}
			relay.run();
		});
	}

	private void blame(RelayAttempt attempt, UpstreamAnswer answer, String reason) {
		long now = this.clock.nanos();
		String id = answer.faulty()
			.flatMap(this.directory::at)
			.map((entry) -> entry.instance().id())
			.orElse(attempt.forwarding().upstream().id());
		attempt.exchange().failedUpstreams().add(id);
		if (attempt.forwarding().path().isPresent() && now - attempt.begunNanos() < QUICK_REJECTION.toNanos()) {
			this.health.full(id, now);
			return;
		}
		this.health.failed(id, reason, now);
	}

	// Passes on an upstream's failure, unless its status would promise too much.
	private void relayFailure(RelayAttempt attempt, MessageHead head, UpstreamAnswer answer, byte[] body) {
		RelayExchange exchange = attempt.exchange();
		boolean promise = head.status() == 429 || head.status() == 503 || head.status() == 408 || head.status() == 421;
		if (exchange.started()) {
			exchange.response().abort();
		}
		else if (promise || !answer.signed()) {
			OwnAnswer.of(502, "upstream failed with status " + head.status()).send(exchange.response());
		}
		else {
			exchange.answer(attempt, head, body);
		}
		finish(exchange, "upstream status " + head.status());
	}

	@Override
	public void broken(RelayAttempt attempt, String reason) {
		this.control.post(() -> {
			if (isCurrent(attempt)) {
				failed(attempt, reason, attempt.wasSent());
			}
		});
	}

	private boolean isCurrent(RelayAttempt attempt) {
		return !attempt.exchange().finished() && attempt.exchange().current() == attempt;
	}

	// Handles an attempt that ended without an answer.
	private void failed(RelayAttempt attempt, String reason, boolean mayHaveRun) {
		RelayExchange exchange = attempt.exchange();
		attempt.cancel();
		this.choice.ended(attempt);
		exchange.failedUpstreams().addAll(attempt.upstreams());
		this.health.failed(attempt.forwarding().upstream().id(), reason, this.clock.nanos());
		if (!mayHaveRun) {
			exchange.countRun(-1);
			retryOr(exchange, reason, () -> giveUp(exchange, reason, RETRY_AFTER_BUSY));
			return;
		}
		if (exchange.rule().repeatable() && exchange.runs() < exchange.rule().maxRuns()) {
			retryOr(exchange, reason, () -> giveUp(exchange, reason, RETRY_AFTER_BUSY));
			return;
		}
		giveUp(exchange, reason, RETRY_AFTER_BUSY);
	}

	private void retryOr(RelayExchange exchange, String reason, Runnable otherwise) {
		boolean streamOver = exchange.started() && !exchange.stream();
		boolean allowed = !streamOver && exchange.tries() < MAX_TRIES && this.retries.take(exchange.rule());
		if (!allowed) {
			otherwise.run();
			return;
		}
		this.metrics.retried();
		this.requestLog.sentAgain(exchange, reason);
		if (!dispatch(exchange)) {
			otherwise.run();
		}
	}

	// Ends a request that cannot be served.
	private void giveUp(RelayExchange exchange, String reason, Duration retryAfter) {
		if (exchange.started()) {
			exchange.response().abort();
			finish(exchange, "broken off: " + reason);
			return;
		}
		boolean neverRan = exchange.runs() == 0;
		OwnAnswer answer = neverRan ? OwnAnswer.notRun(retryAfter, reason) : OwnAnswer.of(502, reason);
		answer.send(exchange.response());
		finish(exchange, (neverRan ? "refused: " : "failed: ") + reason);
	}

	private void clientGone(RelayExchange exchange) {
		RelayAttempt attempt = exchange.current();
		if (attempt != null) {
			attempt.cancel();
		}
		this.control.post(() -> {
			RelayAttempt last = exchange.current();
			if (last != null) {
				last.cancel();
			}
			finish(exchange, "client left");
		});
	}

	/** Checks the timeouts of all requests. Runs on the control thread. */
	void tick() {
		long now = this.clock.nanos();
		this.directory.expire(now);
		this.admission.update();
		int count = this.waiting.size();
		for (int i = 0; i < count; i++) {
			RelayExchange exchange = this.waiting.poll();
			if (exchange.finished()) {
				continue;
			}
			if (exchange.rule() == null) {
				admitOrWait(exchange);
			}
			else {
				dispatchOrWait(exchange);
			}
		}
		for (RelayExchange exchange : List.copyOf(this.exchanges)) {
			if (exchange.rule() != null) {
				check(exchange, now);
			}
		}
	}

	private void check(RelayExchange exchange, long now) {
		if (exchange.remaining(now).isNegative()) {
			expire(exchange);
			return;
		}
		RelayAttempt attempt = exchange.current();
		if (attempt == null) {
			return;
		}
		if (AttemptTimeouts.unconnected(attempt, now)) {
			attempt.cancel();
			failed(attempt, "no connection within " + AttemptTimeouts.CONNECT.toMillis() + " ms", attempt.wasSent());
		}
		if (!attempt.wasSent()) {
			return;
		}
		if (AttemptTimeouts.suspicious(attempt, now)) {
			this.stallProbes.probe(attempt.forwarding().path().get().first(), now, this::stalled);
		}
		if (AttemptTimeouts.silent(exchange, attempt, now) && mayRunAgain(exchange)) {
			failed(attempt, "silent for too long", true);
		}
	}

	// Silence alone is no reason to end an answer: the request goes on elsewhere or
	// waits.
	private boolean mayRunAgain(RelayExchange exchange) {
		return exchange.rule().repeatable() && exchange.runs() < exchange.rule().maxRuns()
				&& exchange.tries() < MAX_TRIES && this.retries.has(exchange.rule());
	}

	private void stalled(EngineInstance first, Set<Address> addresses) {
		this.control.post(() -> addresses.forEach(this::leaveEngine));
	}

	// Moves the requests on a path with an engine that does not work to other paths.
	private void leaveEngine(Address address) {
		Optional<String> id = this.directory.at(address).map((entry) -> entry.instance().id());
		if (id.isEmpty()) {
			return;
		}
		this.health.stalled(id.get(), this.clock.nanos());
		for (RelayExchange exchange : List.copyOf(this.exchanges)) {
			RelayAttempt attempt = exchange.current();
			if (attempt != null && !exchange.finished() && attempt.upstreams().contains(id.get())
					&& mayRunAgain(exchange)) {
				failed(attempt, "engine " + id.get() + " is stalled", attempt.wasSent());
			}
		}
	}

	private void expire(RelayExchange exchange) {
		RelayAttempt attempt = exchange.current();
		if (attempt != null) {
			attempt.cancel();
		}
		if (exchange.started()) {
			exchange.response().abort();
		}
		else if (exchange.runs() == 0) {
			OwnAnswer.notRun(RETRY_AFTER_BUSY, "no upstream in time").send(exchange.response());
		}
		else {
			OwnAnswer.of(504, "no answer in time").send(exchange.response());
		}
		finish(exchange, "timed out");
	}

	private void finish(RelayExchange exchange, String outcome) {
		if (exchange.finished()) {
			return;
		}
		RelayAttempt attempt = exchange.current();
		if (attempt != null) {
			this.choice.ended(attempt);
		}
		exchange.finish();
		this.exchanges.remove(exchange);
		this.open = this.exchanges.size();
		this.metrics.ended(outcome, exchange.age(this.clock.nanos()));
		this.requestLog.ended(exchange, outcome);
	}

}
