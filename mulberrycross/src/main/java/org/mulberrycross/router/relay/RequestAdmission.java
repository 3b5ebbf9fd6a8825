package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Optional;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.caller.ClientCall;
import org.mulberrycross.caller.RouteRule;

/**
 * Decides which requests this daemon takes: by the configuration in force, and by how
 * surely it is the newest. Owned by the control thread, except for {@link #ready()}.
 */
final class RequestAdmission {

	private static final Logger logger = LoggerFactory.getLogger(RequestAdmission.class);

	/**
	 * Share of the revocation time at which keys known so far are no longer honoured. The
	 * rest covers clocks that are set back while the machine is suspended.
	 */
	private static final double MAX_KEY_AGE = 0.88;

	/** When a client may come back while no configuration is known. */
	private static final Duration RETRY_AFTER_START = Duration.ofMillis(1000);

	/** When a client may come back to another daemon. */
	private static final Duration RETRY_ELSEWHERE = Duration.ofMillis(300);

	private final MonotonicClock clock;

	private RelaySettings settings;

	private Optional<ServingConfiguration> configuration = Optional.empty();

	private Optional<Freshness> asOf = Optional.empty();

	private boolean directoryListed;

	private boolean stopping;

	private boolean refusing;

	private volatile boolean ready;

	RequestAdmission(RelaySettings settings, MonotonicClock clock) {
		this.settings = settings;
		this.clock = clock;
	}

	Optional<ServingConfiguration> configuration() {
		return this.configuration;
	}

	// Returns whether the balancer should send new connections. May be called on any
	// thread.
	boolean ready() {
		return this.ready;
	}

	void reload(RelaySettings changed) {
		this.settings = changed;
	}

	void stop() {
		this.stopping = true;
		update();
	}

	// Takes no requests any more, since they might not end before the process does.
	void refuse() {
		this.refusing = true;
	}

	void directoryListed() {
		this.directoryListed = true;
		update();
	}

	// Puts a configuration into force unless a newer one is. Returns whether it did.
	boolean apply(ServingConfiguration offered) {
		long current = this.configuration.map(ServingConfiguration::version).orElse(Long.MIN_VALUE);
		if (offered.version() <= current) {
			return false;
		}
		this.configuration = Optional.of(offered);
		logger.atInfo()
			.addKeyValue("version", offered.version())
			.addKeyValue("before", current)
			.log("configuration in force");
		update();
		return true;
	}

	// Notes up to when the configuration is surely the newest.
	void known(Freshness moment) {
		this.asOf = Optional.of(moment);
		update();
	}

	// Admits a request, or returns the answer that it gets instead.
	Optional<OwnAnswer> admit(RelayExchange exchange) {
		if (this.refusing) {
			return Optional.of(OwnAnswer.notRun(RETRY_ELSEWHERE, "daemon stops"));
		}
		if (this.configuration.isEmpty()) {
			return Optional.of(OwnAnswer.notRun(RETRY_AFTER_START, "no configuration is known yet"));
		}
		ServingConfiguration current = this.configuration.get();
		ClientCall call = exchange.call();
		Optional<RouteRule> rule = current.routes().find(call.host(), call.path());
		if (rule.isEmpty()) {
			return Optional.of(OwnAnswer.of(404, "no route"));
		}
		if (exchange.request().body().length > current.limits().maxBodyBytes()) {
			return Optional.of(OwnAnswer.of(413, "body is too long"));
		}
		if (current.teamsByKey().isEmpty() || rule.get().anonymous()) {
			exchange.admit(rule.get(), Optional.empty());
			return Optional.empty();
		}
		if (!fresh()) {
			return Optional.of(OwnAnswer.notRun(RETRY_ELSEWHERE, "keys are " + ageMillis() + " ms old"));
		}
		Optional<String> team = call.key().flatMap((key) -> Optional.ofNullable(current.teamsByKey().get().get(key)));
		if (team.isEmpty()) {
			return Optional.of(OwnAnswer.of(401, "unknown key"));
		}
		exchange.admit(rule.get(), team);
		return Optional.empty();
	}

	private long ageMillis() {
		return this.asOf.map((moment) -> moment.ageMillis(Freshness.now(this.clock))).orElse(Long.MAX_VALUE);
	}

	private boolean fresh() {
		return ageMillis() <= this.settings.revocation().toMillis() * MAX_KEY_AGE;
	}

	// Brings the readiness up to date; also called from time to time, since knowledge
	// ages.
	void update() {
		boolean now = !this.stopping && this.configuration.isPresent() && this.directoryListed && fresh();
		if (now != this.ready) {
			this.ready = now;
			logger.atInfo()
				.addKeyValue("ready", now)
				.addKeyValue("stopping", this.stopping)
				.addKeyValue("configuration_age_ms", ageMillis())
				.log("readiness changed");
		}
	}

}
