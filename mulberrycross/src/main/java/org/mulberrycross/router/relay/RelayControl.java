package org.mulberrycross.router.relay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.Address;
import org.mulberrycross.ControlThread;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.RetryBudget;
import org.mulberrycross.UpstreamInstance;
import org.mulberrycross.caller.ClientCall;
import org.mulberrycross.caller.RouteRule;
import org.mulberrycross.engine.EngineInstance;
import org.mulberrycross.engine.EnginePath;
import org.mulberrycross.engine.EngineProfile;
import org.mulberrycross.engine.PathFinder;
import org.mulberrycross.engine.RequestTokens;
import org.mulberrycross.http.HeaderField;
import org.mulberrycross.http.Headers;
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

	/** Bound on opening a connection: hundreds of round trips within a region. */
	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

	/**
	 * Part of the objective for which a request waits for a way to serve it. Holding it
	 * longer costs the client more than coming back.
	 */
	private static final int WAIT_PART_OF_OBJECTIVE = 8;

	/** Attempts at most, rejected ones included. */
	private static final int MAX_TRIES = 5;

	/**
	 * Share of the revocation time at which keys known so far are no longer honoured. The
	 * rest covers clocks that are set back while the machine is suspended.
	 */
	private static final double MAX_KEY_AGE = 0.88;

	/** When a client may come back while a part of the model is being loaded. */
	private static final Duration RETRY_AFTER_NO_PATH = Duration.ofMillis(1000);

	/** When a client may come back to another daemon, or after a short overload. */
	private static final Duration RETRY_AFTER_BUSY = Duration.ofMillis(300);

	/**
	 * Silence of a stream after which it goes on elsewhere: well over the longest pause
	 * that is still on time, and far below the time after which engines give up.
	 */
	private static final Duration STREAM_SILENCE = Duration.ofMillis(600);

	/** Silence of a stream after which its first engine is asked what holds it up. */
	private static final Duration STREAM_SUSPICION = Duration.ofMillis(250);

	/**
	 * Wait for the first event after which the first engine is asked what holds it up.
	 */
	private static final Duration FIRST_EVENT_SUSPICION = Duration.ofMillis(500);

	/** Wait for the first event after which a stream starts elsewhere. */
	private static final Duration FIRST_EVENT_SILENCE = Duration.ofMillis(1500);

	/**
	 * Share of an engine's memory at which requests go elsewhere. Each daemon knows only
	 * its own requests and takes the others' to be as many.
	 */
	private static final double FULL = 0.9;

	/**
	 * How much slower a request is expected to be on an engine whose memory is in use.
	 */
	private static final double SLOWDOWN_WHEN_FULL = 4;

	/**
	 * Time within which an engine that has no room says so; a dead one is silent longer.
	 */
	private static final Duration QUICK_REJECTION = Duration.ofMillis(700);

	/** Least time that is left for an attempt to be worth sending. */
	private static final Duration LEAST_REMAINING = Duration.ofMillis(30);

	/**
	 * Part of the client's requests for a service that daemons may repeat, of the limit.
	 */
	private static final double RETRY_SHARE = 0.8;

	/**
	 * Part of the burst of retries that daemons use, so that daemons that all start again
	 * within the limit's window stay below it too.
	 */
	private static final double RETRY_BURST_SHARE = 0.4;

	/** Daemons assumed until they are counted. */
	private static final int UNKNOWN_ROUTERS = 8;

	/** Time for which a request waits for the first configuration, usually 0.1 s away. */
	private static final Duration CONFIGURATION_WAIT = Duration.ofMillis(250);

	private final ControlThread control;

	private final MonotonicClock clock;

	private final RandomGenerator random;

	private final MessageFormat format;

	private final RelayClient client;

	private final StallProbes stallProbes;

	private final RelayMetrics metrics;

	private final UpstreamDirectory directory = new UpstreamDirectory();

	private final UpstreamHealth health = new UpstreamHealth();

	private final UpstreamLoad load = new UpstreamLoad();

	private final Map<String, RetryBudget> budgets = new HashMap<>();

	private final Map<String, PathFinder> finders = new HashMap<>();

	private final Set<RelayExchange> exchanges = new LinkedHashSet<>();

	private final Deque<RelayExchange> waiting = new ArrayDeque<>();

	private RelaySettings settings;

	private Optional<ServingConfiguration> configuration = Optional.empty();

	private Optional<Freshness> configurationAsOf = Optional.empty();

	private boolean directoryListed;

	private boolean stopping;

	private int routers = UNKNOWN_ROUTERS;

	private volatile boolean ready;

	private volatile int open;

	RelayControl(ControlThread control, MonotonicClock clock, RandomGenerator random, RelaySettings settings,
			MessageFormat format, RelayClient client, StallProbes stallProbes, RelayMetrics metrics) {
		this.control = Objects.requireNonNull(control, "control");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.random = Objects.requireNonNull(random, "random");
		this.settings = Objects.requireNonNull(settings, "settings");
		this.format = Objects.requireNonNull(format, "format");
		this.client = Objects.requireNonNull(client, "client");
		this.stallProbes = Objects.requireNonNull(stallProbes, "stallProbes");
		this.metrics = Objects.requireNonNull(metrics, "metrics");
	}

	// Returns whether the balancer should send new connections.
	boolean ready() {
		return this.ready;
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
		return this.configuration;
	}

	// Returns the engines that serve and the models that they run, for placement.
	PlacementView placementView() {
		this.control.assertCurrent();
		Map<String, List<EngineInstance>> engines = new HashMap<>();
		Map<String, EngineProfile> profiles = this.configuration.map(ServingConfiguration::enginesByService)
			.orElse(Map.of());
		profiles.keySet().forEach((service) -> {
			List<EngineInstance> serving = new ArrayList<>();
			this.directory.serving(service).forEach((entry) -> entry.engine().ifPresent(serving::add));
			engines.put(service, List.copyOf(serving));
		});
		return new PlacementView(profiles, engines);
	}

	// Takes over bounds that changed; addresses stay as they were at the start.
	void reload(RelaySettings changed) {
		this.control.post(() -> {
			this.settings = changed;
			this.budgets.clear();
		});
	}

	void stop() {
		this.control.post(() -> {
			this.stopping = true;
			updateReadiness();
		});
	}

	void routers(int count) {
		this.control.assertCurrent();
		if (this.routers != Math.max(1, count)) {
			this.routers = Math.max(1, count);
			this.budgets.clear();
		}
	}

	void directoryListed() {
		this.directoryListed = true;
		updateReadiness();
	}

	// Applies a configuration unless a newer one is in force.
	void apply(ServingConfiguration offered) {
		this.control.assertCurrent();
		long current = this.configuration.map(ServingConfiguration::version).orElse(Long.MIN_VALUE);
		if (offered.version() <= current) {
			return;
		}
		this.configuration = Optional.of(offered);
		this.finders.clear();
		offered.enginesByService().forEach((service, profile) -> this.finders.put(service, new PathFinder(profile)));
		logger.atInfo()
			.addKeyValue("version", offered.version())
			.addKeyValue("before", current)
			.log("configuration in force");
		updateReadiness();
	}

	// Notes up to when the configuration is known.
	void configurationKnown(Freshness asOf) {
		this.control.assertCurrent();
		this.configurationAsOf = Optional.of(asOf);
		updateReadiness();
	}

	// Takes a request from a selector thread.
	void arrived(RelayRequest request, ResponseWriter response) {
		ClientCall call = this.format.decode(request);
		RelayExchange exchange = new RelayExchange(request, call, response, Freshness.now(this.clock));
		response.onClientGone(() -> clientGone(exchange));
		if (!this.control.offer(() -> begin(exchange))) {
			refuse(response, 503, RETRY_AFTER_BUSY, "too many requests wait for a decision");
			this.metrics.refused();
		}
	}

	private void begin(RelayExchange exchange) {
		this.exchanges.add(exchange);
		this.open = this.exchanges.size();
		admitOrWait(exchange);
	}

	private void admitOrWait(RelayExchange exchange) {
		if (this.configuration.isEmpty() && exchange.age(this.clock.nanos()).compareTo(CONFIGURATION_WAIT) < 0) {
			this.waiting.add(exchange);
			return;
		}
		Optional<Rejection> rejection = admit(exchange);
		if (rejection.isPresent()) {
			Rejection reason = rejection.get();
			refuse(exchange.response(), reason.status(), reason.retryAfter(), reason.text());
			finish(exchange, "rejected " + reason.status() + ": " + reason.text());
			return;
		}
		exchange.rule().services().forEach((share) -> budget(share.service()).earned());
		dispatchOrWait(exchange);
	}

	private Optional<Rejection> admit(RelayExchange exchange) {
		if (this.configuration.isEmpty()) {
			return Optional.of(new Rejection(503, RETRY_AFTER_NO_PATH, "no configuration is known yet"));
		}
		ServingConfiguration current = this.configuration.get();
		ClientCall call = exchange.call();
		Optional<RouteRule> rule = current.routes().find(call.host(), call.path());
		if (rule.isEmpty()) {
			return Optional.of(new Rejection(404, Duration.ZERO, "no route"));
		}
		if (exchange.request().body().length > current.limits().maxBodyBytes()) {
			return Optional.of(new Rejection(413, Duration.ZERO, "body is too long"));
		}
		if (current.teamsByKey().isEmpty() || rule.get().anonymous()) {
			exchange.admit(rule.get(), Optional.empty());
			return Optional.empty();
		}
		long age = this.configurationAsOf.map((asOf) -> asOf.ageMillis(Freshness.now(this.clock)))
			.orElse(Long.MAX_VALUE);
		if (age > this.settings.revocation().toMillis() * MAX_KEY_AGE) {
			return Optional.of(new Rejection(503, RETRY_AFTER_BUSY, "keys are " + age + " ms old"));
		}
		Optional<String> team = call.key().flatMap((key) -> Optional.ofNullable(current.teamsByKey().get().get(key)));
		if (team.isEmpty()) {
			return Optional.of(new Rejection(401, Duration.ZERO, "unknown key"));
		}
		exchange.admit(rule.get(), team);
		return Optional.empty();
	}

	private RetryBudget budget(String service) {
		return this.budgets.computeIfAbsent(service,
				(name) -> new RetryBudget(Math.max(0.001, this.settings.retryRatio() * RETRY_SHARE),
						Math.max(1, this.settings.retryBurst() * RETRY_BURST_SHARE / this.routers)));
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
		Optional<String> service = exchange.rule().choose(this.random);
		if (service.isEmpty()) {
			return false;
		}
		RequestTokens tokens = new RequestTokens(exchange.call().promptTokens(), exchange.call().maxOutputTokens());
		Optional<EnginePath> path = Optional.empty();
		Optional<UpstreamInstance> upstream;
		if (this.finders.containsKey(service.get())) {
			path = path(exchange, service.get(), tokens);
			upstream = path.map((found) -> found.first().upstream());
		}
		else {
			upstream = instance(exchange, service.get());
		}
		if (upstream.isEmpty()) {
			return false;
		}
		Forwarding forwarding = new Forwarding(upstream.get(), remaining, exchange.team(), path,
				exchange.stream() ? exchange.lastEventId() : OptionalLong.empty());
		RelayAttempt attempt = new RelayAttempt(exchange, forwarding, this.format, this, tokens);
		exchange.begin(attempt);
		exchange.countRun(1);
		this.load.add(attempt.upstreams(), attempt.tokens());
		logger.atInfo()
			.addKeyValue("request", exchange.call().id())
			.addKeyValue("route", exchange.rule().name())
			.addKeyValue("team", exchange.team().orElse(""))
			.addKeyValue("try", exchange.tries())
			.addKeyValue("upstream", attempt.upstreams())
			.addKeyValue("age_ms", exchange.age(now).toMillis())
			.log("request sent");
		attempt.attach(this.client.send(upstream.get().address(), this.format.encode(exchange.request(), forwarding),
				attempt));
		return true;
	}

	private Optional<EnginePath> path(RelayExchange exchange, String service, RequestTokens tokens) {
		long now = this.clock.nanos();
		List<EngineInstance> engines = new ArrayList<>();
		this.directory.serving(service).forEach((entry) -> entry.engine().ifPresent(engines::add));
		List<EngineInstance> sound = engines.stream()
			.filter((engine) -> !exchange.failedUpstreams().contains(engine.id()))
			.filter((engine) -> !this.health.avoided(engine.id(), now))
			.toList();
		EngineProfile profile = this.configuration.orElseThrow().enginesByService().get(service);
		PathFinder finder = this.finders.get(service);
		ToDoubleFunction<EngineInstance> unread = (engine) -> this.load.unread(engine.id()) * this.routers;
		return finder.find(sound, tokens, (engine) -> slowdown(profile, engine), unread, this.random)
			.or(() -> finder.find(sound, tokens, (engine) -> 1, unread, this.random))
			.or(() -> finder.find(engines, tokens, (engine) -> 1, unread, this.random));
	}

	// Returns how much slower an engine is expected to be, by the memory that is in use.
	private double slowdown(EngineProfile profile, EngineInstance engine) {
		int layers = engine.layers().map((held) -> held.size()).orElse(0);
		double memory = profile.kind(engine).map((kind) -> kind.memoryMb()).orElse(0.0) - layers * profile.layerMb();
		double room = memory / (profile.cacheMbPerTokenAndLayer() * Math.max(1, layers));
		double used = this.load.tokens(engine.id()) * this.routers / Math.max(1, room);
		return (used < FULL) ? 1 + used * SLOWDOWN_WHEN_FULL : Double.POSITIVE_INFINITY;
	}

	private Optional<UpstreamInstance> instance(RelayExchange exchange, String service) {
		long now = this.clock.nanos();
		List<UpstreamInstance> serving = this.directory.serving(service)
			.stream()
			.map(DirectoryEntry::instance)
			.filter((instance) -> !exchange.failedUpstreams().contains(instance.id()))
			.toList();
		Comparator<UpstreamInstance> leastLoaded = Comparator
			.comparing((UpstreamInstance instance) -> this.health.avoided(instance.id(), now))
			.thenComparing((instance) -> this.load.requests(instance.id()))
			.thenComparing((instance) -> !instance.dataCentre().equals(this.settings.dataCentre()));
		return serving.stream().min(leastLoaded);
	}

	@Override
	public void answering(RelayAttempt attempt) {
		this.control.post(() -> promptRead(attempt));
	}

	private void promptRead(RelayAttempt attempt) {
		if (attempt.readPrompt()) {
			this.load.read(attempt.upstreams(), attempt.tokens());
		}
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
			release(attempt);
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
			refuse(exchange.response(), 502, Duration.ZERO, "upstream failed with status " + head.status());
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
		release(attempt);
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
		boolean allowed = !streamOver && exchange.tries() < MAX_TRIES
				&& exchange.rule().services().stream().allMatch((share) -> budget(share.service()).tryRetry());
		if (!allowed) {
			otherwise.run();
			return;
		}
		this.metrics.retried();
		logger.atInfo()
			.addKeyValue("request", exchange.call().id())
			.addKeyValue("reason", reason)
			.addKeyValue("runs", exchange.runs())
			.log("request is sent again");
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
		refuse(exchange.response(), neverRan ? 503 : 502, neverRan ? retryAfter : Duration.ZERO, reason);
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
		updateReadiness();
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
		if (!attempt.wasSent()) {
			if (now - attempt.begunNanos() > CONNECT_TIMEOUT.toNanos()) {
				attempt.cancel();
				failed(attempt, "no connection within " + CONNECT_TIMEOUT.toMillis() + " ms", attempt.wasSent());
			}
			return;
		}
		long silentNanos = now - attempt.lastSignNanos();
		if (attempt.forwarding().path().isPresent() && silentNanos > probeAfter(attempt).toNanos()) {
			this.stallProbes.probe(attempt.forwarding().path().get().first(), now, this::stalled);
		}
		Duration limit = silence(exchange, attempt);
		if (silentNanos > limit.toNanos() && mayRunAgain(exchange)) {
			failed(attempt, "silent for " + limit.toMillis() + " ms", true);
		}
	}

	// Silence alone is no reason to end an answer: the request goes on elsewhere or
	// waits.
	private boolean mayRunAgain(RelayExchange exchange) {
		return exchange.rule().repeatable() && exchange.runs() < exchange.rule().maxRuns()
				&& exchange.tries() < MAX_TRIES
				&& exchange.rule().services().stream().allMatch((share) -> budget(share.service()).hasRetry());
	}

	private static Duration probeAfter(RelayAttempt attempt) {
		return attempt.dataSeen() ? STREAM_SUSPICION : FIRST_EVENT_SUSPICION;
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

	private static Duration silence(RelayExchange exchange, RelayAttempt attempt) {
		if (!exchange.stream()) {
			return exchange.rule().objective().multipliedBy(2);
		}
		return attempt.dataSeen() ? STREAM_SILENCE : FIRST_EVENT_SILENCE;
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
			refuse(exchange.response(), 503, RETRY_AFTER_BUSY, "no upstream in time");
		}
		else {
			refuse(exchange.response(), 504, Duration.ZERO, "no answer in time");
		}
		finish(exchange, "timed out");
	}

	private void release(RelayAttempt attempt) {
		if (attempt.release()) {
			promptRead(attempt);
			this.load.remove(attempt.upstreams(), attempt.tokens());
		}
	}

	private void finish(RelayExchange exchange, String outcome) {
		if (exchange.finished()) {
			return;
		}
		RelayAttempt attempt = exchange.current();
		if (attempt != null) {
			release(attempt);
		}
		exchange.finish();
		this.exchanges.remove(exchange);
		this.open = this.exchanges.size();
		long now = this.clock.nanos();
		this.metrics.ended(outcome, exchange.age(now));
		logger.atInfo()
			.addKeyValue("request", exchange.call().id())
			.addKeyValue("tries", exchange.tries())
			.addKeyValue("first_ms",
					(exchange.firstDataNanos() != 0) ? exchange.age(exchange.firstDataNanos()).toMillis() : -1)
			.addKeyValue("total_ms", exchange.age(now).toMillis())
			.addKeyValue("outcome", outcome)
			.log("request ended");
	}

	private static void refuse(ResponseWriter response, int status, Duration retryAfter, String reason) {
		byte[] body = ("{\"error\":\"" + reason.replace('"', '\'').replace('\\', '/') + "\"}")
			.getBytes(StandardCharsets.UTF_8);
		List<HeaderField> fields = new ArrayList<>();
		fields.add(new HeaderField("Content-Type", "application/json"));
		if (!retryAfter.isZero()) {
			fields.add(
					new HeaderField("Retry-After", String.format(Locale.ROOT, "%.3f", retryAfter.toMillis() / 1000.0)));
		}
		response.start(new MessageHead(status, Headers.of(fields), OptionalLong.of(body.length)));
		response.write(body);
		response.end();
	}

	private void updateReadiness() {
		boolean fresh = this.configurationAsOf.map((asOf) -> asOf
			.ageMillis(Freshness.now(this.clock)) <= this.settings.revocation().toMillis() * MAX_KEY_AGE).orElse(false);
		boolean now = !this.stopping && this.configuration.isPresent() && this.directoryListed && fresh;
		if (now != this.ready) {
			this.ready = now;
			logger.atInfo()
				.addKeyValue("ready", now)
				.addKeyValue("stopping", this.stopping)
				.addKeyValue("fresh", fresh)
				.log("readiness changed");
		}
	}

	/**
	 * An answer of the router's own to a request that it does not forward.
	 */
	private record Rejection(int status, Duration retryAfter, String text) {

	}

}
