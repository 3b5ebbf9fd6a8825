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
 * Compares three designs for the concurrency limits of teams: shares that daemons lease
 * from each other, central slot counts in the object API that are changed by conditional
 * updates, and a static equal split among the daemons without messages.
 */
public final class TeamLimitMain {

	/** Duration of an object API call, from reading a slot count to replacing it. */
	private static final double API_CALL_SECONDS = 0.005;

	/** 206 tokens on average, each at most 67 ms apart. */
	private static final double MEAN_REQUEST_SECONDS = 206 * 0.067;

	private static final int MEASURED_SECONDS = 100;

	private static final int WARM_UP_SECONDS = 40;

	private TeamLimitMain() {
	}

	/**
	 * Runs the comparison and prints one row per case and design.
	 * @param arguments none
	 * @throws PeerException if a message cannot be decoded, which would be a bug
	 */
	public static void main(String[] arguments) throws PeerException {
		System.out.println("case way messages/request reads/request writes/request admitted%");
		compare("today-free", 5, 10, 60, 7);
		compare("today-full", 5, 10, 60, 20);
		compare("50-daemons", 50, 3030, 20, 29.4);
	}

	private static void compare(String caseName, int daemons, int teams, int limit, double requestsPerSecond)
			throws PeerException {
		FleetSimulation.Result leased = new FleetSimulation(daemons, new FleetSimulation.Workload(daemons * 8 / 3,
				teams, requestsPerSecond, MEAN_REQUEST_SECONDS, limit, Integer.MAX_VALUE))
			.measure(WARM_UP_SECONDS, MEASURED_SECONDS, 0);
		printRow(caseName, "leased", leased.shareMessages() / 2 / leased.admitted(), 0, 0,
				100 * leased.admitted() / leased.arrived());
		double totalRequestsPerSecond = daemons * requestsPerSecond;
		simulateCentralSlots(caseName, teams, limit, totalRequestsPerSecond);
		simulateEqualSplit(caseName, daemons, teams, limit, totalRequestsPerSecond);
	}

	private static void simulateCentralSlots(String caseName, int teams, int limit, double requestsPerSecond)
			throws NotRunException {
		Random random = new Random(1);
		ObjectTable table = new ObjectTable();
		for (int team = 0; team < teams; team++) {
			table.create("slots/" + team, "0".getBytes(StandardCharsets.UTF_8));
		}
		// Entries are {end time in seconds, team}.
		PriorityQueue<double[]> running = new PriorityQueue<>(Comparator.comparingDouble((double[] entry) -> entry[0]));
		// Entries are {team, change of its slot count}.
		List<int[]> changes = new ArrayList<>();
		// Number of arrived requests, admitted requests, reads and writes, in this order.
		long[] counts = new long[4];
		for (double nowSeconds = 0; nowSeconds < WARM_UP_SECONDS + MEASURED_SECONDS; nowSeconds += API_CALL_SECONDS) {
			while (!running.isEmpty() && running.peek()[0] <= nowSeconds) {
				changes.add(new int[] { (int) running.remove()[1], -1 });
			}
			for (int i = sampleArrivals(random, requestsPerSecond * API_CALL_SECONDS); i > 0; i--) {
				changes.add(new int[] { random.nextInt(teams), 1 });
				counts[0] += countAfterWarmUp(nowSeconds);
			}
			// All callers read before any of them replaces, as with concurrent calls.
			Collections.shuffle(changes, random);
			List<StoredObject> slotCounts = changes.stream()
				.map((change) -> table.read("slots/" + change[0]).orElseThrow())
				.toList();
			List<int[]> retries = new ArrayList<>();
			for (int i = 0; i < changes.size(); i++) {
				int[] change = changes.get(i);
				counts[2] += countAfterWarmUp(nowSeconds);
				int usedSlots = Integer.parseInt(new String(slotCounts.get(i).value(), StandardCharsets.UTF_8))
						+ change[1];
				if (usedSlots > limit) {
					continue;
				}
				counts[3] += countAfterWarmUp(nowSeconds);
				if (table
					.replace(slotCounts.get(i).key(), Integer.toString(usedSlots).getBytes(StandardCharsets.UTF_8),
							slotCounts.get(i).version())
					.isEmpty()) {
					retries.add(change);
				}
				else if (change[1] > 0) {
					counts[1] += countAfterWarmUp(nowSeconds);
					running.add(new double[] { nowSeconds + sampleRequestSeconds(random), change[0] });
				}
			}
			changes = retries;
		}
		double admitted = counts[1];
		printRow(caseName, "central", 2 * (counts[2] + counts[3]) / admitted, counts[2] / admitted,
				counts[3] / admitted, 100 * admitted / counts[0]);
	}

	private static void simulateEqualSplit(String caseName, int daemons, int teams, int limit,
			double requestsPerSecond) {
		Random random = new Random(1);
		int[][] usedSlots = new int[daemons][teams];
		// Entries are {end time in seconds, daemon, team}.
		PriorityQueue<double[]> running = new PriorityQueue<>(Comparator.comparingDouble((double[] entry) -> entry[0]));
		long arrived = 0;
		long admitted = 0;
		for (double nowSeconds = 0; nowSeconds < WARM_UP_SECONDS + MEASURED_SECONDS; nowSeconds += API_CALL_SECONDS) {
			while (!running.isEmpty() && running.peek()[0] <= nowSeconds) {
				double[] completed = running.remove();
				usedSlots[(int) completed[1]][(int) completed[2]]--;
			}
			for (int i = sampleArrivals(random, requestsPerSecond * API_CALL_SECONDS); i > 0; i--) {
				int daemon = random.nextInt(daemons);
				int team = random.nextInt(teams);
				arrived += countAfterWarmUp(nowSeconds);
				if (usedSlots[daemon][team] < limit / daemons) {
					usedSlots[daemon][team]++;
					admitted += countAfterWarmUp(nowSeconds);
					running.add(new double[] { nowSeconds + sampleRequestSeconds(random), daemon, team });
				}
			}
		}
		printRow(caseName, "split", 0, 0, 0, 100.0 * admitted / arrived);
	}

	// Returns the increment of a counter: 0 during the warm-up and 1 after it.
	private static int countAfterWarmUp(double nowSeconds) {
		return (nowSeconds >= WARM_UP_SECONDS) ? 1 : 0;
	}

	private static int sampleArrivals(Random random, double expectedCount) {
		return (int) expectedCount + ((random.nextDouble() < expectedCount % 1) ? 1 : 0);
	}

	private static double sampleRequestSeconds(Random random) {
		return -Math.log(1 - random.nextDouble()) * MEAN_REQUEST_SECONDS;
	}

	private static void printRow(String caseName, String design, double messagesPerRequest, double readsPerRequest,
			double writesPerRequest, double admittedPercent) {
		System.out.println(String.format(Locale.ROOT, "%s %s %.2f %.2f %.2f %.1f", caseName, design, messagesPerRequest,
				readsPerRequest, writesPerRequest, admittedPercent));
	}

}
