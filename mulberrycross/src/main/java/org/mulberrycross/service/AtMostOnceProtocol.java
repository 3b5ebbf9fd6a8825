package org.mulberrycross.service;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.mulberrycross.Transition;

/**
 * State machine of a non-idempotent call with an idempotency key. The intent record of
 * the key is created before any byte of the call is sent, and only the attempt whose
 * token the record holds may send. Does no I/O: the caller performs each action and
 * passes its result to {@link #next}. Immutable and thread-safe.
 */
public final class AtMostOnceProtocol {

	/** More creates would only add writes to a store that is already failing. */
	private static final int MAX_CREATES_PER_ATTEMPT = 3;

	private final Limits limits;

	/**
	 * Creates a protocol with the given limits.
	 * @param limits the limits on ages and body sizes, not null
	 */
	public AtMostOnceProtocol(Limits limits) {
		this.limits = Objects.requireNonNull(limits, "limits");
	}

	/**
	 * Starts an attempt by creating its intent record.
	 * @param recordName the name of the record in the store, not null
	 * @param requestDigest the digest by which a reused key is detected, not null
	 * @param token a token that no other attempt uses, not null
	 * @param now the clocks when the call arrived, not null
	 * @return the first state and action
	 */
	public Transition<CallState, CallAction> start(String recordName, String requestDigest, String token,
			ClockReading now) {
		IntentRecord claim = IntentRecord.claimed(token, requestDigest, now.wallMillis());
		CallState state = new CallState(CallState.Phase.CLAIMING, recordName, claim, now.monotonicNanos(), 1, false, 0,
				CallOutcome.notRun("the call has not been sent yet"));
		return transitionTo(state, new CallAction.Create(recordName, claim));
	}

	/**
	 * Handles the result of the pending action.
	 * @param state the current state, not null
	 * @param event the result of the action that the state waits for, not null
	 * @param now the clocks when the action ended, not null
	 * @return the next state and the actions to perform
	 * @throws IllegalStateException if the state does not expect this kind of event
	 */
	public Transition<CallState, CallAction> next(CallState state, CallEvent event, ClockReading now) {
		return switch (state.phase()) {
			case CLAIMING -> handleCreateResult(state, event, now);
			case RESOLVING -> handleReadResult(state, event, now);
			case SENDING -> handleSendResult(state, event, now);
			case RELEASING -> handleReleaseResult(state, event);
			case SETTLING -> handleSettleResult(state, event, now);
			case DONE -> throw unexpectedEvent(state, event);
		};
	}

	private Transition<CallState, CallAction> handleCreateResult(CallState state, CallEvent event, ClockReading now) {
		if (event instanceof CallEvent.WriteConfirmed confirmed) {
			return sendOrRelease(state, confirmed.version(), now);
		}
		if (event instanceof CallEvent.WriteConflict) {
			return transitionTo(state.withPhase(CallState.Phase.RESOLVING), new CallAction.Read(state.recordName()));
		}
		if (event instanceof CallEvent.WriteUnconfirmed) {
			return transitionTo(state.withUnconfirmedCreate(), new CallAction.Read(state.recordName()));
		}
		if (event instanceof CallEvent.StoreUnavailable unavailable) {
			return endWithoutSending(state,
					CallOutcome.notRun("the intent record cannot be created: " + unavailable.reason()));
		}
		throw unexpectedEvent(state, event);
	}

	private Transition<CallState, CallAction> handleReadResult(CallState state, CallEvent event, ClockReading now) {
		if (event instanceof CallEvent.StoreUnavailable unavailable) {
			if (state.createUnconfirmed()) {
				return endWithoutSending(state,
						CallOutcome.notRun("the intent record cannot be created: " + unavailable.reason()));
			}
			return endWithoutSending(state,
					CallOutcome
						.unknown("the intent record of an earlier call with this idempotency key cannot be read: "
								+ unavailable.reason()));
		}
		if (!(event instanceof CallEvent.ReadCompleted completed)) {
			throw unexpectedEvent(state, event);
		}
		if (completed.storedIntent().isEmpty()) {
			if (state.createCount() == MAX_CREATES_PER_ATTEMPT) {
				return endWithoutSending(state, CallOutcome
					.notRun("the intent record cannot be created after " + MAX_CREATES_PER_ATTEMPT + " attempts"));
			}
			return transitionTo(state.withRetriedCreate(), new CallAction.Create(state.recordName(), state.claim()));
		}
		StoredIntent existing = completed.storedIntent().get();
		if (existing.intent().token().equals(state.claim().token())) {
			return sendOrRelease(state, existing.version(), now);
		}
		return endWithAnswer(state, answerFromRecord(state, existing.intent(), now));
	}

	private Transition<CallState, CallAction> sendOrRelease(CallState state, long version, ClockReading now) {
		// After a pause, a daemon could create its record when the record of an earlier
		// attempt that ran has already expired, and the call would run twice. Both clocks
		// are read because the monotonic clock may stop while an instance is suspended.
		boolean claimTooOld = now.monotonicNanos() - state.startNanos() > this.limits.maxClaimAge().toNanos()
				|| now.wallMillis() - state.claim().changedMillis() > this.limits.maxClaimAge().toMillis();
		if (claimTooOld) {
			CallOutcome tooLate = CallOutcome.notRun("the intent record was created too late to send the call");
			return transitionTo(
					state.withVersion(CallState.Phase.RELEASING, version)
						.withOutcome(CallState.Phase.RELEASING, tooLate),
					new CallAction.Release(state.recordName(), version));
		}
		return transitionTo(state.withVersion(CallState.Phase.SENDING, version), new CallAction.Send());
	}

	private CallAnswer answerFromRecord(CallState state, IntentRecord existing, ClockReading now) {
		if (!existing.digest().equals(state.claim().digest())) {
			return new CallAnswer(CallAnswer.Kind.KEY_REUSED,
					CallOutcome.notRun("the idempotency key was used for another request"));
		}
		return switch (existing.state()) {
			case COMPLETED ->
				new CallAnswer(existing.bodyDropped() ? CallAnswer.Kind.STORED_WITHOUT_BODY : CallAnswer.Kind.STORED,
						CallOutcome.completed(existing.status(), existing.contentType(), existing.body()));
			case UNKNOWN -> new CallAnswer(CallAnswer.Kind.STORED,
					CallOutcome.unknown("an earlier call with this idempotency key got no complete response"));
			case CLAIMED -> {
				boolean recent = now.wallMillis() - existing.changedMillis() <= this.limits.maxInProgressAge()
					.toMillis();
				yield new CallAnswer(recent ? CallAnswer.Kind.IN_PROGRESS : CallAnswer.Kind.STORED,
						CallOutcome.unknown("an earlier call with this idempotency key has no recorded outcome"));
			}
		};
	}

	private Transition<CallState, CallAction> handleSendResult(CallState state, CallEvent event, ClockReading now) {
		if (!(event instanceof CallEvent.SendCompleted completed)) {
			throw unexpectedEvent(state, event);
		}
		if (completed.outcome().kind() == CallOutcome.Kind.NOT_RUN) {
			return transitionTo(state.withOutcome(CallState.Phase.RELEASING, completed.outcome()),
					new CallAction.Release(state.recordName(), state.version()));
		}
		IntentRecord settled = state.claim()
			.settled(completed.outcome(), now.wallMillis(), this.limits.maxStoredBodyBytes());
		return transitionTo(state.withOutcome(CallState.Phase.SETTLING, completed.outcome()),
				new CallAction.Settle(state.recordName(), settled, state.version()));
	}

	private Transition<CallState, CallAction> handleReleaseResult(CallState state, CallEvent event) {
		boolean claimRemoved = event instanceof CallEvent.WriteConfirmed || event instanceof CallEvent.WriteConflict;
		CallAnswer answer = new CallAnswer(CallAnswer.Kind.ATTEMPTED, state.outcome());
		List<CallAction> actions = new ArrayList<>();
		actions.add(new CallAction.Answer(answer));
		// An unconfirmed create may still be applied after the deletion.
		if (!claimRemoved || state.createUnconfirmed()) {
			actions.add(new CallAction.Defer(new IntentTask.Abandon(state.recordName(), state.claim().token())));
		}
		return new Transition<>(state.withPhase(CallState.Phase.DONE), actions);
	}

	private Transition<CallState, CallAction> handleSettleResult(CallState state, CallEvent event, ClockReading now) {
		CallAnswer answer = new CallAnswer(CallAnswer.Kind.ATTEMPTED, state.outcome());
		List<CallAction> actions = new ArrayList<>();
		actions.add(new CallAction.Answer(answer));
		if (event instanceof CallEvent.WriteConfirmed confirmed) {
			actions.add(new CallAction.Defer(new IntentTask.Expire(state.recordName(), confirmed.version())));
		}
		else if (!(event instanceof CallEvent.WriteConflict)) {
			IntentRecord settled = state.claim()
				.settled(state.outcome(), now.wallMillis(), this.limits.maxStoredBodyBytes());
			actions.add(new CallAction.Defer(new IntentTask.Settle(state.recordName(), settled, state.version())));
		}
		return new Transition<>(state.withPhase(CallState.Phase.DONE), actions);
	}

	private static Transition<CallState, CallAction> endWithoutSending(CallState state, CallOutcome outcome) {
		List<CallAction> actions = new ArrayList<>();
		actions.add(new CallAction.Answer(new CallAnswer(CallAnswer.Kind.ATTEMPTED, outcome)));
		if (state.createUnconfirmed()) {
			actions.add(new CallAction.Defer(new IntentTask.Abandon(state.recordName(), state.claim().token())));
		}
		return new Transition<>(state.withOutcome(CallState.Phase.DONE, outcome), actions);
	}

	private static Transition<CallState, CallAction> endWithAnswer(CallState state, CallAnswer answer) {
		return transitionTo(state.withPhase(CallState.Phase.DONE), new CallAction.Answer(answer));
	}

	private static Transition<CallState, CallAction> transitionTo(CallState state, CallAction action) {
		return new Transition<>(state, List.of(action));
	}

	private static IllegalStateException unexpectedEvent(CallState state, CallEvent event) {
		return new IllegalStateException(event.getClass().getSimpleName() + " in phase " + state.phase());
	}

	/**
	 * Readings of the daemon's two clocks, taken together. Immutable and thread-safe.
	 *
	 * @param monotonicNanos the monotonic clock, in nanoseconds
	 * @param wallMillis the wall clock, in epoch milliseconds
	 */
	public record ClockReading(long monotonicNanos, long wallMillis) {

	}

	/**
	 * Limits on calls that must not be repeated. Immutable and thread-safe.
	 *
	 * @param maxClaimAge the maximum time from the arrival of a call to the start of
	 * sending; must be far below the retention of settled records
	 * @param maxInProgressAge the maximum age at which a claimed record is reported as in
	 * progress; an older one has an unknown outcome
	 * @param maxStoredBodyBytes the size in bytes above which a body is not stored
	 */
	public record Limits(Duration maxClaimAge, Duration maxInProgressAge, int maxStoredBodyBytes) {

	}

}
