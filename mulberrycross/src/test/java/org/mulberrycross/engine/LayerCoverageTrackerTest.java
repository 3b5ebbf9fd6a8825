package org.mulberrycross.engine;

import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.PeerException;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Verifies that no layer is skipped, repeated or run out of order for a position.
 */
class LayerCoverageTrackerTest {

	private static final EngineLoad LOAD = new EngineLoad(0, 0, 1, 1000, false);

	private static final Stage FIRST_STAGE = new Stage("e1", new Address("127.0.0.1", 1), new LayerRange(0, 4));

	private static final Stage SECOND_STAGE = new Stage("e2", new Address("127.0.0.1", 2), new LayerRange(4, 8));

	private final LayerCoverageTracker coverage = new LayerCoverageTracker("s", "v1", 8);

	/** Fails if replies that arrive in order are rejected. */
	@Test
	void acceptsEveryLayerInOrder() throws PeerException {
		this.coverage.beginPositions(0, 3);
		this.coverage.acceptReply(FIRST_STAGE, reply(FIRST_STAGE, "s", 1, 0, 3));
		this.coverage.acceptReply(SECOND_STAGE, reply(SECOND_STAGE, "s", 1, 0, 3));
		this.coverage.finishPositions();
		assertThat(this.coverage.position()).isEqualTo(3);
	}

	/** Fails if a stage can be skipped. */
	@Test
	void refusesSkippedLayers() {
		this.coverage.beginPositions(0, 1);
		assertThrows(PeerException.class,
				() -> this.coverage.acceptReply(SECOND_STAGE, reply(SECOND_STAGE, "s", 1, 0, 1)));
		assertThrows(IllegalStateException.class, this.coverage::finishPositions);
	}

	/** Fails if a duplicate reply is counted twice. */
	@Test
	void refusesRepeatedReply() throws PeerException {
		this.coverage.beginPositions(0, 1);
		this.coverage.acceptReply(FIRST_STAGE, reply(FIRST_STAGE, "s", 1, 0, 1));
		assertThrows(PeerException.class,
				() -> this.coverage.acceptReply(FIRST_STAGE, reply(FIRST_STAGE, "s", 1, 0, 1)));
	}

	/**
	 * Fails if a late reply of an earlier attempt, or a reply of another stream or
	 * position, is accepted.
	 */
	@Test
	void refusesOtherAttemptStreamAndPosition() {
		this.coverage.startNextAttempt();
		this.coverage.beginPositions(0, 1);
		assertThrows(PeerException.class,
				() -> this.coverage.acceptReply(FIRST_STAGE, reply(FIRST_STAGE, "s", 1, 0, 1)));
		assertThrows(PeerException.class,
				() -> this.coverage.acceptReply(FIRST_STAGE, reply(FIRST_STAGE, "t", 2, 0, 1)));
		assertThrows(PeerException.class,
				() -> this.coverage.acceptReply(FIRST_STAGE, reply(FIRST_STAGE, "s", 2, 1, 1)));
	}

	/** Fails if a position can be skipped. */
	@Test
	void refusesGapBetweenPositions() {
		assertThrows(IllegalStateException.class, () -> this.coverage.beginPositions(1, 1));
	}

	private static StepReply reply(Stage stage, String stream, int attempt, int position, int count) {
		return new StepReply(stream, attempt, "v1", stage.layers(), position, count,
				new long[(stage.layers().end() == 8) ? 1 : count], "", LOAD);
	}

}
