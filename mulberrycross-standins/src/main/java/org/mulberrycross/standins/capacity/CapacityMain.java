package org.mulberrycross.standins.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import org.mulberrycross.PeerException;
import org.mulberrycross.standins.CommandLines;

/**
 * Measures the cost per daemon of membership, gossip and limit shares in simulated fleets
 * of several sizes, and extrapolates it to the target fleet size by linear least squares.
 */
public final class CapacityMain {

	private static final int[] FLEET_SIZES = { 20, 50, 100, 200 };

	private static final int TARGET_DAEMONS = 330;

	private static final int TARGET_ENGINES = 880;

	private static final int TARGET_TEAMS = 20_000;

	private static final double REQUESTS_PER_DAEMON_SECOND = 9_700.0 / TARGET_DAEMONS;

	/**
	 * A request has 206 tokens on average (2 million tokens per second over 9,700
	 * requests per second), each at most 67 ms apart.
	 */
	private static final double MEAN_REQUEST_SECONDS = 206 * 0.067;

	/**
	 * Maximum number of concurrent requests of a team: three times the mean, so that
	 * limits are rarely reached.
	 */
	private static final int TEAM_LIMIT = 20;

	/**
	 * Assumed size of the HTTP headers of one message. The client and the server of this
	 * project send 75 to 125 bytes.
	 */
	private static final int HEADER_BYTES = 120;

	private CapacityMain() {
	}

	/**
	 * Runs the measurement and prints a row per fleet size and a fitted line per metric.
	 * @param arguments see the options
	 * @throws PeerException if a message cannot be decoded, which would be a bug
	 */
	public static void main(String[] arguments) throws PeerException {
		CommandLine line = CommandLines.parse(new Options()
			.addOption(null, "warm-up", true, "simulated seconds before the measurement")
			.addOption(null, "seconds", true, "simulated seconds of the measurement")
			.addOption(null, "daemons-per-team", true, "maximum number of daemons that receive requests of one team"),
				arguments);
		int warmUpSeconds = CommandLines.intOption(line, "warm-up", 40);
		int seconds = CommandLines.intOption(line, "seconds", 20);
		int daemonsPerTeam = CommandLines.intOption(line, "daemons-per-team", Integer.MAX_VALUE);
		System.out.println("daemons cpu% heap_KB gossip_B/s gossip_msg/s share_B/s share_msg/s with_headers_B/s"
				+ " admitted/s arrived/s leaving_s generation_s");
		List<FleetSimulation.Result> results = new ArrayList<>();
		for (int daemons : FLEET_SIZES) {
			long heapBytesBefore = FleetSimulation.usedHeapBytes();
			FleetSimulation simulation = new FleetSimulation(daemons,
					new FleetSimulation.Workload(daemons * TARGET_ENGINES / TARGET_DAEMONS,
							daemons * TARGET_TEAMS / TARGET_DAEMONS, REQUESTS_PER_DAEMON_SECOND, MEAN_REQUEST_SECONDS,
							TEAM_LIMIT, daemonsPerTeam));
			FleetSimulation.Result result = simulation.measure(warmUpSeconds, seconds, heapBytesBefore);
			results.add(result);
			System.out.println(formatRow(result));
		}
		printFit("cpu%", results, (result) -> 100 * result.cpuFraction());
		printFit("heap_KB", results, (result) -> result.heapBytes() / 1024.0);
		printFit("gossip_B/s", results, CapacityMain::gossipBytesWithHeaders);
		printFit("share_B/s", results, CapacityMain::shareBytesWithHeaders);
		printFit("all_B/s", results, (result) -> gossipBytesWithHeaders(result) + shareBytesWithHeaders(result));
		printFit("share_msg/request", results, (result) -> result.shareMessages() / 2 / result.admitted());
	}

	private static double gossipBytesWithHeaders(FleetSimulation.Result result) {
		return result.gossipBytes() + HEADER_BYTES * result.gossipMessages();
	}

	private static double shareBytesWithHeaders(FleetSimulation.Result result) {
		return result.shareBytes() + HEADER_BYTES * result.shareMessages();
	}

	private static String formatRow(FleetSimulation.Result result) {
		return String.format(Locale.ROOT, "%d %.3f %d %.0f %.1f %.0f %.1f %.0f %.1f %.1f %.1f %.1f", result.daemons(),
				100 * result.cpuFraction(), result.heapBytes() / 1024, result.gossipBytes(), result.gossipMessages(),
				result.shareBytes(), result.shareMessages(),
				gossipBytesWithHeaders(result) + shareBytesWithHeaders(result), result.admitted(), result.arrived(),
				result.leavingTicks() / 10.0, result.generationTicks() / 10.0);
	}

	private static void printFit(String name, List<FleetSimulation.Result> results,
			ToDoubleFunction<FleetSimulation.Result> metric) {
		double meanX = results.stream().mapToDouble(FleetSimulation.Result::daemons).average().orElseThrow();
		double meanY = results.stream().mapToDouble(metric).average().orElseThrow();
		double productSum = results.stream()
			.mapToDouble((result) -> (result.daemons() - meanX) * (metric.applyAsDouble(result) - meanY))
			.sum();
		double squareSum = results.stream().mapToDouble((result) -> Math.pow(result.daemons() - meanX, 2)).sum();
		double slope = productSum / squareSum;
		System.out.println(String.format(Locale.ROOT, "fit %s = %.4f + %.6f * daemons; at %d: %.3f", name,
				meanY - slope * meanX, slope, TARGET_DAEMONS, meanY + slope * (TARGET_DAEMONS - meanX)));
	}

}
