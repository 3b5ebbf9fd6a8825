package org.mulberrycross.service;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.mulberrycross.PeerException;
import org.mulberrycross.Transition;

/**
 * Randomised simulation of several daemons that share one intent store and one service,
 * on a manual clock. Each step performs one action of one attempt or injects one fault.
 * Throws as soon as a key runs twice or a call that runs is answered with "not run".
 */
final class AtMostOnceSimulation {

	private static final int DAEMON_COUNT = 5;

	private static final int ACTIVE_KEY_COUNT = 8;

	private static final Duration RETENTION = Duration.ofHours(1);

	private static final Duration MAX_CLAIM_AGE = Duration.ofSeconds(30);

	private final Random random;

	private final FakeIntentStore store = new FakeIntentStore(this::drawStoreFault);

	private final AtMostOnceProtocol protocol = new AtMostOnceProtocol(
			new AtMostOnceProtocol.Limits(MAX_CLAIM_AGE, Duration.ofSeconds(45), 64));

	private final List<Daemon> daemons = new ArrayList<>();

	private final List<String> keys = new ArrayList<>();

	private final Map<String, Integer> executionsByKey = new HashMap<>();

	private final Map<String, Long> lastExecutionNanosByKey = new HashMap<>();

	private final Set<String> executedTokens = new HashSet<>();

	private final Set<String> notRunTokens = new HashSet<>();

	private final Deque<Attempt> heldRequests = new ArrayDeque<>();

	private final Map<Event, Integer> eventCounts = new EnumMap<>(Event.class);

	private long nowNanos;

	private boolean storeDown;

	private int nextId;

	AtMostOnceSimulation(long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < DAEMON_COUNT; i++) {
			this.daemons.add(new Daemon());
		}
	}

	Map<Event, Integer> eventCounts() {
		return this.eventCounts;
	}

	void run(int steps) {
		for (int i = 0; i < steps; i++) {
			this.nowNanos += Duration.ofMillis(this.random.nextInt(20)).toNanos();
			performRandomStep();
		}
	}

	private void performRandomStep() {
		Daemon daemon = this.daemons.get(this.random.nextInt(DAEMON_COUNT));
		int perMille = this.random.nextInt(1000);
		if (perMille < (daemon.paused ? 39 : 5)) {
			daemon.paused = !daemon.paused;
			countEvent(Event.PAUSE);
		}
		else if (perMille >= 990) {
			daemon.attempts.clear();
			daemon.ledger = new IntentLedger(this.store, RETENTION);
			daemon.paused = false;
			countEvent(Event.KILL);
		}
		else if (perMille >= (this.storeDown ? 960 : 988)) {
			this.storeDown = !this.storeDown;
			countEvent(Event.OUTAGE);
		}
		else if (perMille == 39) {
			advanceClockFar();
		}
		else if (perMille < 70) {
			if (this.store.applyDelayedWrite()) {
				countEvent(Event.DELAYED_WRITE);
			}
			executeHeldRequest();
		}
		else if (!daemon.paused && perMille < 90) {
			daemon.ledger.runDueTask(clockReading());
			sweep(daemon);
		}
		else if (!daemon.paused && perMille < 180) {
			startAttempt(daemon);
		}
		else if (!daemon.paused && !daemon.attempts.isEmpty()) {
			advanceAttempt(daemon, daemon.attempts.get(this.random.nextInt(daemon.attempts.size())));
		}
	}

	private void sweep(Daemon daemon) {
		try {
			daemon.ledger.sweep("", clockReading().wallMillis());
		}
		catch (PeerException ex) {
			countEvent(Event.FAILED_SWEEP);
		}
	}

	// Runs all held requests first: a service is assumed to run a request that it holds
	// before the retention ends.
	private void advanceClockFar() {
		while (!this.heldRequests.isEmpty()) {
			executeHeldRequest();
		}
		this.nowNanos += RETENTION.toNanos() / (1 + this.random.nextInt(3)) * 2;
		countEvent(Event.LONG_PAUSE);
	}

	private void startAttempt(Daemon daemon) {
		this.keys.removeIf(this::isRetentionEnding);
		while (this.keys.size() < ACTIVE_KEY_COUNT) {
			this.keys.add("key-" + this.nextId++);
		}
		String key = this.keys.get(this.random.nextInt(ACTIVE_KEY_COUNT));
		if (this.random.nextInt(8) == 0) {
			this.keys.remove(key);
		}
		String digest = (this.random.nextInt(50) == 0) ? "other" : "digest";
		daemon.attempts.add(new Attempt(key, digest, "token-" + this.nextId++));
	}

	private boolean isRetentionEnding(String key) {
		Duration margin = MAX_CLAIM_AGE.plusSeconds(1);
		return this.lastExecutionNanosByKey.containsKey(key)
				&& this.nowNanos - this.lastExecutionNanosByKey.get(key) > RETENTION.minus(margin).toNanos();
	}

	private void advanceAttempt(Daemon daemon, Attempt attempt) {
		if (attempt.pendingEvent == null) {
			CallAction action = attempt.transition.actions().get(0);
			attempt.pendingEvent = (action instanceof CallAction.Send) ? send(attempt) : daemon.ledger.perform(action);
			return;
		}
		attempt.transition = this.protocol.next(attempt.transition.state(), attempt.pendingEvent, clockReading());
		attempt.pendingEvent = null;
		if (attempt.transition.state().phase() == CallState.Phase.DONE) {
			daemon.attempts.remove(attempt);
			attempt.transition.actions().forEach((action) -> performFinalAction(daemon, attempt, action));
		}
	}

	private void performFinalAction(Daemon daemon, Attempt attempt, CallAction action) {
		if (action instanceof CallAction.Defer defer) {
			daemon.ledger.defer(defer.task(), this.nowNanos);
			return;
		}
		CallAnswer answer = ((CallAction.Answer) action).answer();
		attempt.invariant.checkAnswer(answer);
		if (answer.kind() == CallAnswer.Kind.STORED) {
			countEvent(Event.STORED_ANSWER);
		}
		if (answer.outcome().kind() == CallOutcome.Kind.NOT_RUN) {
			countEvent(Event.NOT_RUN_ANSWER);
			check(!this.executedTokens.contains(attempt.token), attempt, "ran but is answered with \"not run\"");
			this.notRunTokens.add(attempt.token);
		}
	}

	private CallEvent send(Attempt attempt) {
		attempt.invariant.checkBeforeSend();
		CallOutcome outcome = switch (this.random.nextInt(6)) {
			case 0, 1 -> CallOutcome.notRun("not run by the service");
			case 2 -> CallOutcome.unknown("connection closed before the call ran");
			case 3 -> {
				this.heldRequests.add(attempt);
				yield CallOutcome.unknown("service does not respond");
			}
			case 4 -> {
				execute(attempt);
				yield CallOutcome.unknown("response lost");
			}
			default -> {
				execute(attempt);
				yield CallOutcome.completed(201, "", new byte[this.random.nextInt(128)]);
			}
		};
		attempt.invariant.recordSendOutcome(outcome);
		return new CallEvent.SendCompleted(outcome);
	}

	private void executeHeldRequest() {
		if (!this.heldRequests.isEmpty()) {
			execute(this.heldRequests.remove());
		}
	}

	private void execute(Attempt attempt) {
		countEvent(Event.EXECUTION);
		this.executedTokens.add(attempt.token);
		this.lastExecutionNanosByKey.put(attempt.key, this.nowNanos);
		check(this.executionsByKey.merge(attempt.key, 1, Integer::sum) == 1, attempt,
				"runs although its key ran before");
		check(!this.notRunTokens.contains(attempt.token), attempt, "was answered with \"not run\" but runs");
	}

	private static void check(boolean condition, Attempt attempt, String problem) {
		if (!condition) {
			throw new IllegalStateException("attempt " + attempt.token + " of key " + attempt.key + " " + problem);
		}
	}

	private FakeIntentStore.Fault drawStoreFault() {
		if (this.storeDown) {
			return FakeIntentStore.Fault.DOWN;
		}
		FakeIntentStore.Fault[] faults = FakeIntentStore.Fault.values();
		return (this.random.nextInt(10) < 7) ? FakeIntentStore.Fault.NONE : faults[this.random.nextInt(faults.length)];
	}

	private AtMostOnceProtocol.ClockReading clockReading() {
		return new AtMostOnceProtocol.ClockReading(this.nowNanos, Duration.ofNanos(this.nowNanos).toMillis());
	}

	private void countEvent(Event event) {
		this.eventCounts.merge(event, 1, Integer::sum);
	}

	/**
	 * Events that every run must include, so that a pass covers each kind of fault.
	 */
	enum Event {

		EXECUTION, STORED_ANSWER, NOT_RUN_ANSWER, KILL, PAUSE, LONG_PAUSE, OUTAGE, DELAYED_WRITE, FAILED_SWEEP

	}

	private final class Daemon {

		private final List<Attempt> attempts = new ArrayList<>();

		private IntentLedger ledger = new IntentLedger(AtMostOnceSimulation.this.store, RETENTION);

		private boolean paused;

	}

	private final class Attempt {

		private final String key;

		private final String token;

		private final AttemptInvariant invariant;

		private Transition<CallState, CallAction> transition;

		private CallEvent pendingEvent;

		private Attempt(String key, String digest, String token) {
			this.key = key;
			this.token = token;
			this.invariant = new AttemptInvariant(token);
			this.transition = AtMostOnceSimulation.this.protocol.start(key, digest, token, clockReading());
		}

	}

}
