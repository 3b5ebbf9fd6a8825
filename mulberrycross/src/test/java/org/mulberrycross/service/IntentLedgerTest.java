package org.mulberrycross.service;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mulberrycross.PeerException;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against wrong events for faults of the store, and against background tasks that
 * lose outcomes or delete records too early.
 */
class IntentLedgerTest {

	private static final Duration RETENTION = Duration.ofHours(1);

	private static final IntentRecord CLAIM = IntentRecord.claimed("token", "digest", 0);

	private static final IntentRecord SETTLED = CLAIM.settled(CallOutcome.unknown("lost"), 0, 10);

	private final AtomicReference<FakeIntentStore.Fault> fault = new AtomicReference<>(FakeIntentStore.Fault.NONE);

	private final FakeIntentStore store = new FakeIntentStore(this.fault::get);

	private final IntentLedger ledger = new IntentLedger(this.store, RETENTION);

	/** Fails if a fault is mapped to an event that claims more or less than is known. */
	@ParameterizedTest
	@CsvSource({ "create, NONE, WriteConfirmed, true", "create, DOWN, StoreUnavailable, false",
			"create, RESPONSE_LOST, WriteUnconfirmed, true", "create, REQUEST_LOST, WriteUnconfirmed, false",
			"create again, NONE, WriteConflict, true", "read, NONE, ReadCompleted, true",
			"read, DOWN, StoreUnavailable, true", "read, RESPONSE_LOST, StoreUnavailable, true",
			"settle, NONE, WriteConfirmed, true", "settle, DOWN, StoreUnavailable, true",
			"settle, RESPONSE_LOST, WriteUnconfirmed, true", "settle old version, NONE, WriteConflict, true",
			"release, NONE, WriteConfirmed, false", "release, DOWN, StoreUnavailable, true",
			"release, RESPONSE_LOST, WriteUnconfirmed, false", "release old version, NONE, WriteConflict, true" })
	void storeFaultsMapToEvents(String action, FakeIntentStore.Fault injected, String event, boolean stored)
			throws PeerException {
		long version = action.equals("create") ? 0 : this.store.create("name", CLAIM).getAsLong();
		this.fault.set(injected);
		CallAction performed = switch (action) {
			case "create", "create again" -> new CallAction.Create("name", CLAIM);
			case "read" -> new CallAction.Read("name");
			case "settle" -> new CallAction.Settle("name", SETTLED, version);
			case "settle old version" -> new CallAction.Settle("name", SETTLED, version - 1);
			case "release" -> new CallAction.Release("name", version);
			default -> new CallAction.Release("name", version - 1);
		};
		assertThat(this.ledger.perform(performed).getClass().getSimpleName()).isEqualTo(event);
		assertThat(this.store.findRecord("name").isPresent()).isEqualTo(stored);
	}

	/** Fails if an outcome is never stored after an outage, or is never deleted. */
	@Test
	void outcomeIsRecordedAfterOutageAndExpires() throws PeerException {
		long version = this.store.create("name", CLAIM).getAsLong();
		this.ledger.defer(new IntentTask.Settle("name", SETTLED, version), 0);
		this.fault.set(FakeIntentStore.Fault.DOWN);
		assertThat(this.ledger.runDueTask(clockReadingAt(Duration.ofSeconds(1)))).isTrue();
		assertThat(storedState()).isEqualTo(Optional.of(IntentRecord.State.CLAIMED));
		this.fault.set(FakeIntentStore.Fault.NONE);
		assertThat(this.ledger.runDueTask(clockReadingAt(Duration.ofSeconds(2)))).isTrue();
		assertThat(storedState()).isEqualTo(Optional.of(IntentRecord.State.UNKNOWN));
		assertThat(this.ledger.runDueTask(clockReadingAt(RETENTION))).isFalse();
		assertThat(this.ledger.runDueTask(clockReadingAt(RETENTION.plusSeconds(2)))).isTrue();
		assertThat(storedState()).isEqualTo(Optional.empty());
	}

	/** Fails if abandoning an attempt deletes the record of another. */
	@Test
	void onlyOwnRecordIsAbandoned() throws PeerException {
		this.store.create("name", CLAIM);
		this.ledger.defer(new IntentTask.Abandon("name", "other"), 0);
		this.ledger.defer(new IntentTask.Abandon("name", "token"), Duration.ofSeconds(1).toNanos());
		this.ledger.runDueTask(clockReadingAt(Duration.ofSeconds(1)));
		assertThat(storedState()).isEqualTo(Optional.of(IntentRecord.State.CLAIMED));
		this.ledger.runDueTask(clockReadingAt(Duration.ofSeconds(2)));
		assertThat(storedState()).isEqualTo(Optional.empty());
	}

	/** Fails if a sweep deletes a record too early, or one whose creator may yet send. */
	@Test
	void sweepDeletesOnlyOldSettledRecords() throws PeerException {
		this.store.create("a", CLAIM);
		this.store.create("b", SETTLED);
		assertThat(this.ledger.sweep("", RETENTION.toMillis())).isEqualTo(0);
		assertThat(this.ledger.sweep("", RETENTION.toMillis() + 1)).isEqualTo(1);
		assertThat(this.store.findRecord("a").isPresent()).isTrue();
	}

	/** Fails if two teams share a record, or a changed request gets the same digest. */
	@Test
	void namesAndDigestsDistinguishCalls() {
		assertThat(IntentLedger.recordName("ab", "c")).isNotEqualTo(IntentLedger.recordName("a", "bc"));
		ServiceCall call = new ServiceCall("t", "s", "POST", "/p", "", "", new byte[] { 1 }, Optional.of("k"));
		ServiceCall changed = new ServiceCall("t", "s", "POST", "/p", "", "", new byte[] { 2 }, Optional.of("k"));
		assertThat(IntentLedger.requestDigest(call)).isNotEqualTo(IntentLedger.requestDigest(changed));
	}

	private Optional<IntentRecord.State> storedState() {
		return this.store.findRecord("name").map((stored) -> stored.intent().state());
	}

	private static AtMostOnceProtocol.ClockReading clockReadingAt(Duration elapsed) {
		return new AtMostOnceProtocol.ClockReading(elapsed.toNanos(), elapsed.toMillis());
	}

}
