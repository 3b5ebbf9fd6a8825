package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
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

	private final OpenRequests requests;

	private final Deque<RelayExchange> waiting = new ArrayDeque<>();

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
		this.requests = new OpenRequests(this.choice, metrics, this.requestLog, clock);
	}

	// Returns whether the balancer should send new connections.
	boolean ready() {
		return this.admission.ready();
	}

	// Returns the number of requests without a whole answer.
	int open() {
		return this.requests.count();
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

	// Takes no requests any more.
	void refuse() {
		this.control.post(this.admission::refuse);
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
			OwnAnswer.notRun(OpenRequests.RETRY_AFTER_BUSY, "too many requests wait for a decision").send(response);
			this.metrics.refused();
		}
	}

	private void begin(RelayExchange exchange) {
		this.requests.begin(exchange);
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
			this.requests.reject(exchange, refusal.get());
			return;
		}
		this.retries.requested(exchange.rule(), this.clock.nanos());
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
		this.requests.giveUp(exchange, "no upstream can take the request", RETRY_AFTER_NO_PATH);
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
			this.requests.finish(exchange, "complete");
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
				retryOr(exchange, reason, () -> this.requests.giveUp(exchange, reason, OpenRequests.RETRY_AFTER_BUSY));
				return;
			}
			if (head.status() >= 500) {
				exchange.failedUpstreams().add(attempt.forwarding().upstream().id());
				exchange.suspectedUpstreams().addAll(attempt.upstreams());
			}
			Runnable relay = () -> this.requests.relayFailure(attempt, head, answer, body);
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

	@Override
	public void broken(RelayAttempt attempt, String reason) {
		this.control.post(() -> {
			if (isCurrent(attempt)) {
				failed(attempt, Set.of(attempt.forwarding().upstream().id()), reason, attempt.wasSent());
			}
		});
	}

	private boolean isCurrent(RelayAttempt attempt) {
		return !attempt.exchange().finished() && attempt.exchange().current() == attempt;
	}

	// Handles an attempt that ended without an answer, by the fault of some upstreams if
	// they are known.
	private void failed(RelayAttempt attempt, Set<String> faulty, String reason, boolean mayHaveRun) {
		RelayExchange exchange = attempt.exchange();
		attempt.cancel();
		this.choice.ended(attempt);
		exchange.failedUpstreams().addAll(faulty);
		exchange.suspectedUpstreams().addAll(attempt.upstreams());
		faulty.forEach((id) -> this.health.failed(id, reason, this.clock.nanos()));
		if (!mayHaveRun) {
			exchange.countRun(-1);
			retryOr(exchange, reason, () -> this.requests.giveUp(exchange, reason, OpenRequests.RETRY_AFTER_BUSY));
			return;
		}
		if (exchange.rule().repeatable() && exchange.runs() < exchange.rule().maxRuns()) {
			retryOr(exchange, reason, () -> this.requests.giveUp(exchange, reason, OpenRequests.RETRY_AFTER_BUSY));
			return;
		}
		this.requests.giveUp(exchange, reason, OpenRequests.RETRY_AFTER_BUSY);
	}

	private void retryOr(RelayExchange exchange, String reason, Runnable otherwise) {
		Optional<String> refusal = refusalToRetry(exchange);
		if (refusal.isPresent()) {
			this.requestLog.notSentAgain(exchange, reason, refusal.get());
			otherwise.run();
			return;
		}
		this.metrics.retried();
		this.requestLog.sentAgain(exchange, reason);
		if (!dispatch(exchange)) {
			otherwise.run();
		}
	}

	// Takes a retry, or returns why the request is not sent again.
	private Optional<String> refusalToRetry(RelayExchange exchange) {
		if (exchange.started() && !exchange.stream()) {
			return Optional.of("a part of the answer was sent");
		}
		if (exchange.tries() >= MAX_TRIES) {
			return Optional.of("no try is left");
		}
		if (!this.retries.take(exchange.rule(), this.clock.nanos())) {
			return Optional.of("the retry budget is used up");
		}
		return Optional.empty();
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
			this.requests.finish(exchange, "client left");
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
		for (RelayExchange exchange : this.requests.all()) {
			if (exchange.rule() != null) {
				check(exchange, now);
			}
		}
	}

	private void check(RelayExchange exchange, long now) {
		if (exchange.remaining(now).isNegative()) {
			this.requests.expire(exchange);
			return;
		}
		RelayAttempt attempt = exchange.current();
		if (attempt == null) {
			return;
		}
		if (AttemptTimeouts.unconnected(attempt, now)) {
			attempt.cancel();
			failed(attempt, Set.of(attempt.forwarding().upstream().id()),
					"no connection within " + AttemptTimeouts.CONNECT.toMillis() + " ms", attempt.wasSent());
		}
		if (!attempt.wasSent()) {
			return;
		}
		if (AttemptTimeouts.suspicious(attempt, now)) {
			this.stallProbes.probe(attempt.forwarding().path().get().first(), now, this::stalled);
		}
		if (AttemptTimeouts.silent(exchange, attempt, now) && mayRunAgain(exchange)) {
			// On a path, any of the engines may be the cause; reports of stalls tell
			// which.
			Set<String> faulty = attempt.forwarding().path().isPresent() ? Set.of()
					: Set.of(attempt.forwarding().upstream().id());
			failed(attempt, faulty, "silent for too long", true);
		}
	}

	// Silence alone is no reason to end an answer: the request goes on elsewhere or
	// waits.
	private boolean mayRunAgain(RelayExchange exchange) {
		return exchange.rule().repeatable() && exchange.runs() < exchange.rule().maxRuns()
				&& exchange.tries() < MAX_TRIES && this.retries.has(exchange.rule(), this.clock.nanos());
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
		for (RelayExchange exchange : this.requests.all()) {
			RelayAttempt attempt = exchange.current();
			if (attempt != null && !exchange.finished() && attempt.upstreams().contains(id.get())
					&& mayRunAgain(exchange)) {
				failed(attempt, Set.of(id.get()), "engine " + id.get() + " is stalled", attempt.wasSent());
			}
		}
	}

}
