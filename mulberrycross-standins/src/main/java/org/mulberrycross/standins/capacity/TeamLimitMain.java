package org.mulberrycross.standins.capacity;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.Random;

import org.mulberrycross.NotRunException;
import org.mulberrycross.PeerException;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.standins.platform.ObjectTable;

/**
 * Compares three ways to enforce teams' limits: leased shares, slots in the object API
 * taken by a conditional update, and an equal split without messages.
 */
public final class TeamLimitMain {

	/**
	 * Time of a call to the object API, between reading a slot count and replacing it.
	 */
	private static final double CALL_SECONDS = 0.005;

	private static final double REQUEST_SECONDS = 206 * 0.067;

	private static final int SECONDS = 100;

	private static final int WARM_UP_SECONDS = 40;

	private TeamLimitMain() {
	}

	/**
	 * Runs the comparison.
	 * @param arguments none
	 * @throws PeerException if a message cannot be decoded, which is a fault of the
	 * program
	 */
	public static void main(String[] arguments) throws PeerException {
		System.out.println("case way messages/request reads/request writes/request admitted%");
		compare("today-free", 5, 10, 60, 7);
		compare("today-full", 5, 10, 60, 20);
		compare("50-daemons", 50, 3030, 20, 29.4);
	}

	private static void compare(String name, int daemons, int teams, int limit, double requestsPerSecond)
			throws PeerException {
		CapacityRun.Result leased = new CapacityRun(daemons, new CapacityRun.Load(daemons * 8 / 3, teams,
				requestsPerSecond, REQUEST_SECONDS, limit, Integer.MAX_VALUE))
			.measure(WARM_UP_SECONDS, SECONDS, 0);
		print(name, "leased", leased.shareMessages() / 2 / leased.admitted(), 0, 0,
				100 * leased.admitted() / leased.arrived());
		double rate = daemons * requestsPerSecond;
		central(name, teams, limit, rate);
		split(name, daemons, teams, limit, rate);
	}

	private static void central(String name, int teams, int limit, double rate) throws NotRunException {
		Random random = new Random(1);
		ObjectTable table = new ObjectTable();
		for (int team = 0; team < teams; team++) {
			table.create("slots/" + team, "0".getBytes(StandardCharsets.UTF_8));
		}
		PriorityQueue<double[]> running = new PriorityQueue<>(Comparator.comparingDouble((double[] entry) -> entry[0]));
		List<int[]> changes = new ArrayList<>();
		long[] counts = new long[4];
		for (double now = 0; now < WARM_UP_SECONDS + SECONDS; now += CALL_SECONDS) {
			while (!running.isEmpty() && running.peek()[0] <= now) {
				changes.add(new int[] { (int) running.remove()[1], -1 });
			}
			for (int i = arrivals(random, rate * CALL_SECONDS); i > 0; i--) {
				changes.add(new int[] { random.nextInt(teams), 1 });
				counts[0] += measured(now);
			}
			// Every caller reads before any of them replaces, as calls at the same time
			// do.
			Collections.shuffle(changes, random);
			List<StoredObject> seen = changes.stream()
				.map((change) -> table.read("slots/" + change[0]).orElseThrow())
				.toList();
			List<int[]> again = new ArrayList<>();
			for (int i = 0; i < changes.size(); i++) {
				int[] change = changes.get(i);
				counts[2] += measured(now);
				int used = Integer.parseInt(new String(seen.get(i).value(), StandardCharsets.UTF_8)) + change[1];
				if (used > limit) {
					continue;
				}
				counts[3] += measured(now);
				if (table
					.replace(seen.get(i).key(), Integer.toString(used).getBytes(StandardCharsets.UTF_8),
							seen.get(i).version())
					.isEmpty()) {
					again.add(change);
				}
				else if (change[1] > 0) {
					counts[1] += measured(now);
					running.add(new double[] { now + length(random), change[0] });
				}
			}
			changes = again;
		}
		double admitted = counts[1];
		print(name, "central", 2 * (counts[2] + counts[3]) / admitted, counts[2] / admitted, counts[3] / admitted,
				100 * admitted / counts[0]);
	}

	private static void split(String name, int daemons, int teams, int limit, double rate) {
		Random random = new Random(1);
		int[][] used = new int[daemons][teams];
		PriorityQueue<double[]> running = new PriorityQueue<>(Comparator.comparingDouble((double[] entry) -> entry[0]));
		long arrived = 0;
		long admitted = 0;
		for (double now = 0; now < WARM_UP_SECONDS + SECONDS; now += CALL_SECONDS) {
			while (!running.isEmpty() && running.peek()[0] <= now) {
				double[] ended = running.remove();
				used[(int) ended[1]][(int) ended[2]]--;
			}
			for (int i = arrivals(random, rate * CALL_SECONDS); i > 0; i--) {
				int daemon = random.nextInt(daemons);
				int team = random.nextInt(teams);
				arrived += measured(now);
				if (used[daemon][team] < limit / daemons) {
					used[daemon][team]++;
					admitted += measured(now);
					running.add(new double[] { now + length(random), daemon, team });
				}
			}
		}
		print(name, "split", 0, 0, 0, 100.0 * admitted / arrived);
	}

	private static int measured(double now) {
		return (now >= WARM_UP_SECONDS) ? 1 : 0;
	}

	private static int arrivals(Random random, double expected) {
		return (int) expected + ((random.nextDouble() < expected % 1) ? 1 : 0);
	}

	private static double length(Random random) {
		return -Math.log(1 - random.nextDouble()) * REQUEST_SECONDS;
	}

	private static void print(String name, String way, double messages, double reads, double writes, double admitted) {
		System.out.println(
				String.format(Locale.ROOT, "%s %s %.2f %.2f %.2f %.1f", name, way, messages, reads, writes, admitted));
	}

}
