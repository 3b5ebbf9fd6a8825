package org.mulberrycross.sibling;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against counting the work of a daemon twice, or that of one which is gone.
 */
class WorkLedgerTest {

	private static final long PERIOD = ExchangeBudget.MIN_PERIOD.toNanos();

	private static final long EXPIRY = WorkLedger.EXPIRY_PERIODS * PERIOD;

	private final WorkLedger ledger = new WorkLedger();

	private static WorkReport report(String sender, long incarnation, long sequence, int requests) {
		return new WorkReport(sender, incarnation, sequence, Map.of("engine", new ReportedWork(requests, 50, 0)));
	}

	private static double requests(WorkLedger.Summed summed) {
		return summed.total().work().getOrDefault("engine", ReportedWork.NONE).requests();
	}

	@Test
	void shareOfSilentDaemonExpires() {
		this.ledger.record(report("a", 1, 1, 2), 0);
		this.ledger.record(report("b", 1, 1, 3), PERIOD);
		assertThat(requests(this.ledger.local(EXPIRY))).isEqualTo(5);
		assertThat(requests(this.ledger.local(EXPIRY + 1))).isEqualTo(3);
		assertThat(this.ledger.local(EXPIRY + PERIOD + 1).total().daemons()).isEqualTo(0);
	}

	@Test
	void shorterPeriodDoesNotExpireReportsOfTheLongerOne() {
		this.ledger.updatePeriod(ExchangeBudget.MAX_PERIOD);
		this.ledger.record(report("a", 1, 1, 2), 0);
		this.ledger.updatePeriod(ExchangeBudget.MIN_PERIOD);
		assertThat(requests(this.ledger.local(EXPIRY + 1))).isEqualTo(2);
	}

	@Test
	void pausedDaemonThatWakesReplacesNothingNewer() {
		this.ledger.record(report("a", 2, 7, 2), 0);
		assertThat(this.ledger.record(report("a", 2, 6, 9), 1)).isFalse();
		assertThat(this.ledger.record(report("a", 1, 99, 9), 1)).isFalse();
		assertThat(requests(this.ledger.local(1))).isEqualTo(2);
	}

	@Test
	void oldFiguresOfDaemonThatWokeAgeOut() {
		this.ledger.record(report("a", 1, 1, 9), 10 * PERIOD);
		this.ledger.record(report("a", 1, 2, 1), 11 * PERIOD);
		assertThat(requests(this.ledger.local(11 * PERIOD))).isEqualTo(1);
	}

	@Test
	void restartedDaemonReplacesItsPredecessor() {
		this.ledger.record(report("a", 1, 50, 9), 0);
		assertThat(this.ledger.record(report("a", 2, 1, 0), 1)).isTrue();
		WorkLedger.Summed summed = this.ledger.local(1);
		assertThat(requests(summed)).isEqualTo(0);
		assertThat(summed.sequence("a", 1)).isEqualTo(OptionalLong.empty());
		assertThat(summed.sequence("a", 2)).isEqualTo(OptionalLong.of(1));
	}

	@Test
	void totalForOtherDataCentresContainsOnlyOwnMembers() {
		this.ledger.record(report("a", 1, 1, 2), 0);
		this.ledger.recordTotal("other", new WorkTotal(4, Duration.ofMillis(100), ExchangeBudget.MIN_PERIOD,
				Map.of("engine", new ReportedWork(7, 50, 0))), 0);
		assertThat(requests(this.ledger.local(0))).isEqualTo(2);
		WorkTotal fleet = this.ledger.fleet(PERIOD).total();
		assertThat(fleet.work().get("engine").requests()).isEqualTo(9);
		assertThat(fleet.daemons()).isEqualTo(5);
		assertThat(fleet.age()).isEqualTo(Duration.ofMillis(600));
		assertThat(this.ledger.fleet(EXPIRY + 1).total().daemons()).isEqualTo(0);
	}

	@Test
	void twoHubsEachCountOnlyTheirMembers() {
		WorkLedger second = new WorkLedger();
		this.ledger.record(report("a", 1, 1, 2), 0);
		second.record(report("a", 1, 2, 3), PERIOD);
		second.record(report("b", 1, 1, 4), PERIOD);
		assertThat(requests(this.ledger.local(EXPIRY + 1))).isEqualTo(0);
		assertThat(requests(second.local(EXPIRY + 1))).isEqualTo(7);
	}

	@Test
	void ownShareIsSubtractedAsReportedAfterLostReply() {
		OwnReports own = new OwnReports(new Sibling("a", new Address("10.0.0.1", 1), "dc", 1));
		WorkReport first = own.next(Map.of("engine", new ReportedWork(2, 24, 1)));
		own.next(Map.of("engine", new ReportedWork(8, 180, 0)));
		this.ledger.record(first, 0);
		this.ledger.record(report("b", 1, 1, 3), 0);
		WorkLedger.Summed summed = this.ledger.fleet(0);
		WorkClient.Reply reply = new WorkClient.Reply(summed.total(), summed.sequence("a", 1));
		WorkTotal others = own.others(reply).orElseThrow();
		assertThat(others.work()).containsExactly("engine", new ReportedWork(3, 50, 0));
		assertThat(others.daemons()).isEqualTo(1);
		for (int i = 0; i < OwnReports.MAX_REMEMBERED; i++) {
			own.next(Map.of());
		}
		assertThat(own.others(reply)).isEmpty();
	}

	@Test
	void periodGrowsWithTheBytesOfTheHub() {
		assertThat(ExchangeBudget.period(5, 500)).isEqualTo(ExchangeBudget.MIN_PERIOD);
		Duration period = ExchangeBudget.period(26, 800);
		assertThat(26 * 1000 / period.toSeconds()).isEqualTo(ExchangeBudget.MAX_BYTES_PER_SECOND);
		assertThat(ExchangeBudget.period(1000, 10_000)).isEqualTo(ExchangeBudget.MAX_PERIOD);
	}

}
