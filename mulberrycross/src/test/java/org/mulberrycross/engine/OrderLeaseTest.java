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

/**
 * Verifies that a lease has at most one holder at a time and that its fencing number
 * increases with each term.
 */
class OrderLeaseTest {

	private static final Duration LEASE_DURATION = Duration.ofSeconds(10);

	private static final StoredLease OTHER_DAEMONS_RECORD = new StoredLease(5,
			new OrderLeaseRecord("other", 7, "other-token", 20_000));

	private final OrderLease lease = new OrderLease("daemon", LEASE_DURATION);

	/**
	 * Fails if pauses, lost responses, outages or different clock rates lead to two
	 * holders of a lease, to orders of a previous holder being executed, or to an engine
	 * that never reaches its desired setup.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
	void engineHasOneHolderAndReachesDesiredSetup(long seed) {
		OrderSimulation simulation = new OrderSimulation(seed);
		simulation.run(10_000);
		assertThat(simulation.converges(2_000)).isTrue();
		assertThat(simulation.eventCounts().keySet()).containsExactlyElementsIn(OrderSimulation.Event.values());
	}

	/**
	 * Fails if a record of another daemon is replaced before its stored duration plus the
	 * margin have passed since it was first seen, or is never replaced. The second read
	 * is at the given time.
	 */
	@ParameterizedTest
	@CsvSource({ "0, false", "10100, false", "20199, false", "20200, true" })
	void waitsForRecordOfAnotherDaemonToExpire(long millis, boolean expectWrite) {
		LeaseState state = handleRead(LeaseState.initial(), OTHER_DAEMONS_RECORD, 0).state();
		Transition<LeaseState, LeaseAction> transition = handleRead(state, OTHER_DAEMONS_RECORD, millis);
		List<LeaseAction> write = List.of(new LeaseAction.Write(new OrderLeaseRecord("daemon", 8, "", 10_000), 5));
		assertThat(transition.actions()).isEqualTo(expectWrite ? write : List.of());
	}

	/** Fails if a renewal by the other holder does not restart the wait. */
	@Test
	void restartsWaitAfterRecordChanges() {
		LeaseState state = handleRead(LeaseState.initial(), OTHER_DAEMONS_RECORD, 0).state();
		StoredLease renewed = new StoredLease(6, OTHER_DAEMONS_RECORD.lease());
		state = handleRead(state, renewed, 20_200).state();
		assertThat(handleTick(state, 40_399).actions()).isEmpty();
		assertThat(handleTick(state, 40_400).actions()).containsExactly(new LeaseAction.Read());
	}

	/**
	 * Fails if the validity is counted from the response instead of the request, if a
	 * holder renews too late, or if an expired lease keeps its previous fencing number.
	 */
	@ParameterizedTest
	@CsvSource({ "3333, 0, true", "3334, 1, true", "9999, 1, true", "10000, 2, false" })
	void renewsHeldLeaseOrStartsNewTerm(long millis, long fencing, boolean valid) {
		LeaseState state = acquiredState(9_000);
		assertThat(state.grant().get().isValidFor(Duration.ZERO, nanos(millis))).isEqualTo(valid);
		List<LeaseAction> renewal = List
			.of(new LeaseAction.Write(new OrderLeaseRecord("daemon", fencing, "t", 10_000), 3));
		assertThat(handleTick(state, millis).actions()).isEqualTo((fencing > 0) ? renewal : List.of());
	}

	/**
	 * Fails if a lost response is treated as success or failure before the record is read
	 * back, or if the write token in the record is not compared.
	 */
	@ParameterizedTest
	@CsvSource({ "t, 1, true", "u, 1, false" })
	void resolvesUnansweredWriteByToken(String storedToken, long fencing, boolean held) {
		LeaseState state = stateAfterFirstWriteSent();
		state = this.lease.next(state, new LeaseEvent.WriteOutcomeUnknown(), nanos(100)).state();
		assertThat(state.grant()).isEqualTo(Optional.empty());
		Transition<LeaseState, LeaseAction> transition = handleTick(state, 200);
		assertThat(transition.actions()).containsExactly(new LeaseAction.Read());
		transition = handleRead(transition.state(),
				new StoredLease(3, new OrderLeaseRecord("daemon", fencing, storedToken, 10_000)), 300);
		LeaseGrant expected = new LeaseGrant(1, nanos(10_000));
		assertThat(transition.state().grant()).isEqualTo(held ? Optional.of(expected) : Optional.empty());
	}

	/** Fails if the grant remains after a renewal was rejected. */
	@Test
	void conflictingRenewalEndsGrant() {
		LeaseState state = handleTick(acquiredState(0), 5_000).state();
		Transition<LeaseState, LeaseAction> transition = this.lease.next(state, new LeaseEvent.WriteConflict(),
				nanos(5_100));
		assertThat(transition.state().grant()).isEqualTo(Optional.empty());
		assertThat(transition.actions()).containsExactly(new LeaseAction.Read());
	}

	/** Fails if a renewal that had no effect ends or extends a valid lease. */
	@Test
	void failedRenewalKeepsGrant() {
		LeaseState state = handleTick(acquiredState(0), 5_000).state();
		state = this.lease.next(state, new LeaseEvent.CallFailed(), nanos(5_100)).state();
		assertThat(state.grant()).isEqualTo(Optional.of(new LeaseGrant(1, nanos(10_000))));
	}

	/**
	 * Pattern: a store that names no eras came back from an older copy, so that the
	 * record has a lower fencing number. Fails if this ends the use of the lease for
	 * good, if it is acquired before a lost record has expired, or with a number that was
	 * used.
	 */
	@Test
	void lowerFencingNumberStartsWaitAndIsNotUsed() {
		LeaseState state = handleRead(LeaseState.initial(), OTHER_DAEMONS_RECORD, 0).state();
		StoredLease lower = new StoredLease(9, new OrderLeaseRecord("other", 3, "x", 1));
		state = handleRead(state, lower, 1).state();
		assertThat(handleTick(state, 20_200).actions()).isEmpty();
		assertThat(handleTick(state, 20_201).actions()).containsExactly(new LeaseAction.Read());
		assertThat(handleRead(state, lower, 20_201).actions())
			.containsExactly(new LeaseAction.Write(new OrderLeaseRecord("daemon", 8, "", 10_000), 9));
	}

	/**
	 * Pattern: the store comes back from a copy in which a lease is missing or older.
	 * Fails if the holder goes on to act, if the result of a call from before is used, or
	 * if the lease is acquired while another holder may still act on a lost record.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void restorationEndsGrantAndStartsWait(boolean recordLost) {
		LeaseState state = handleTick(acquiredState(0), 5_000).state();
		assertThat(state.phase()).isEqualTo(LeaseState.Phase.WRITING);
		state = this.lease.next(state, new LeaseEvent.StoreRestored(), nanos(5_100)).state();
		assertThat(state.grant()).isEqualTo(Optional.empty());
		Optional<StoredLease> stored = recordLost ? Optional.empty()
				: Optional.of(new StoredLease(2, new OrderLeaseRecord("other", 1, "x", 10_000)));
		Transition<LeaseState, LeaseAction> transition = handleTick(state, 5_200);
		assertThat(transition.actions()).containsExactly(new LeaseAction.Read());
		transition = this.lease.next(transition.state(), new LeaseEvent.ReadCompleted(stored), nanos(5_300));
		assertThat(transition.actions()).isEmpty();
		assertThat(handleTick(transition.state(), 15_199).actions()).isEmpty();
		state = handleTick(transition.state(), 15_400).state();
		assertThat(this.lease.next(state, new LeaseEvent.ReadCompleted(stored), nanos(15_400)).actions())
			.containsExactly(new LeaseAction.Write(new OrderLeaseRecord("daemon", 2, "t", 10_000),
					stored.map(StoredLease::version).orElse(0L)));
	}

	/** Fails if a daemon that starts in a new era uses a number of a lost term. */
	@Test
	void fencingNumberOfNewTermIsAboveFloor() {
		LeaseState state = this.lease.next(LeaseState.initial(), new LeaseEvent.Tick("t", 2_000_000), 0).state();
		assertThat(this.lease.next(state, new LeaseEvent.ReadCompleted(Optional.empty()), 0).actions())
			.containsExactly(new LeaseAction.Write(new OrderLeaseRecord("daemon", 2_000_001, "t", 10_000), 0));
	}

	private LeaseState stateAfterFirstWriteSent() {
		LeaseState state = handleTick(LeaseState.initial(), 0).state();
		Transition<LeaseState, LeaseAction> transition = this.lease.next(state,
				new LeaseEvent.ReadCompleted(Optional.empty()), 0);
		assertThat(transition.actions())
			.containsExactly(new LeaseAction.Write(new OrderLeaseRecord("daemon", 1, "t", 10_000), 0));
		return transition.state();
	}

	private LeaseState acquiredState(long responseMillis) {
		return this.lease.next(stateAfterFirstWriteSent(), new LeaseEvent.WriteCompleted(3), nanos(responseMillis))
			.state();
	}

	private Transition<LeaseState, LeaseAction> handleTick(LeaseState state, long millis) {
		return this.lease.next(state, new LeaseEvent.Tick("t", 0), nanos(millis));
	}

	private Transition<LeaseState, LeaseAction> handleRead(LeaseState state, StoredLease stored, long millis) {
		return this.lease.next(state.withPhase(LeaseState.Phase.READING),
				new LeaseEvent.ReadCompleted(Optional.of(stored)), nanos(millis));
	}

	private static long nanos(long millis) {
		return Duration.ofMillis(millis).toNanos();
	}

}
