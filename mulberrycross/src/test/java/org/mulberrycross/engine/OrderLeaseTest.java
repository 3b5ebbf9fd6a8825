package org.mulberrycross.engine;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mulberrycross.Transition;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards that a lease has one holder at a time and that its numbers grow.
 */
class OrderLeaseTest {

	private static final Duration LEASE = Duration.ofSeconds(10);

	private static final StoredLease OTHER = new StoredLease(5, new LeaseRecord("other", 7, "other-token", 20_000));

	private final OrderLease lease = new OrderLease("daemon", LEASE);

	/**
	 * Fails if pauses, lost answers, outages or clock rates give a lease two holders, let
	 * a former holder act, or keep an engine from its desired setup.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
	void engineHasOneHolderAndReachesDesiredSetup(long seed) {
		OrderRun run = new OrderRun(seed);
		run.run(10_000);
		assertThat(run.settle(2_000)).isTrue();
		assertThat(run.events().keySet()).containsExactlyElementsIn(OrderRun.Event.values());
	}

	/**
	 * Fails if a record of another daemon is replaced before its stored time and the
	 * margin have passed since it was first seen, or never. The last read is at the given
	 * time.
	 */
	@ParameterizedTest
	@CsvSource({ "0, false", "10100, false", "20199, false", "20200, true" })
	void recordOfAnotherDaemonIsWaitedOut(long millis, boolean taken) {
		LeaseState state = found(LeaseState.initial(), OTHER, 0).state();
		Transition<LeaseState, LeaseAction> step = found(state, OTHER, millis);
		List<LeaseAction> write = List.of(new LeaseAction.Write(new LeaseRecord("daemon", 8, "", 10_000), 5));
		assertThat(step.actions()).isEqualTo(taken ? write : List.of());
	}

	/** Fails if a renewal by the other holder does not start the wait again. */
	@Test
	void changedRecordIsWaitedOutAgain() {
		LeaseState state = found(LeaseState.initial(), OTHER, 0).state();
		StoredLease renewed = new StoredLease(6, OTHER.lease());
		state = found(state, renewed, 20_200).state();
		assertThat(tick(state, 40_399).actions()).isEmpty();
		assertThat(tick(state, 40_400).actions()).containsExactly(new LeaseAction.Read());
	}

	/**
	 * Fails if the validity starts with the answer instead of the request, or a holder
	 * renews too late, or takes up its own expired lease under its old number.
	 */
	@ParameterizedTest
	@CsvSource({ "3333, 0, true", "3334, 1, true", "9999, 1, true", "10000, 2, false" })
	void heldLeaseIsRenewedOrTakenAgain(long millis, long number, boolean valid) {
		LeaseState state = acquired(9_000);
		assertThat(state.grant().get().lasts(Duration.ZERO, nanos(millis))).isEqualTo(valid);
		List<LeaseAction> renewal = List.of(new LeaseAction.Write(new LeaseRecord("daemon", number, "t", 10_000), 3));
		assertThat(tick(state, millis).actions()).isEqualTo((number > 0) ? renewal : List.of());
	}

	/**
	 * Fails if a lost answer is taken for success or failure before the record is read
	 * back, or the token read back is not compared.
	 */
	@ParameterizedTest
	@CsvSource({ "t, 1, true", "u, 1, false" })
	void lostWriteIsSettledByToken(String stored, long number, boolean held) {
		LeaseState state = creating();
		state = this.lease.next(state, new LeaseEvent.WriteLost(), nanos(100)).state();
		assertThat(state.grant()).isEqualTo(Optional.empty());
		Transition<LeaseState, LeaseAction> step = tick(state, 200);
		assertThat(step.actions()).containsExactly(new LeaseAction.Read());
		step = found(step.state(), new StoredLease(3, new LeaseRecord("daemon", number, stored, 10_000)), 300);
		LeaseGrant expected = new LeaseGrant(1, nanos(10_000));
		assertThat(step.state().grant()).isEqualTo(held ? Optional.of(expected) : Optional.empty());
	}

	/** Fails if a refused renewal leaves the right to send orders. */
	@Test
	void refusedRenewalEndsTheRight() {
		LeaseState state = tick(acquired(0), 5_000).state();
		Transition<LeaseState, LeaseAction> step = this.lease.next(state, new LeaseEvent.Refused(), nanos(5_100));
		assertThat(step.state().grant()).isEqualTo(Optional.empty());
		assertThat(step.actions()).containsExactly(new LeaseAction.Read());
	}

	/** Fails if a renewal that did not take effect ends or extends a valid lease. */
	@Test
	void failedRenewalKeepsTheValidity() {
		LeaseState state = tick(acquired(0), 5_000).state();
		state = this.lease.next(state, new LeaseEvent.Unavailable(), nanos(5_100)).state();
		assertThat(state.grant()).isEqualTo(Optional.of(new LeaseGrant(1, nanos(10_000))));
	}

	/** Fails if a record that lost its fencing number is used. */
	@Test
	void lowerNumberIsRefused() {
		LeaseState state = found(LeaseState.initial(), OTHER, 0).state();
		StoredLease lower = new StoredLease(9, new LeaseRecord("other", 6, "x", 20_000));
		assertThrows(IllegalStateException.class, () -> found(state, lower, 1));
	}

	private LeaseState creating() {
		LeaseState state = tick(LeaseState.initial(), 0).state();
		Transition<LeaseState, LeaseAction> step = this.lease.next(state, new LeaseEvent.Found(Optional.empty()), 0);
		assertThat(step.actions()).containsExactly(new LeaseAction.Write(new LeaseRecord("daemon", 1, "t", 10_000), 0));
		return step.state();
	}

	private LeaseState acquired(long answerMillis) {
		return this.lease.next(creating(), new LeaseEvent.Written(3), nanos(answerMillis)).state();
	}

	private Transition<LeaseState, LeaseAction> tick(LeaseState state, long millis) {
		return this.lease.next(state, new LeaseEvent.Tick("t"), nanos(millis));
	}

	private Transition<LeaseState, LeaseAction> found(LeaseState state, StoredLease stored, long millis) {
		return this.lease.next(state.in(LeaseState.Phase.READING), new LeaseEvent.Found(Optional.of(stored)),
				nanos(millis));
	}

	private static long nanos(long millis) {
		return Duration.ofMillis(millis).toNanos();
	}

}
