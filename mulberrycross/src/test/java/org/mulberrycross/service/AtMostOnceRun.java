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
 * Randomised run of several daemons over one store and one service, on a manual clock.
 * Each step does one action of one attempt or one fault. Throws as soon as a promise is
 * broken.
 */
final class AtMostOnceRun {

	private static final int DAEMONS = 5;

	private static final int ACTIVE_KEYS = 8;

	private static final Duration RETENTION = Duration.ofHours(1);

	private static final Duration MAX_CLAIM_AGE = Duration.ofSeconds(30);

	private final Random random;

	private final FakeIntentStore store = new FakeIntentStore(this::fault);

	private final CallProtocol protocol = new CallProtocol(
			new CallProtocol.Limits(MAX_CLAIM_AGE, Duration.ofSeconds(45), 64));

	private final List<Daemon> daemons = new ArrayList<>();

	private final List<String> keys = new ArrayList<>();

	private final Map<String, Integer> executions = new HashMap<>();

	private final Map<String, Long> executedAt = new HashMap<>();

	private final Set<String> executedTokens = new HashSet<>();

	private final Set<String> refusedTokens = new HashSet<>();

	private final Deque<Attempt> lateExecutions = new ArrayDeque<>();

	private final Map<Event, Integer> events = new EnumMap<>(Event.class);

	private long nanos;

	private boolean outage;

	private int created;

	AtMostOnceRun(long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < DAEMONS; i++) {
			this.daemons.add(new Daemon());
		}
	}

	Map<Event, Integer> events() {
		return this.events;
	}

	void run(int steps) {
		for (int i = 0; i < steps; i++) {
			this.nanos += Duration.ofMillis(this.random.nextInt(20)).toNanos();
			step();
		}
	}

	private void step() {
		Daemon daemon = this.daemons.get(this.random.nextInt(DAEMONS));
		int draw = this.random.nextInt(1000);
		if (draw < (daemon.paused ? 39 : 5)) {
			daemon.paused = !daemon.paused;
			count(Event.PAUSE);
		}
		else if (draw >= 990) {
			daemon.attempts.clear();
			daemon.ledger = new IntentLedger(this.store, RETENTION);
			daemon.paused = false;
			count(Event.KILL);
		}
		else if (draw >= (this.outage ? 960 : 988)) {
			this.outage = !this.outage;
			count(Event.OUTAGE);
		}
		else if (draw == 39) {
			jump();
		}
		else if (draw < 70) {
			if (this.store.deliverDelayed()) {
				count(Event.DELAYED_WRITE);
			}
			executeLate();
		}
		else if (!daemon.paused && draw < 90) {
			daemon.ledger.maintain(now());
			sweep(daemon);
		}
		else if (!daemon.paused && draw < 180) {
			start(daemon);
		}
		else if (!daemon.paused && !daemon.attempts.isEmpty()) {
			advance(daemon, daemon.attempts.get(this.random.nextInt(daemon.attempts.size())));
		}
	}

	private void sweep(Daemon daemon) {
		try {
			daemon.ledger.sweep("", now().millis());
		}
		catch (PeerException ex) {
			count(Event.FAILED_SWEEP);
		}
	}

	// A service is assumed to run a request that it holds before the retention ends.
	private void jump() {
		while (!this.lateExecutions.isEmpty()) {
			executeLate();
		}
		this.nanos += RETENTION.toNanos() / (1 + this.random.nextInt(3)) * 2;
		count(Event.LONG_PAUSE);
	}

	private void start(Daemon daemon) {
		this.keys.removeIf(this::retentionEnds);
		while (this.keys.size() < ACTIVE_KEYS) {
			this.keys.add("key-" + this.created++);
		}
		String key = this.keys.get(this.random.nextInt(ACTIVE_KEYS));
		if (this.random.nextInt(8) == 0) {
			this.keys.remove(key);
		}
		String digest = (this.random.nextInt(50) == 0) ? "other" : "digest";
		daemon.attempts.add(new Attempt(key, digest, "token-" + this.created++));
	}

	private boolean retentionEnds(String key) {
		Duration margin = MAX_CLAIM_AGE.plusSeconds(1);
		return this.executedAt.containsKey(key)
				&& this.nanos - this.executedAt.get(key) > RETENTION.minus(margin).toNanos();
	}

	private void advance(Daemon daemon, Attempt attempt) {
		if (attempt.event == null) {
			CallAction action = attempt.step.actions().get(0);
			attempt.event = (action instanceof CallAction.Send) ? send(attempt) : daemon.ledger.perform(action);
			return;
		}
		attempt.step = this.protocol.next(attempt.step.state(), attempt.event, now());
		attempt.event = null;
		if (attempt.step.state().phase() == CallState.Phase.DONE) {
			daemon.attempts.remove(attempt);
			attempt.step.actions().forEach((action) -> finish(daemon, attempt, action));
		}
	}

	private void finish(Daemon daemon, Attempt attempt, CallAction action) {
		if (action instanceof CallAction.Defer deferred) {
			daemon.ledger.defer(deferred.task(), this.nanos);
			return;
		}
		CallAnswer answer = ((CallAction.Answer) action).answer();
		attempt.invariant.answered(answer);
		if (answer.kind() == CallAnswer.Kind.STORED) {
			count(Event.STORED_ANSWER);
		}
		if (answer.outcome().kind() == CallOutcome.Kind.NOT_RUN) {
			count(Event.NOT_RUN_ANSWER);
			check(!this.executedTokens.contains(attempt.token), attempt, "ran and is answered \"not run\"");
			this.refusedTokens.add(attempt.token);
		}
	}

	private CallEvent send(Attempt attempt) {
		attempt.invariant.sending();
		CallOutcome outcome = switch (this.random.nextInt(6)) {
			case 0, 1 -> CallOutcome.notRun("refused");
			case 2 -> CallOutcome.unknown("closed before running");
			case 3 -> {
				this.lateExecutions.add(attempt);
				yield CallOutcome.unknown("frozen");
			}
			case 4 -> {
				execute(attempt);
				yield CallOutcome.unknown("reply lost");
			}
			default -> {
				execute(attempt);
				yield CallOutcome.completed(201, "", new byte[this.random.nextInt(128)]);
			}
		};
		attempt.invariant.sent(outcome);
		return new CallEvent.Sent(outcome);
	}

	private void executeLate() {
		if (!this.lateExecutions.isEmpty()) {
			execute(this.lateExecutions.remove());
		}
	}

	private void execute(Attempt attempt) {
		count(Event.EXECUTION);
		this.executedTokens.add(attempt.token);
		this.executedAt.put(attempt.key, this.nanos);
		check(this.executions.merge(attempt.key, 1, Integer::sum) == 1, attempt, "runs its key a second time");
		check(!this.refusedTokens.contains(attempt.token), attempt, "was answered \"not run\" and runs");
	}

	private static void check(boolean holds, Attempt attempt, String problem) {
		if (!holds) {
			throw new IllegalStateException("attempt " + attempt.token + " of " + attempt.key + " " + problem);
		}
	}

	private FakeIntentStore.Fault fault() {
		if (this.outage) {
			return FakeIntentStore.Fault.DOWN;
		}
		FakeIntentStore.Fault[] all = FakeIntentStore.Fault.values();
		return (this.random.nextInt(10) < 7) ? FakeIntentStore.Fault.NONE : all[this.random.nextInt(all.length)];
	}

	private CallProtocol.Now now() {
		return new CallProtocol.Now(this.nanos, Duration.ofNanos(this.nanos).toMillis());
	}

	private void count(Event event) {
		this.events.merge(event, 1, Integer::sum);
	}

	/**
	 * Events that a run must have had for its result to mean anything.
	 */
	enum Event {

		EXECUTION, STORED_ANSWER, NOT_RUN_ANSWER, KILL, PAUSE, LONG_PAUSE, OUTAGE, DELAYED_WRITE, FAILED_SWEEP

	}

	private final class Daemon {

		private final List<Attempt> attempts = new ArrayList<>();

		private IntentLedger ledger = new IntentLedger(AtMostOnceRun.this.store, RETENTION);

		private boolean paused;

	}

	private final class Attempt {

		private final String key;

		private final String token;

		private final AttemptInvariant invariant;

		private Transition<CallState, CallAction> step;

		private CallEvent event;

		private Attempt(String key, String digest, String token) {
			this.key = key;
			this.token = token;
			this.invariant = new AttemptInvariant(token);
			this.step = AtMostOnceRun.this.protocol.start(key, digest, token, now());
		}

	}

}
