package org.mulberrycross.engine;

import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.PeerException;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards that no layer is left out, repeated or run out of order for a token.
 */
class CoverageLedgerTest {

	private static final EngineLoad LOAD = new EngineLoad(0, 0, 1, 1000, false);

	private static final Stage FIRST = new Stage("e1", new Address("127.0.0.1", 1), new LayerRange(0, 4));

	private static final Stage SECOND = new Stage("e2", new Address("127.0.0.1", 2), new LayerRange(4, 8));

	private final CoverageLedger ledger = new CoverageLedger("s", "v1", 8);

	/** Fails if a regular position is refused. */
	@Test
	void acceptsEveryLayerInOrder() throws PeerException {
		this.ledger.begin(0, 3);
		this.ledger.accept(FIRST, reply(FIRST, "s", 1, 0, 3));
		this.ledger.accept(SECOND, reply(SECOND, "s", 1, 0, 3));
		this.ledger.finish();
		assertThat(this.ledger.position()).isEqualTo(3);
	}

	/** Fails if a stage can be skipped. */
	@Test
	void refusesSkippedLayers() {
		this.ledger.begin(0, 1);
		assertThrows(PeerException.class, () -> this.ledger.accept(SECOND, reply(SECOND, "s", 1, 0, 1)));
		assertThrows(IllegalStateException.class, this.ledger::finish);
	}

	/** Fails if a duplicate reply is counted twice. */
	@Test
	void refusesRepeatedReply() throws PeerException {
		this.ledger.begin(0, 1);
		this.ledger.accept(FIRST, reply(FIRST, "s", 1, 0, 1));
		assertThrows(PeerException.class, () -> this.ledger.accept(FIRST, reply(FIRST, "s", 1, 0, 1)));
	}

	/** Fails if a late reply of an abandoned attempt or of another stream is used. */
	@Test
	void refusesOtherAttemptStreamAndPosition() {
		this.ledger.nextAttempt();
		this.ledger.begin(0, 1);
		assertThrows(PeerException.class, () -> this.ledger.accept(FIRST, reply(FIRST, "s", 1, 0, 1)));
		assertThrows(PeerException.class, () -> this.ledger.accept(FIRST, reply(FIRST, "t", 2, 0, 1)));
		assertThrows(PeerException.class, () -> this.ledger.accept(FIRST, reply(FIRST, "s", 2, 1, 1)));
	}

	/** Fails if a position can be left out. */
	@Test
	void refusesGapBetweenPositions() {
		assertThrows(IllegalStateException.class, () -> this.ledger.begin(1, 1));
	}

	private static StepReply reply(Stage stage, String stream, int attempt, int position, int count) {
		return new StepReply(stream, attempt, "v1", stage.layers(), position, count,
				new long[(stage.layers().end() == 8) ? 1 : count], "", LOAD);
	}

}
