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
 * Guards the mapping of the store's faults and the background work on records.
 */
class IntentLedgerTest {

	private static final Duration RETENTION = Duration.ofHours(1);

	private static final IntentRecord CLAIM = IntentRecord.claimed("token", "digest", 0);

	private static final IntentRecord SETTLED = CLAIM.settled(CallOutcome.unknown("lost"), 0, 10);

	private final AtomicReference<FakeIntentStore.Fault> fault = new AtomicReference<>(FakeIntentStore.Fault.NONE);

	private final FakeIntentStore store = new FakeIntentStore(this.fault::get);

	private final IntentLedger ledger = new IntentLedger(this.store, RETENTION);

	/** Fails if a fault of the store is taken for more or less certain than it is. */
	@ParameterizedTest
	@CsvSource({ "create, NONE, Written, true", "create, DOWN, Unavailable, false",
			"create, ANSWER_LOST, WriteLost, true", "create, REQUEST_LOST, WriteLost, false",
			"create again, NONE, Refused, true", "read, NONE, Found, true", "read, DOWN, Unavailable, true",
			"read, ANSWER_LOST, Unavailable, true", "settle, NONE, Written, true", "settle, DOWN, Unavailable, true",
			"settle, ANSWER_LOST, WriteLost, true", "settle old version, NONE, Refused, true",
			"release, NONE, Written, false", "release, DOWN, Unavailable, true",
			"release, ANSWER_LOST, WriteLost, false", "release old version, NONE, Refused, true" })
	void faultsBecomeEvents(String action, FakeIntentStore.Fault found, String event, boolean stored)
			throws PeerException {
		long version = action.equals("create") ? 0 : this.store.create("name", CLAIM).getAsLong();
		this.fault.set(found);
		CallAction performed = switch (action) {
			case "create", "create again" -> new CallAction.Create("name", CLAIM);
			case "read" -> new CallAction.Read("name");
			case "settle" -> new CallAction.Settle("name", SETTLED, version);
			case "settle old version" -> new CallAction.Settle("name", SETTLED, version - 1);
			case "release" -> new CallAction.Release("name", version);
			default -> new CallAction.Release("name", version - 1);
		};
		assertThat(this.ledger.perform(performed).getClass().getSimpleName()).isEqualTo(event);
		assertThat(this.store.stored("name").isPresent()).isEqualTo(stored);
	}

	/** Fails if an outcome that could not be recorded is forgotten, or kept for ever. */
	@Test
	void outcomeIsRecordedAfterOutageAndExpires() throws PeerException {
		long version = this.store.create("name", CLAIM).getAsLong();
		this.ledger.defer(new IntentTask.Settle("name", SETTLED, version), 0);
		this.fault.set(FakeIntentStore.Fault.DOWN);
		assertThat(this.ledger.maintain(at(Duration.ofSeconds(1)))).isTrue();
		assertThat(state()).isEqualTo(Optional.of(IntentRecord.State.CLAIMED));
		this.fault.set(FakeIntentStore.Fault.NONE);
		assertThat(this.ledger.maintain(at(Duration.ofSeconds(2)))).isTrue();
		assertThat(state()).isEqualTo(Optional.of(IntentRecord.State.UNKNOWN));
		assertThat(this.ledger.maintain(at(RETENTION))).isFalse();
		assertThat(this.ledger.maintain(at(RETENTION.plusSeconds(2)))).isTrue();
		assertThat(state()).isEqualTo(Optional.empty());
	}

	/** Fails if giving up one attempt deletes the record of another. */
	@Test
	void onlyOwnRecordIsAbandoned() throws PeerException {
		this.store.create("name", CLAIM);
		this.ledger.defer(new IntentTask.Abandon("name", "other"), 0);
		this.ledger.defer(new IntentTask.Abandon("name", "token"), Duration.ofSeconds(1).toNanos());
		this.ledger.maintain(at(Duration.ofSeconds(1)));
		assertThat(state()).isEqualTo(Optional.of(IntentRecord.State.CLAIMED));
		this.ledger.maintain(at(Duration.ofSeconds(2)));
		assertThat(state()).isEqualTo(Optional.empty());
	}

	/** Fails if a sweep deletes a record too early, or one whose creator may yet send. */
	@Test
	void sweepDeletesOnlyOldSettledRecords() throws PeerException {
		this.store.create("a", CLAIM);
		this.store.create("b", SETTLED);
		assertThat(this.ledger.sweep("", RETENTION.toMillis())).isEqualTo(0);
		assertThat(this.ledger.sweep("", RETENTION.toMillis() + 1)).isEqualTo(1);
		assertThat(this.store.stored("a").isPresent()).isTrue();
	}

	/** Fails if two teams share a key, or a changed request passes for the same one. */
	@Test
	void namesAndDigestsTellCallsApart() {
		assertThat(IntentLedger.name("ab", "c")).isNotEqualTo(IntentLedger.name("a", "bc"));
		ServiceCall call = new ServiceCall("t", "s", "POST", "/p", "", "", new byte[] { 1 }, Optional.of("k"));
		ServiceCall changed = new ServiceCall("t", "s", "POST", "/p", "", "", new byte[] { 2 }, Optional.of("k"));
		assertThat(IntentLedger.digest(call)).isNotEqualTo(IntentLedger.digest(changed));
	}

	private Optional<IntentRecord.State> state() {
		return this.store.stored("name").map((found) -> found.intent().state());
	}

	private static CallProtocol.Now at(Duration time) {
		return new CallProtocol.Now(time.toNanos(), time.toMillis());
	}

}
