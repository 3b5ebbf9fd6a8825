package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.sibling.ConfigurationReply;
import org.mulberrycross.sibling.Sibling;

/**
 * Passes the versions of the configuration on to admission, and asks siblings for a newer
 * one than the store has: a store that came back from an older copy may have lost a
 * version that was confirmed and is in force at the siblings. The first version is held
 * back until they were asked, so that a daemon which starts then does not serve an older
 * one. Stores that name no eras do not come back from copies; their versions are passed
 * on at once. Confined to the control thread; not thread-safe.
 */
final class ConfigurationSync {

	private static final Logger logger = LoggerFactory.getLogger(ConfigurationSync.class);

	/**
	 * Maximum time for which the first version is held back. A daemon that no sibling
	 * answers serves the version of the store afterwards.
	 */
	static final Duration MAX_HOLD = Duration.ofSeconds(1);

	/**
	 * Time after the first answer for which the first version is held back. Siblings that
	 * run answer within a round trip, and addresses of those that are gone not at all.
	 */
	static final Duration ANSWER_WAIT = Duration.ofMillis(200);

	/** Pause after a round of queries that no sibling has answered. */
	static final Duration RETRY_PERIOD = Duration.ofMillis(250);

	/** Time after which siblings that do not answer are no longer asked. */
	static final Duration MAX_RETRY_TIME = Duration.ofSeconds(10);

	/**
	 * Maximum delay of the queries after a return of the store, which all daemons see.
	 */
	static final Duration MAX_SPREAD = Duration.ofMillis(500);

	/**
	 * Number of siblings that are asked in a round. One that has followed the store
	 * through the return is enough.
	 */
	static final int MAX_ASKED = 16;

	private static final long NO_VERSION = Long.MIN_VALUE;

	private final Consumer<ServingConfiguration> applier;

	private final Consumer<Duration> restorationListener;

	private final BooleanSupplier storeNamesEras;

	private final Optional<SiblingQuery> query;

	private final MonotonicClock clock;

	private final RandomGenerator random;

	/** The newest version that is known, also while it is held back. */
	private Optional<KnownConfiguration> newest = Optional.empty();

	/** Empty until the daemons are listed. */
	private Optional<List<Sibling>> siblings = Optional.empty();

	/** Whether versions are held back. */
	private boolean holding = true;

	/** When the first version became known. */
	private OptionalLong heldSinceNanos = OptionalLong.empty();

	/** When the first sibling answered, empty until one has. */
	private OptionalLong answeredNanos = OptionalLong.empty();

	/** When the next round of queries is due, empty if none is. */
	private OptionalLong roundDueNanos = OptionalLong.empty();

	/** When the current rounds of queries are given up if no sibling answers. */
	private long roundsEndNanos;

	/** The number of queries without a result. */
	private int openQueries;

	/** Whether a sibling has answered in the current round. */
	private boolean answered;

	private OptionalLong restoredNanos = OptionalLong.empty();

	// Without a query, versions are passed on at once. The restoration listener is told
	// how long ago a sibling has learned of a return of the store that this daemon has
	// not seen itself.
	ConfigurationSync(Consumer<ServingConfiguration> applier, Consumer<Duration> restorationListener,
			BooleanSupplier storeNamesEras, Optional<SiblingQuery> query, MonotonicClock clock,
			RandomGenerator random) {
		this.applier = Objects.requireNonNull(applier, "applier");
		this.restorationListener = Objects.requireNonNull(restorationListener, "restorationListener");
		this.storeNamesEras = Objects.requireNonNull(storeNamesEras, "storeNamesEras");
		this.query = Objects.requireNonNull(query, "query");
		this.clock = clock;
		this.random = random;
	}

	// Handles versions that were read from the store, in order.
	void update(List<KnownConfiguration> versions) {
		versions.forEach(this::update);
		if (!this.holding || this.newest.isEmpty() || this.heldSinceNanos.isPresent()) {
			return;
		}
		if (this.query.isEmpty() || !this.storeNamesEras.getAsBoolean()) {
			release("siblings are not asked");
			return;
		}
		long nowNanos = this.clock.nanos();
		this.heldSinceNanos = OptionalLong.of(nowNanos);
		scheduleRounds(nowNanos);
		check();
	}

	private void update(KnownConfiguration version) {
		if (version.version() > knownVersion()) {
			this.newest = Optional.of(version);
		}
		if (!this.holding) {
			this.applier.accept(version.configuration());
		}
	}

	private long knownVersion() {
		return this.newest.map(KnownConfiguration::version).orElse(NO_VERSION);
	}

	// Replaces the known siblings, without this daemon.
	void updateSiblings(Collection<Sibling> listed) {
		this.siblings = Optional.of(List.copyOf(listed));
		check();
	}

	// Records that the store came back from an older copy. This daemon may have missed a
	// version that its siblings know.
	void recordRestoration() {
		long nowNanos = this.clock.nanos();
		this.restoredNanos = OptionalLong.of(nowNanos);
		if (this.query.isPresent() && !this.holding) {
			scheduleRounds(nowNanos + this.random.nextLong(MAX_SPREAD.toNanos()));
		}
	}

	// Returns the newest version if it is newer than another one.
	ConfigurationReply answer(long version) {
		Optional<Duration> restoredAgo = this.restoredNanos.isPresent()
				? Optional.of(Duration.ofNanos(this.clock.nanos() - this.restoredNanos.getAsLong())) : Optional.empty();
		return new ConfigurationReply(
				this.newest.filter((known) -> known.version() > version).map(KnownConfiguration::toSharedChange),
				restoredAgo);
	}

	private void scheduleRounds(long firstNanos) {
		this.roundDueNanos = OptionalLong.of(firstNanos);
		this.roundsEndNanos = firstNanos + MAX_RETRY_TIME.toNanos();
	}

	// Asks the siblings if it is time, and stops holding versions back after a time.
	void check() {
		long nowNanos = this.clock.nanos();
		if (hasPassed(ANSWER_WAIT, this.answeredNanos, nowNanos)) {
			release("siblings have answered");
		}
		if (hasPassed(MAX_HOLD, this.heldSinceNanos, nowNanos)) {
			release("no sibling has answered in time");
		}
		boolean due = this.roundDueNanos.isPresent() && nowNanos - this.roundDueNanos.getAsLong() >= 0;
		if (!due || this.siblings.isEmpty() || this.openQueries > 0) {
			return;
		}
		this.roundDueNanos = OptionalLong.empty();
		startRound();
	}

	private static boolean hasPassed(Duration time, OptionalLong sinceNanos, long nowNanos) {
		return sinceNanos.isPresent() && nowNanos - sinceNanos.getAsLong() >= time.toNanos();
	}

	private void startRound() {
		List<Sibling> others = new ArrayList<>(this.siblings.orElseThrow());
		if (others.isEmpty()) {
			// Those whose entries were lost with the store register again.
			release("no sibling is listed");
			scheduleRetry();
			return;
		}
		List<Sibling> asked = new ArrayList<>();
		while (asked.size() < MAX_ASKED && !others.isEmpty()) {
			asked.add(others.remove(this.random.nextInt(others.size())));
		}
		this.answered = false;
		this.openQueries = asked.size();
		long version = knownVersion();
		asked.forEach((sibling) -> this.query.orElseThrow()
			.ask(sibling, version, (answer) -> handleAnswer(sibling, answer), this::endQuery));
	}

	private void handleAnswer(Sibling sibling, SiblingAnswer answer) {
		this.answered = true;
		if (this.answeredNanos.isEmpty()) {
			this.answeredNanos = OptionalLong.of(this.clock.nanos());
		}
		if (this.restoredNanos.isEmpty()) {
			answer.restoredAgo().ifPresent(this.restorationListener);
		}
		long before = knownVersion();
		answer.newer().ifPresent(this::update);
		if (knownVersion() > before) {
			logger.atInfo()
				.addKeyValue("sibling", sibling.name())
				.addKeyValue("version", knownVersion())
				.addKeyValue("before", (before != NO_VERSION) ? before : "none")
				.log("sibling knows a newer configuration");
		}
		endQuery();
	}

	private void endQuery() {
		this.openQueries--;
		if (this.openQueries > 0) {
			return;
		}
		if (this.answered) {
			release("siblings have answered");
			return;
		}
		scheduleRetry();
	}

	private void scheduleRetry() {
		long nextNanos = this.clock.nanos() + RETRY_PERIOD.toNanos();
		if (nextNanos - this.roundsEndNanos < 0) {
			this.roundDueNanos = OptionalLong.of(nextNanos);
		}
	}

	private void release(String reason) {
		if (!this.holding) {
			return;
		}
		this.holding = false;
		logger.atInfo()
			.addKeyValue("version", knownVersion())
			.addKeyValue("reason", reason)
			.log("first configuration released");
		this.newest.map(KnownConfiguration::configuration).ifPresent(this.applier);
	}

	/**
	 * What a sibling has answered.
	 *
	 * @param newer the newest version that the sibling knows, empty if none is newer
	 * @param restoredAgo the time since the sibling learned that the store came back,
	 * empty if it did not since the sibling started
	 */
	record SiblingAnswer(Optional<KnownConfiguration> newer, Optional<Duration> restoredAgo) {

	}

	/** Asks siblings for the newest configuration. */
	@FunctionalInterface
	interface SiblingQuery {

		// Asks a sibling for a version that is newer than a known one. Calls one of the
		// two handlers once, on the control thread.
		void ask(Sibling sibling, long version, Consumer<SiblingAnswer> onAnswer, Runnable onFailure);

	}

}
