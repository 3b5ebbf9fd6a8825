package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mulberrycross.Address;
import org.mulberrycross.UpstreamInstance;
import org.mulberrycross.caller.RouteKind;
import org.mulberrycross.caller.RouteRule;
import org.mulberrycross.caller.WeightedService;
import org.mulberrycross.engine.RateLimit;
import org.mulberrycross.sibling.Sibling;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a fleet of daemons that together send an upstream more requests than its
 * limit, or far fewer. Runs the daemons on a simulated clock and network.
 */
class LimitSharingTest {

	private static final long NANOS_PER_MILLI = Duration.ofMillis(1).toNanos();

	private static final int STEP_MILLIS = 20;

	private static final int DAEMONS_PER_BUSY_ONE = 5;

	/** Part of a limit that the busy daemons use if it is divided equally. */
	private static final double FIXED_DIVISION_USE = 1.0 / DAEMONS_PER_BUSY_ONE;

	/** Daemons must keep the limit from this time on after they have learned of it. */
	private static final int CONTACT_MILLIS = 3000;

	private static final UpstreamInstance UPSTREAM = new UpstreamInstance("u", "plain", new Address("10.0.0.9", 80),
			"dc", false, 8, 1);

	private static final RouteRule RULE = new RouteRule("route", "host", "/", RouteKind.IDEMPOTENT,
			Duration.ofSeconds(9), Duration.ofSeconds(1), 3, 0, false, true, List.of(new WeightedService("plain", 1)));

	private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>(Comparator.comparing(Delivery::atMillis));

	private final List<Daemon> daemons = new ArrayList<>();

	private final List<Integer> sentMillis = new ArrayList<>();

	private SplittableRandom random;

	private double limit;

	private int nowMillis = 1;

	private void startFleet(int daemonCount, double requestsPerSecond, long seed) {
		this.random = new SplittableRandom(seed);
		this.limit = requestsPerSecond;
		for (int i = 0; i < daemonCount; i++) {
			this.daemons.add(new Daemon(i));
		}
		this.daemons.forEach(Daemon::list);
		run(6000, 0);
		this.daemons.forEach(Daemon::learn);
	}

	// Runs the fleet while each daemon gets requests at a rate.
	private void run(int millis, double requestsPerDaemonAndSecond) {
		int endMillis = this.nowMillis + millis;
		while (this.nowMillis < endMillis) {
			this.nowMillis += STEP_MILLIS;
			while (!this.deliveries.isEmpty() && this.deliveries.peek().atMillis <= this.nowMillis) {
				this.deliveries.remove().action.run();
			}
			this.daemons.forEach((daemon) -> daemon.step(requestsPerDaemonAndSecond * STEP_MILLIS / 1000));
		}
	}

	private int mostWithinFourSeconds() {
		int most = 0;
		int first = 0;
		for (int last = 0; last < this.sentMillis.size(); last++) {
			while (this.sentMillis.get(last) - this.sentMillis.get(first) >= 4000) {
				first++;
			}
			most = Math.max(most, last - first + 1);
		}
		return most;
	}

	private void assertLimitIsKept() {
		assertThat((double) mostWithinFourSeconds()).isAtMost(1.5 * 4 * this.limit + 5);
	}

	/**
	 * Fails if a fleet without faults exceeds the limit, or if daemons with requests
	 * cannot use what those without leave: of a fixed division, a fifth of the daemons
	 * uses a fifth.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 5", "5, 11.6", "5, 1", "5, 0.3", "38, 11.6", "38, 1.2", "61, 30", "61, 2" })
	void fewDaemonsUseLimitOfAllAndKeepIt(int daemonCount, double requestsPerSecond) {
		startFleet(daemonCount, requestsPerSecond, 1);
		int busy = Math.max(1, daemonCount / DAEMONS_PER_BUSY_ONE);
		this.daemons.subList(busy, daemonCount).forEach(Daemon::becomeIdle);
		run(10_000, 3 * requestsPerSecond / busy);
		this.sentMillis.clear();
		run(60_000, 3 * requestsPerSecond / busy);
		assertThat((double) mostWithinFourSeconds()).isAtMost(1.25 * 4 * requestsPerSecond + 5);
		assertThat((double) this.sentMillis.size()).isAtLeast(2 * FIXED_DIVISION_USE * 60 * requestsPerSecond);
	}

	/**
	 * Fails if silent, restarted or partitioned daemons, or two owners at a time, let the
	 * fleet exceed the limit.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 5, 11.6", "2, 5, 1", "3, 5, 40", "4, 8, 6", "5, 20, 11.6", "6, 20, 1.5", "7, 38, 11.6", "8, 38, 3",
			"9, 61, 20", "10, 13, 2.2" })
	void fleetKeepsLimitWhenDaemonsFail(long seed, int daemonCount, double requestsPerSecond) {
		startFleet(daemonCount, requestsPerSecond, seed);
		double rate = 3 * requestsPerSecond / daemonCount;
		run(CONTACT_MILLIS, rate);
		this.sentMillis.clear();
		for (int fault = 0; fault < 25; fault++) {
			Daemon daemon = this.daemons.get(this.random.nextInt(daemonCount));
			switch (this.random.nextInt(4)) {
				case 0 -> daemon.restart();
				case 1 -> daemon.moveTo(1);
				case 2 -> this.daemons.forEach((other) -> other.moveTo(this.random.nextInt(3)));
				default -> this.daemons.forEach((other) -> other.moveTo(0));
			}
			run(500 + this.random.nextInt(7000), rate);
		}
		assertLimitIsKept();
	}

	/**
	 * Fails if a daemon without siblings, or one that none of them answers, gets nothing
	 * through, so that it never learns that the limit is over.
	 */
	@Test
	void isolatedDaemonsUseTheirParts() {
		startFleet(4, 2, 1);
		for (int i = 0; i < 4; i++) {
			this.daemons.get(i).moveTo(i);
		}
		run(30_000, 2);
		this.sentMillis.clear();
		run(30_000, 2);
		assertThat(this.sentMillis.size()).isAtLeast(30);
		assertLimitIsKept();
	}

	/**
	 * Fails if daemons save up what they do not use, and spend it together when requests
	 * return after a quiet time.
	 */
	@ParameterizedTest
	@CsvSource({ "5, 1, 20", "20, 1, 300", "20, 2, 20", "38, 1, 300", "38, 2, 20", "38, 5, 20", "61, 1, 300",
			"61, 2, 20", "61, 5, 300", "61, 11.6, 20" })
	void fleetKeepsLimitAfterQuietTime(int daemonCount, double requestsPerSecond, int quietSeconds) {
		startFleet(daemonCount, requestsPerSecond, 3);
		run(quietSeconds * 1000, 0);
		run(12_000, 2);
		assertLimitIsKept();
	}

	/** The same while no daemon hears of another. */
	@ParameterizedTest
	@CsvSource({ "38, 0.5", "38, 2", "61, 5", "61, 11.6" })
	void isolatedDaemonsKeepLimitAfterQuietTime(int daemonCount, double requestsPerSecond) {
		startFleet(daemonCount, requestsPerSecond, 3);
		for (int i = 0; i < daemonCount; i++) {
			this.daemons.get(i).moveTo(i);
		}
		run(60_000, 0);
		run(20_000, 2);
		assertLimitIsKept();
	}

	private static Address address(int index) {
		return new Address("10.0.0.1", 1000 + index);
	}

	/** A message that arrives at a time. */
	private record Delivery(int atMillis, Runnable action) {

	}

	/** One daemon, with the side of the partition that it is on. */
	private final class Daemon {

		private final int index;

		private int side;

		private boolean busy = true;

		private int start;

		private UpstreamLimits limits;

		private LimitSharing sharing;

		Daemon(int index) {
			this.index = index;
			restart();
		}

		void moveTo(int sideOfPartition) {
			this.side = sideOfPartition;
		}

		void becomeIdle() {
			this.busy = false;
		}

		void restart() {
			this.start++;
			this.limits = new UpstreamLimits(LimitSharingTest.this.daemons.size(),
					new RelayMetrics(new MetricRegistry()), LimitSharingTest.this.random.split());
			this.sharing = new LimitSharing(sibling(), this.limits, (address, request, onReply, onFailure) -> {
				Daemon target = LimitSharingTest.this.daemons.get(address.port() - 1000);
				int sentFrom = this.start;
				boolean[] answered = { false };
				send(target, () -> {
					var reply = target.sharing.answer(request);
					target.send(this, () -> {
						answered[0] = true;
						if (this.start == sentFrom) {
							onReply.accept(reply);
						}
					});
				});
				deliver(400, () -> {
					if (!answered[0] && this.start == sentFrom) {
						answered[0] = true;
						onFailure.run();
					}
				});
			}, () -> LimitSharingTest.this.nowMillis * NANOS_PER_MILLI, LimitSharingTest.this.random.split());
			list();
			learn();
		}

		private Sibling sibling() {
			return new Sibling("d" + this.index, address(this.index), "dc", this.start);
		}

		void list() {
			this.limits.updateDaemonCount(LimitSharingTest.this.daemons.size());
			this.sharing.update(LimitSharingTest.this.daemons.stream().map(Daemon::sibling).toList());
		}

		void learn() {
			this.limits.record(UPSTREAM,
					new UpstreamResponseHead(Optional.empty(), true, false, false, Optional.empty(), false, false,
							Optional.empty(), Optional.of(new RateLimit(LimitSharingTest.this.limit)), false),
					LimitSharingTest.this.nowMillis * NANOS_PER_MILLI);
		}

		// Most messages arrive soon, some late, some never.
		private void send(Daemon target, Runnable action) {
			if (target.side == this.side && LimitSharingTest.this.random.nextInt(200) > 0) {
				deliver((LimitSharingTest.this.random.nextInt(50) > 0) ? 10 : 300, action);
			}
		}

		private void deliver(int delayMillis, Runnable action) {
			LimitSharingTest.this.deliveries.add(new Delivery(LimitSharingTest.this.nowMillis + delayMillis, action));
		}

		void step(double expectedRequests) {
			long nowNanos = LimitSharingTest.this.nowMillis * NANOS_PER_MILLI;
			this.limits.check((id) -> true, nowNanos);
			if (LimitSharingTest.this.nowMillis % 100 < STEP_MILLIS) {
				this.sharing.exchangeShares();
			}
			if (LimitSharingTest.this.nowMillis % 1000 < STEP_MILLIS) {
				this.sharing.updateMembership();
			}
			if (!this.busy || LimitSharingTest.this.random.nextDouble() >= expectedRequests) {
				return;
			}
			this.limits.recordDemand(RULE, nowNanos);
			if (this.limits.restrict(new DirectoryEntry(UPSTREAM, Optional.empty()), nowNanos).isPresent()) {
				this.limits.recordSent(UPSTREAM, nowNanos);
				LimitSharingTest.this.sentMillis.add(LimitSharingTest.this.nowMillis);
			}
		}

	}

}
