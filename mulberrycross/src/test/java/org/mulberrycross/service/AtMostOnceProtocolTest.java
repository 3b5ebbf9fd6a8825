package org.mulberrycross.service;

import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mulberrycross.Transition;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against calls that run twice under one idempotency key, and against wrong
 * answers to their callers.
 */
class AtMostOnceProtocolTest {

	private static final Duration MAX_CLAIM_AGE = Duration.ofSeconds(30);

	private final AtMostOnceProtocol protocol = new AtMostOnceProtocol(
			new AtMostOnceProtocol.Limits(MAX_CLAIM_AGE, Duration.ofSeconds(45), 4));

	/** Fails if an order of faults makes a key run twice or an answer "not run" wrong. */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
	void keysRunAtMostOnceUnderFaults(long seed) {
		AtMostOnceSimulation simulation = new AtMostOnceSimulation(seed);
		simulation.run(20_000);
		assertThat(simulation.eventCounts().keySet()).containsExactlyElementsIn(AtMostOnceSimulation.Event.values());
		assertThat(simulation.eventCounts().get(AtMostOnceSimulation.Event.EXECUTION)).isGreaterThan(50);
	}

	/** Fails if a daemon still sends although its create took longer than the limit. */
	@Test
	void lateClaimIsReleasedAndNotSent() {
		Transition<CallState, CallAction> transition = start();
		transition = this.protocol.next(transition.state(), new CallEvent.WriteConfirmed(7),
				clockReadingAt(MAX_CLAIM_AGE.plusNanos(1)));
		assertThat(transition.actions()).containsExactly(new CallAction.Release("name", 7));
		transition = this.protocol.next(transition.state(), new CallEvent.WriteConfirmed(0),
				clockReadingAt(MAX_CLAIM_AGE));
		assertThat(answerOf(transition).outcome().kind()).isEqualTo(CallOutcome.Kind.NOT_RUN);
	}

	/**
	 * Fails if an instance still sends after a suspension during which its monotonic
	 * clock was stopped.
	 */
	@Test
	void lateClaimIsDetectedByWallClock() {
		AtMostOnceProtocol.ClockReading now = new AtMostOnceProtocol.ClockReading(0, MAX_CLAIM_AGE.toMillis() + 1);
		assertThat(this.protocol.next(start().state(), new CallEvent.WriteConfirmed(7), now).actions())
			.containsExactly(new CallAction.Release("name", 7));
	}

	/** Fails if an unanswered create is mistaken for a record of another attempt. */
	@Test
	void unconfirmedCreateIsResolvedByToken() {
		Transition<CallState, CallAction> transition = this.protocol.next(start().state(),
				new CallEvent.WriteUnconfirmed(), clockReadingAt(Duration.ZERO));
		assertThat(transition.actions()).containsExactly(new CallAction.Read("name"));
		transition = this.protocol.next(transition.state(), readCompleted(IntentRecord.claimed("token", "digest", 0)),
				clockReadingAt(Duration.ZERO));
		assertThat(transition.actions()).containsExactly(new CallAction.Send());
	}

	/**
	 * Fails if a create that was not answered leaves its record behind, although the call
	 * did not run.
	 */
	@Test
	void unreadableUnconfirmedCreateIsAbandoned() {
		Transition<CallState, CallAction> transition = this.protocol.next(start().state(),
				new CallEvent.WriteUnconfirmed(), clockReadingAt(Duration.ZERO));
		transition = this.protocol.next(transition.state(), new CallEvent.StoreUnavailable("down"),
				clockReadingAt(Duration.ZERO));
		assertThat(answerOf(transition).outcome().kind()).isEqualTo(CallOutcome.Kind.NOT_RUN);
		assertThat(transition.actions()).contains(new CallAction.Defer(new IntentTask.Abandon("name", "token")));
	}

	/** Fails if a caller gets no answer because the outcome could not be recorded. */
	@Test
	void callerIsAnsweredWhenOutcomeIsNotRecorded() {
		Transition<CallState, CallAction> transition = this.protocol.next(start().state(),
				new CallEvent.WriteConfirmed(7), clockReadingAt(Duration.ZERO));
		transition = this.protocol.next(transition.state(),
				new CallEvent.SendCompleted(CallOutcome.completed(201, "", new byte[0])),
				clockReadingAt(Duration.ZERO));
		transition = this.protocol.next(transition.state(), new CallEvent.StoreUnavailable("down"),
				clockReadingAt(Duration.ZERO));
		assertThat(answerOf(transition).outcome().status()).isEqualTo(201);
		assertThat(((CallAction.Defer) transition.actions().get(1)).task()).isInstanceOf(IntentTask.Settle.class);
	}

	/** Fails if the record of another attempt leads to a wrong answer. */
	@Test
	void existingRecordDeterminesAnswer() {
		IntentRecord claimed = IntentRecord.claimed("first", "digest", 0);
		CallOutcome shortBody = CallOutcome.completed(201, "text/plain", new byte[4]);
		CallOutcome longBody = CallOutcome.completed(201, "text/plain", new byte[5]);
		assertThat(answerForExisting(claimed, Duration.ofSeconds(45))).isEqualTo("IN_PROGRESS UNKNOWN");
		assertThat(answerForExisting(claimed, Duration.ofSeconds(46))).isEqualTo("STORED UNKNOWN");
		assertThat(answerForExisting(claimed.settled(shortBody, 0, 4), Duration.ZERO)).isEqualTo("STORED COMPLETED");
		assertThat(answerForExisting(claimed.settled(longBody, 0, 4), Duration.ZERO))
			.isEqualTo("STORED_WITHOUT_BODY COMPLETED");
		assertThat(answerForExisting(claimed.settled(CallOutcome.unknown("lost"), 0, 4), Duration.ZERO))
			.isEqualTo("STORED UNKNOWN");
		assertThat(answerForExisting(IntentRecord.claimed("first", "other", 0), Duration.ZERO))
			.isEqualTo("KEY_REUSED NOT_RUN");
	}

	private String answerForExisting(IntentRecord record, Duration age) {
		Transition<CallState, CallAction> transition = this.protocol.next(start().state(),
				new CallEvent.WriteConflict(), clockReadingAt(age));
		CallAnswer answer = answerOf(
				this.protocol.next(transition.state(), readCompleted(record), clockReadingAt(age)));
		return answer.kind() + " " + answer.outcome().kind();
	}

	private Transition<CallState, CallAction> start() {
		return this.protocol.start("name", "digest", "token", clockReadingAt(Duration.ZERO));
	}

	private static CallEvent readCompleted(IntentRecord record) {
		return new CallEvent.ReadCompleted(Optional.of(new StoredIntent("name", 7, record)));
	}

	private static CallAnswer answerOf(Transition<CallState, CallAction> transition) {
		return ((CallAction.Answer) transition.actions().get(0)).answer();
	}

	private static AtMostOnceProtocol.ClockReading clockReadingAt(Duration elapsed) {
		return new AtMostOnceProtocol.ClockReading(elapsed.toNanos(), elapsed.toMillis());
	}

}
