package org.mulberrycross.service;

import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mulberrycross.Transition;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards the rules of calls that must not be repeated.
 */
class CallProtocolTest {

	private static final Duration MAX_CLAIM_AGE = Duration.ofSeconds(30);

	private final CallProtocol protocol = new CallProtocol(
			new CallProtocol.Limits(MAX_CLAIM_AGE, Duration.ofSeconds(45), 4));

	/** Fails if any order of faults makes a key run twice or a "not run" untrue. */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
	void keysRunAtMostOnceUnderFaults(long seed) {
		AtMostOnceRun run = new AtMostOnceRun(seed);
		run.run(20_000);
		assertThat(run.events().keySet()).containsExactlyElementsIn(AtMostOnceRun.Event.values());
		assertThat(run.events().get(AtMostOnceRun.Event.EXECUTION)).isGreaterThan(50);
	}

	/** Fails if a daemon whose create was delayed past the limit still sends. */
	@Test
	void lateClaimIsReleasedAndNotSent() {
		Transition<CallState, CallAction> step = start();
		step = this.protocol.next(step.state(), new CallEvent.Written(7), at(MAX_CLAIM_AGE.plusNanos(1)));
		assertThat(step.actions()).containsExactly(new CallAction.Release("name", 7));
		step = this.protocol.next(step.state(), new CallEvent.Written(0), at(MAX_CLAIM_AGE));
		assertThat(answer(step).outcome().kind()).isEqualTo(CallOutcome.Kind.NOT_RUN);
	}

	/** Fails if a suspended instance, whose monotonic clock stood still, still sends. */
	@Test
	void lateClaimIsSeenByTheWallClock() {
		CallProtocol.Now now = new CallProtocol.Now(0, MAX_CLAIM_AGE.toMillis() + 1);
		assertThat(this.protocol.next(start().state(), new CallEvent.Written(7), now).actions())
			.containsExactly(new CallAction.Release("name", 7));
	}

	/** Fails if a claim whose answer was lost is taken for another daemon's. */
	@Test
	void lostCreateIsSettledByToken() {
		Transition<CallState, CallAction> step = this.protocol.next(start().state(), new CallEvent.WriteLost(),
				at(Duration.ZERO));
		assertThat(step.actions()).containsExactly(new CallAction.Read("name"));
		step = this.protocol.next(step.state(), found(IntentRecord.claimed("token", "digest", 0)), at(Duration.ZERO));
		assertThat(step.actions()).containsExactly(new CallAction.Send());
	}

	/** Fails if the lost create of a call that did not run leaves its record behind. */
	@Test
	void unreadableLostCreateIsAbandoned() {
		Transition<CallState, CallAction> step = this.protocol.next(start().state(), new CallEvent.WriteLost(),
				at(Duration.ZERO));
		step = this.protocol.next(step.state(), new CallEvent.Unavailable("down"), at(Duration.ZERO));
		assertThat(answer(step).outcome().kind()).isEqualTo(CallOutcome.Kind.NOT_RUN);
		assertThat(step.actions()).contains(new CallAction.Defer(new IntentTask.Abandon("name", "token")));
	}

	/** Fails if a caller loses its answer because the outcome could not be recorded. */
	@Test
	void answerIsGivenWhenOutcomeCannotBeRecorded() {
		Transition<CallState, CallAction> step = this.protocol.next(start().state(), new CallEvent.Written(7),
				at(Duration.ZERO));
		step = this.protocol.next(step.state(), new CallEvent.Sent(CallOutcome.completed(201, "", new byte[0])),
				at(Duration.ZERO));
		step = this.protocol.next(step.state(), new CallEvent.Unavailable("down"), at(Duration.ZERO));
		assertThat(answer(step).outcome().status()).isEqualTo(201);
		assertThat(((CallAction.Defer) step.actions().get(1)).task()).isInstanceOf(IntentTask.Settle.class);
	}

	/** Fails if another attempt's record is answered wrongly. */
	@Test
	void recordsOfOtherAttemptsAreAnswered() {
		IntentRecord claimed = IntentRecord.claimed("first", "digest", 0);
		CallOutcome done = CallOutcome.completed(201, "text/plain", new byte[4]);
		CallOutcome tooLong = CallOutcome.completed(201, "text/plain", new byte[5]);
		assertThat(earlier(claimed, Duration.ofSeconds(45))).isEqualTo("IN_PROGRESS UNKNOWN");
		assertThat(earlier(claimed, Duration.ofSeconds(46))).isEqualTo("STORED UNKNOWN");
		assertThat(earlier(claimed.settled(done, 0, 4), Duration.ZERO)).isEqualTo("STORED COMPLETED");
		assertThat(earlier(claimed.settled(tooLong, 0, 4), Duration.ZERO)).isEqualTo("STORED_WITHOUT_BODY COMPLETED");
		assertThat(earlier(claimed.settled(CallOutcome.unknown("lost"), 0, 4), Duration.ZERO))
			.isEqualTo("STORED UNKNOWN");
		assertThat(earlier(IntentRecord.claimed("first", "other", 0), Duration.ZERO)).isEqualTo("KEY_REUSED NOT_RUN");
	}

	private String earlier(IntentRecord record, Duration age) {
		Transition<CallState, CallAction> step = this.protocol.next(start().state(), new CallEvent.Refused(), at(age));
		CallAnswer answer = answer(this.protocol.next(step.state(), found(record), at(age)));
		return answer.kind() + " " + answer.outcome().kind();
	}

	private Transition<CallState, CallAction> start() {
		return this.protocol.start("name", "digest", "token", at(Duration.ZERO));
	}

	private static CallEvent found(IntentRecord record) {
		return new CallEvent.Found(Optional.of(new StoredIntent("name", 7, record)));
	}

	private static CallAnswer answer(Transition<CallState, CallAction> step) {
		return ((CallAction.Answer) step.actions().get(0)).answer();
	}

	private static CallProtocol.Now at(Duration time) {
		return new CallProtocol.Now(time.toNanos(), time.toMillis());
	}

}
