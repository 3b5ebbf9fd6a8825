package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.caller.ClientCall;
import org.mulberrycross.caller.RouteRule;

/**
 * Decides whether this daemon admits a request, by the current configuration and by how
 * recently it was confirmed to be the latest. Only {@link #isReady()} may be called
 * outside the control thread.
 */
final class RequestAdmission {

	private static final Logger logger = LoggerFactory.getLogger(RequestAdmission.class);

	/**
	 * Fraction of the revocation limit after which cached keys are no longer accepted.
	 * The rest covers clocks that are set back while the machine is suspended.
	 */
	private static final double MAX_KEY_AGE_FRACTION = 0.88;

	/** Retry-After value while no configuration is known. */
	private static final Duration RETRY_AFTER_NO_CONFIGURATION = Duration.ofMillis(1000);

	/** Retry-After value if another daemon may serve the request. */
	private static final Duration RETRY_AFTER_OTHER_DAEMON = Duration.ofMillis(300);

	/**
	 * Retry-After value if this daemon stops, others run and returns are spread: nothing
	 * has to come free first, and a client that waits for 300 ms misses target latencies
	 * of plain services.
	 */
	private static final Duration SHORT_RETRY_AFTER_OTHER_DAEMON = Duration.ofMillis(20);

	/** Maximum wait for the first configuration, which usually arrives within 0.1 s. */
	private static final Duration MAX_CONFIGURATION_WAIT = Duration.ofMillis(250);

	private final MonotonicClock clock;

	/** The requests that wait for the first configuration. */
	private final List<RelayExchange> held = new ArrayList<>();

	private RelaySettings settings;

	private Optional<ServingConfiguration> configuration = Optional.empty();

	private Optional<ClockReading> confirmedAt = Optional.empty();

	/** Whether other daemons are known to run. */
	private boolean hasSiblings;

	private boolean directoryListed;

	private boolean crashEventsListed;

	private boolean draining;

	/** The monotonic time from which requests are refused, empty before a shutdown. */
	private OptionalLong refusedFromNanos = OptionalLong.empty();

	private volatile boolean ready;

	RequestAdmission(RelaySettings settings, MonotonicClock clock) {
		this.settings = settings;
		this.clock = clock;
	}

	Optional<ServingConfiguration> configuration() {
		return this.configuration;
	}

	// Returns whether the load balancer should open connections. Callable on any thread.
	boolean isReady() {
		return this.ready;
	}

	void reload(RelaySettings changed) {
		this.settings = changed;
	}

	// Reports this daemon as not ready, and rejects the requests that arrive from a time
	// on, as they might not end before the process exits. The time of arrival decides, so
	// that a busy daemon does not accept them because this thread runs late.
	void startDraining(long refuseFromNanos) {
		this.draining = true;
		this.refusedFromNanos = OptionalLong.of(refuseFromNanos);
		updateReadiness();
	}

	// Updates the number of daemons, including this one.
	void updateDaemonCount(int count) {
		this.hasSiblings = count > 1;
	}

	void markDirectoryListed() {
		this.directoryListed = true;
		updateReadiness();
	}

	void markCrashEventsListed() {
		this.crashEventsListed = true;
		updateReadiness();
	}

	// Applies a configuration unless the current version is the same or newer. Returns
	// whether it did.
	boolean apply(ServingConfiguration candidate) {
		long currentVersion = this.configuration.map(ServingConfiguration::version).orElse(Long.MIN_VALUE);
		if (candidate.version() < currentVersion) {
			logger.atWarn()
				.addKeyValue("version", candidate.version())
				.addKeyValue("in_force", currentVersion)
				.log("older configuration ignored");
			return false;
		}
		if (candidate.version() == currentVersion) {
			return false;
		}
		this.configuration = Optional.of(candidate);
		logger.atInfo()
			.addKeyValue("version", candidate.version())
			.addKeyValue("before", currentVersion)
			.log("configuration applied");
		updateReadiness();
		return true;
	}

	// Records the time up to which the current configuration is known to be the latest.
	void confirmCurrent(ClockReading asOf) {
		this.confirmedAt = Optional.of(asOf);
		updateReadiness();
	}

	// Holds a request that has arrived shortly before the first configuration, and
	// returns whether it did.
	boolean hold(RelayExchange exchange) {
		return this.configuration.isEmpty() && exchange.age(this.clock.nanos()).compareTo(MAX_CONFIGURATION_WAIT) < 0
				&& this.held.add(exchange);
	}

	// Returns the held requests that have not ended, which are no longer held.
	List<RelayExchange> takeHeld() {
		List<RelayExchange> taken = this.held.stream().filter((exchange) -> !exchange.isFinished()).toList();
		this.held.clear();
		return taken;
	}

	// Admits a request, or returns the response that rejects it.
	Optional<LocalResponse> admit(RelayExchange exchange) {
		if (isRefusedByShutdown(exchange)) {
			return Optional.of(LocalResponse.notExecuted(retryAfterShutdown(exchange), "daemon stops"));
		}
		if (this.configuration.isEmpty()) {
			return Optional.of(LocalResponse.notExecuted(spread(RETRY_AFTER_NO_CONFIGURATION, exchange),
					"no configuration is known yet"));
		}
		ServingConfiguration current = this.configuration.get();
		ClientCall call = exchange.call();
		Optional<RouteRule> rule = current.routes().find(call.host(), call.path());
		if (rule.isEmpty()) {
			return Optional.of(LocalResponse.of(404, "no route"));
		}
		if (exchange.request().body().length > current.limits().maxBodyBytes()) {
			return Optional.of(LocalResponse.of(413, "body is too long"));
		}
		if (current.teamsByKey().isEmpty() || rule.get().anonymous()) {
			exchange.admit(rule.get(), Optional.empty());
			return Optional.empty();
		}
		if (!hasFreshKeys()) {
			return Optional.of(LocalResponse.notExecuted(RETRY_AFTER_OTHER_DAEMON,
					"keys are " + configurationAgeMillis() + " ms old"));
		}
		Optional<String> team = call.key().flatMap((key) -> Optional.ofNullable(current.teamsByKey().get().get(key)));
		if (team.isEmpty()) {
			return Optional.of(LocalResponse.of(401, "unknown key"));
		}
		int priority = current.prioritiesByTeam().getOrDefault(team.get(), rule.get().priority());
		exchange.admit(rule.get(), team, priority);
		return Optional.empty();
	}

	// Stale keys get no short time: those of all daemons are stale if the store is lost.
	private Duration retryAfterShutdown(RelayExchange exchange) {
		boolean isShort = this.settings.features().waiting().spreadReturns() && this.hasSiblings;
		return spread(isShort ? SHORT_RETRY_AFTER_OTHER_DAEMON : RETRY_AFTER_OTHER_DAEMON, exchange);
	}

	// Prolongs a time by up to a half, differently for each request, so that the clients
	// of a daemon that starts or stops do not return as one wave.
	private Duration spread(Duration retryAfter, RelayExchange exchange) {
		if (!this.settings.features().waiting().spreadReturns()) {
			return retryAfter;
		}
		return retryAfter.plusMillis(Math.floorMod(exchange.call().id().hashCode(), retryAfter.toMillis() / 2));
	}

	private boolean isRefusedByShutdown(RelayExchange exchange) {
		return this.refusedFromNanos.isPresent()
				&& exchange.arrivedAt().monotonicNanos() - this.refusedFromNanos.getAsLong() >= 0;
	}

	private long configurationAgeMillis() {
		return this.confirmedAt.map((asOf) -> asOf.ageMillis(ClockReading.now(this.clock))).orElse(Long.MAX_VALUE);
	}

	private boolean hasFreshKeys() {
		return configurationAgeMillis() <= this.settings.revocationLimit().toMillis() * MAX_KEY_AGE_FRACTION;
	}

	// Recomputes the readiness. Also called periodically, since the configuration ages
	// without an event.
	void updateReadiness() {
		boolean listed = this.directoryListed && this.crashEventsListed;
		boolean readyNow = !this.draining && this.configuration.isPresent() && listed && hasFreshKeys();
		if (readyNow != this.ready) {
			this.ready = readyNow;
			logger.atInfo()
				.addKeyValue("ready", readyNow)
				.addKeyValue("stopping", this.draining)
				.addKeyValue("configuration_age_ms", configurationAgeMillis())
				.log("readiness changed");
		}
	}

}
