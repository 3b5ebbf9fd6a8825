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

	private static WorkTotal total(int daemons, Duration age) {
		return new WorkTotal(daemons, age, ExchangeBudget.MIN_PERIOD, Map.of("engine", new ReportedWork(30, 20, 0)));
	}

	private double requests(String engineId, long nowNanos) {
		return this.load.at(engineId, OWN, nowNanos).requests();
	}

	@Test
	void silenceFallsBackToTheEstimateFromOwnWork() {
		assertThat(this.load.at("engine", OWN, 0)).isEqualTo(OWN.times(10));
		this.load.update(total(9, Duration.ZERO), 0);
		assertThat(requests("engine", EXPIRY)).isGreaterThan(20);
		assertThat(this.load.at("engine", OWN, EXPIRY + 1)).isEqualTo(OWN.times(10));
		assertThat(this.load.coveredDaemons(EXPIRY + 1)).isEqualTo(1);
		assertThat(this.load.age(EXPIRY + 1)).isEmpty();
	}

	@Test
	void olderFiguresOfAllCountLessThanTheEstimate() {
		this.load.update(total(9, Duration.ZERO), 0);
		assertThat(requests("engine", 0)).isEqualTo(32);
		assertThat(requests("other", 0)).isEqualTo(2);
		this.load.update(total(9, FleetLoad.WORK_LIFETIME), 0);
		assertThat(requests("engine", 0)).isWithin(1e-9).of(32 / Math.E + 20 * (1 - 1 / Math.E));
		this.load.update(total(9, FleetLoad.WORK_LIFETIME.multipliedBy(30)), 0);
		assertThat(requests("engine", 0)).isWithin(1e-6).of(20);
	}

	@Test
	void newOwnWorkCountsAtOnce() {
		this.load.update(total(9, Duration.ZERO), 0);
		assertThat(this.load.at("engine", OWN.plus(OWN), 0).tokens()).isEqualTo(1200);
		assertThat(this.load.at("free", EngineWork.NONE, 0)).isEqualTo(EngineWork.NONE);
	}

	@Test
	void daemonsWithoutReportAreTakenForLikeTheOthers() {
		this.load.update(total(4, Duration.ZERO), 0);
		assertThat(requests("engine", 0)).isEqualTo(64);
		assertThat(this.load.coveredDaemons(0)).isEqualTo(5);
	}

	@Test
	void hubLostHalfwayLeavesTheLastFiguresUntilTheyExpire() {
		this.load.update(total(9, Duration.ZERO), 0);
		this.load.update(total(1, Duration.ZERO), EXPIRY / 2);
		assertThat(this.load.coveredDaemons(EXPIRY / 2)).isEqualTo(10);
		this.load.update(total(1, Duration.ZERO), EXPIRY + 1);
		assertThat(requests("engine", EXPIRY + 1)).isEqualTo(160);
	}

}
