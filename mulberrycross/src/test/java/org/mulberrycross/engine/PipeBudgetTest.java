package org.mulberrycross.engine;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a narrow link between data centres that daemons fill together.
 */
class PipeBudgetTest {

	/** 26 kB a token over 4,100 Mbit/s, and a request of 915 tokens. */
	private static final PipeProfile PIPE = new PipeProfile(0.206, 4100, 0.25);

	private static final RequestTokens TOKENS = new RequestTokens(773, 142);

	/**
	 * Fails if 25 daemons that all want to cross occupy more than half of the link, or if
	 * hardly any request crosses.
	 */
	@Test
	void daemonsLeaveRoomOnSharedLink() {
		PipeBudget budget = new PipeBudget();
		double occupiedMillis = 0;
		for (int milli = 0; milli < 60_000; milli += 10) {
			long nowNanos = Duration.ofMillis(milli).toNanos();
			if (budget.hasRoom(25, nowNanos)) {
				budget.charge(PIPE.occupiedMillis(TOKENS), 25, nowNanos);
				occupiedMillis += PIPE.occupiedMillis(TOKENS);
			}
		}
		assertThat(25 * occupiedMillis / 60_000).isWithin(0.1).of(0.4);
	}

	/** Fails if the time of a crossing leaves out the transfer or the delay. */
	@Test
	void crossingTakesTransferAndDelays() {
		assertThat(PIPE.crossingMillis(TOKENS)).isWithin(0.1).of(45.97 + 35.75);
	}

}
