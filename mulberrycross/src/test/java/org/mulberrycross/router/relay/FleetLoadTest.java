package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Map;

import org.junit.jupiter.api.Test;

import org.mulberrycross.engine.EngineWork;
import org.mulberrycross.sibling.ExchangeBudget;
import org.mulberrycross.sibling.ReportedWork;
import org.mulberrycross.sibling.WorkLedger;
import org.mulberrycross.sibling.WorkTotal;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against routing by the figures of daemons that are no longer heard.
 */
class FleetLoadTest {

	private static final EngineWork OWN = new EngineWork(2, 100, 50);

	private static final long EXPIRY = WorkLedger.EXPIRY_PERIODS * ExchangeBudget.MIN_PERIOD.toNanos();

	private final FleetLoad load = new FleetLoad(10);

	private static WorkTotal total(int daemons) {
		return new WorkTotal(daemons, Duration.ofMillis(300), ExchangeBudget.MIN_PERIOD,
				Map.of("engine", new ReportedWork(30, 20, 0)));
	}

	@Test
	void silenceFallsBackToTheEstimateFromOwnWork() {
		assertThat(this.load.at("engine", OWN, 0)).isEqualTo(OWN.times(10));
		this.load.update(total(9), 0);
		assertThat(this.load.at("engine", OWN, EXPIRY).requests()).isEqualTo(32);
		assertThat(this.load.at("engine", OWN, EXPIRY + 1)).isEqualTo(OWN.times(10));
		assertThat(this.load.coveredDaemons(EXPIRY + 1)).isEqualTo(1);
		assertThat(this.load.age(EXPIRY + 1)).isEmpty();
	}

	@Test
	void newOwnWorkCountsAtOnce() {
		this.load.update(total(9), 0);
		assertThat(this.load.at("engine", OWN.plus(OWN), 1).tokens()).isEqualTo(1200);
		assertThat(this.load.at("free", EngineWork.NONE, 1)).isEqualTo(EngineWork.NONE);
	}

	@Test
	void daemonsWithoutReportAreTakenForLikeTheOthers() {
		this.load.update(total(4), 0);
		assertThat(this.load.at("engine", OWN, 0).requests()).isEqualTo(64);
		assertThat(this.load.coveredDaemons(0)).isEqualTo(5);
	}

	@Test
	void hubLostHalfwayLeavesTheLastFiguresUntilTheyExpire() {
		this.load.update(total(9), 0);
		this.load.update(total(1), EXPIRY / 2);
		assertThat(this.load.at("engine", OWN, EXPIRY / 2).requests()).isEqualTo(32);
		this.load.update(total(1), EXPIRY + 1);
		assertThat(this.load.at("engine", OWN, EXPIRY + 1).requests()).isEqualTo(160);
	}

}
