package org.mulberrycross.service;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.mulberrycross.Transition;

/**
 * Decides the steps of a call that must not be repeated. Its record is created before the
 * first byte leaves, and only the attempt whose token the record holds sends. Immutable
 * and thread-safe.
 */
public final class CallProtocol {

	/** Creates of one attempt; more would only add writes to a store that has trouble. */
	private static final int MAX_CREATES = 3;

	private final Limits limits;

	/**
	 * Creates a protocol.
	 * @param limits the limits, not null
	 */
	public CallProtocol(Limits limits) {
		this.limits = Objects.requireNonNull(limits, "limits");
	}

	/**
	 * Starts an attempt.
	 * @param name the name of the record, not null
	 * @param digest the digest of the request, not null
	 * @param token a token that no other attempt has, not null
	 * @param now the time of arrival, not null
	 * @return the first state and action
	 */
	public Transition<CallState, CallAction> start(String name, String digest, String token, Now now) {
		IntentRecord claim = IntentRecord.claimed(token, digest, now.millis());
		CallState state = new CallState(CallState.Phase.CLAIMING, name, claim, now.nanos(), 1, false, 0,
				CallOutcome.notRun("not sent yet"));
		return to(state, new CallAction.Create(name, claim));
	}

	/**
	 * Takes the result of an action.
	 * @param state the state, not null
	 * @param event the result of the action that waits in that state, not null
	 * @param now the time, not null
	 * @return the next state and actions
	 * @throws IllegalStateException if the event does not belong to the state
	 */
	public Transition<CallState, CallAction> next(CallState state, CallEvent event, Now now) {
		return switch (state.phase()) {
			case CLAIMING -> claimed(state, event, now);
			case RESOLVING -> resolved(state, event, now);
			case SENDING -> sent(state, event, now);
			case RELEASING -> released(state, event);
			case SETTLING -> settled(state, event, now);
			case DONE -> throw unexpected(state, event);
		};
	}

	private Transition<CallState, CallAction> claimed(CallState state, CallEvent event, Now now) {
		if (event instanceof CallEvent.Written written) {
			return own(state, written.version(), now);
		}
		if (event instanceof CallEvent.Refused) {
			return to(state.in(CallState.Phase.RESOLVING), new CallAction.Read(state.name()));
		}
		if (event instanceof CallEvent.WriteLost) {
			return to(state.withLostCreate(), new CallAction.Read(state.name()));
		}
		if (event instanceof CallEvent.Unavailable unavailable) {
			return giveUp(state, CallOutcome.notRun("the call cannot be recorded: " + unavailable.reason()));
		}
		throw unexpected(state, event);
	}

	private Transition<CallState, CallAction> resolved(CallState state, CallEvent event, Now now) {
		if (event instanceof CallEvent.Unavailable unavailable) {
			if (state.createLost()) {
				return giveUp(state, CallOutcome.notRun("the call cannot be recorded: " + unavailable.reason()));
			}
			return giveUp(state, CallOutcome
				.unknown("an earlier call with this key exists and cannot be read: " + unavailable.reason()));
		}
		if (!(event instanceof CallEvent.Found read)) {
			throw unexpected(state, event);
		}
		if (read.found().isEmpty()) {
			if (state.creates() == MAX_CREATES) {
				return giveUp(state, CallOutcome.notRun("the call cannot be recorded"));
			}
			return to(state.creatingAgain(), new CallAction.Create(state.name(), state.claim()));
		}
		StoredIntent found = read.found().get();
		if (found.intent().token().equals(state.claim().token())) {
			return own(state, found.version(), now);
		}
		return finish(state, earlier(state, found.intent(), now));
	}

	private Transition<CallState, CallAction> own(CallState state, long version, Now now) {
		// A daemon that was paused could create its record after the record of an
		// earlier attempt, which has run, reached the end of its retention. The
		// monotonic clock may stand still while an instance is suspended, so both clocks
		// are asked.
		boolean late = now.nanos() - state.startNanos() > this.limits.maxClaimAge().toNanos()
				|| now.millis() - state.claim().changedMillis() > this.limits.maxClaimAge().toMillis();
		if (late) {
			CallOutcome refused = CallOutcome.notRun("recording the call took too long");
			return to(state.owning(CallState.Phase.RELEASING, version).ended(CallState.Phase.RELEASING, refused),
					new CallAction.Release(state.name(), version));
		}
		return to(state.owning(CallState.Phase.SENDING, version), new CallAction.Send());
	}

	private CallAnswer earlier(CallState state, IntentRecord found, Now now) {
		if (!found.digest().equals(state.claim().digest())) {
			return new CallAnswer(CallAnswer.Kind.KEY_REUSED,
					CallOutcome.notRun("the idempotency key was used for another request"));
		}
		return switch (found.state()) {
			case COMPLETED ->
				new CallAnswer(found.bodyDropped() ? CallAnswer.Kind.STORED_WITHOUT_BODY : CallAnswer.Kind.STORED,
						CallOutcome.completed(found.status(), found.contentType(), found.body()));
			case UNKNOWN -> new CallAnswer(CallAnswer.Kind.STORED,
					CallOutcome.unknown("an earlier call with this key got no complete answer"));
			case CLAIMED -> {
				boolean recent = now.millis() - found.changedMillis() <= this.limits.inProgress().toMillis();
				yield new CallAnswer(recent ? CallAnswer.Kind.IN_PROGRESS : CallAnswer.Kind.STORED,
						CallOutcome.unknown("an earlier call with this key has no recorded outcome"));
			}
		};
	}

	private Transition<CallState, CallAction> sent(CallState state, CallEvent event, Now now) {
		if (!(event instanceof CallEvent.Sent sent)) {
			throw unexpected(state, event);
		}
		if (sent.outcome().kind() == CallOutcome.Kind.NOT_RUN) {
			return to(state.ended(CallState.Phase.RELEASING, sent.outcome()),
					new CallAction.Release(state.name(), state.version()));
		}
		IntentRecord settled = state.claim().settled(sent.outcome(), now.millis(), this.limits.maxStoredBodyBytes());
		return to(state.ended(CallState.Phase.SETTLING, sent.outcome()),
				new CallAction.Settle(state.name(), settled, state.version()));
	}

	private Transition<CallState, CallAction> released(CallState state, CallEvent event) {
		boolean confirmed = event instanceof CallEvent.Written || event instanceof CallEvent.Refused;
		CallAnswer answer = new CallAnswer(CallAnswer.Kind.ATTEMPTED, state.outcome());
		List<CallAction> actions = new ArrayList<>();
		actions.add(new CallAction.Answer(answer));
		if (!confirmed || state.createLost()) {
			actions.add(new CallAction.Defer(new IntentTask.Abandon(state.name(), state.claim().token())));
		}
		return new Transition<>(state.in(CallState.Phase.DONE), actions);
	}

	private Transition<CallState, CallAction> settled(CallState state, CallEvent event, Now now) {
		CallAnswer answer = new CallAnswer(CallAnswer.Kind.ATTEMPTED, state.outcome());
		List<CallAction> actions = new ArrayList<>();
		actions.add(new CallAction.Answer(answer));
		if (event instanceof CallEvent.Written written) {
			actions.add(new CallAction.Defer(new IntentTask.Expire(state.name(), written.version())));
		}
		else if (!(event instanceof CallEvent.Refused)) {
			IntentRecord settled = state.claim()
				.settled(state.outcome(), now.millis(), this.limits.maxStoredBodyBytes());
			actions.add(new CallAction.Defer(new IntentTask.Settle(state.name(), settled, state.version())));
		}
		return new Transition<>(state.in(CallState.Phase.DONE), actions);
	}

	private static Transition<CallState, CallAction> giveUp(CallState state, CallOutcome outcome) {
		List<CallAction> actions = new ArrayList<>();
		actions.add(new CallAction.Answer(new CallAnswer(CallAnswer.Kind.ATTEMPTED, outcome)));
		if (state.createLost()) {
			actions.add(new CallAction.Defer(new IntentTask.Abandon(state.name(), state.claim().token())));
		}
		return new Transition<>(state.ended(CallState.Phase.DONE, outcome), actions);
	}

	private static Transition<CallState, CallAction> finish(CallState state, CallAnswer answer) {
		return to(state.in(CallState.Phase.DONE), new CallAction.Answer(answer));
	}

	private static Transition<CallState, CallAction> to(CallState state, CallAction action) {
		return new Transition<>(state, List.of(action));
	}

	private static IllegalStateException unexpected(CallState state, CallEvent event) {
		return new IllegalStateException(event.getClass().getSimpleName() + " in phase " + state.phase());
	}

	/**
	 * Readings of the daemon's two clocks. Immutable and thread-safe.
	 *
	 * @param nanos the monotonic clock, in nanoseconds
	 * @param millis the wall clock, in milliseconds since 1970
	 */
	public record Now(long nanos, long millis) {

	}

	/**
	 * Limits on calls. Immutable and thread-safe.
	 *
	 * @param maxClaimAge the longest time from the arrival of a call to its first byte;
	 * far below the retention
	 * @param inProgress the age of a claimed record up to which it is reported as in
	 * progress
	 * @param maxStoredBodyBytes the longest body that is stored, in bytes
	 */
	public record Limits(Duration maxClaimAge, Duration inProgress, int maxStoredBodyBytes) {

	}

}
