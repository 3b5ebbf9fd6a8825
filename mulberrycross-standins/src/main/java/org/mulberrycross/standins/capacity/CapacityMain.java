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
 * Measures what membership, gossip and limit shares cost one daemon in fleets of several
 * sizes, and extends the figures to the size to design for by least squares.
 */
public final class CapacityMain {

	private static final int[] FLEETS = { 20, 50, 100, 200 };

	private static final int DAEMONS = 330;

	private static final int ENGINES = 880;

	private static final int TEAMS = 20_000;

	private static final double REQUESTS_PER_SECOND = 9_700.0 / DAEMONS;

	/**
	 * A request has 206 tokens on average (2 million a second over 9,700 requests), each
	 * at most 67 ms apart.
	 */
	private static final double REQUEST_SECONDS = 206 * 0.067;

	/**
	 * Three times the mean of running requests per team, so that limits seldom bind.
	 */
	private static final int TEAM_LIMIT = 20;

	/**
	 * Bytes of the HTTP headers of one message, of which the client and the server of
	 * this project send 75 to 125.
	 */
	private static final int HEADER_BYTES = 120;

	private CapacityMain() {
	}

	/**
	 * Runs the measurement.
	 * @param arguments see the options
	 * @throws PeerException if a message cannot be decoded, which is a fault of the
	 * program
	 */
	public static void main(String[] arguments) throws PeerException {
		CommandLine line = CommandLines.parse(
				new Options().addOption(null, "warm-up", true, "seconds before measuring")
					.addOption(null, "seconds", true, "seconds to measure")
					.addOption(null, "daemons-per-team", true, "daemons that the requests of one team come to"),
				arguments);
		int warmUp = CommandLines.number(line, "warm-up", 40);
		int seconds = CommandLines.number(line, "seconds", 20);
		int daemonsPerTeam = CommandLines.number(line, "daemons-per-team", Integer.MAX_VALUE);
		System.out.println("daemons cpu% heap_KB gossip_B/s gossip_msg/s share_B/s share_msg/s with_headers_B/s"
				+ " admitted/s arrived/s leaving_s generation_s");
		List<CapacityRun.Result> results = new ArrayList<>();
		for (int daemons : FLEETS) {
			long heap = CapacityRun.heap();
			CapacityRun run = new CapacityRun(daemons, new CapacityRun.Load(daemons * ENGINES / DAEMONS,
					daemons * TEAMS / DAEMONS, REQUESTS_PER_SECOND, REQUEST_SECONDS, TEAM_LIMIT, daemonsPerTeam));
			CapacityRun.Result result = run.measure(warmUp, seconds, heap);
			results.add(result);
			System.out.println(row(result));
		}
		fit("cpu%", results, (result) -> 100 * result.cpuShare());
		fit("heap_KB", results, (result) -> result.heapBytes() / 1024.0);
		fit("gossip_B/s", results, CapacityMain::gossipBytes);
		fit("share_B/s", results, CapacityMain::shareBytes);
		fit("all_B/s", results, (result) -> gossipBytes(result) + shareBytes(result));
		fit("share_msg/request", results, (result) -> result.shareMessages() / 2 / result.admitted());
	}

	private static double gossipBytes(CapacityRun.Result result) {
		return result.gossipBytes() + HEADER_BYTES * result.gossipMessages();
	}

	private static double shareBytes(CapacityRun.Result result) {
		return result.shareBytes() + HEADER_BYTES * result.shareMessages();
	}

	private static String row(CapacityRun.Result result) {
		return String.format(Locale.ROOT, "%d %.3f %d %.0f %.1f %.0f %.1f %.0f %.1f %.1f %.1f %.1f", result.daemons(),
				100 * result.cpuShare(), result.heapBytes() / 1024, result.gossipBytes(), result.gossipMessages(),
				result.shareBytes(), result.shareMessages(), gossipBytes(result) + shareBytes(result),
				result.admitted(), result.arrived(), result.leavingTicks() / 10.0, result.generationTicks() / 10.0);
	}

	private static void fit(String name, List<CapacityRun.Result> results,
			ToDoubleFunction<CapacityRun.Result> figure) {
		double meanX = results.stream().mapToDouble(CapacityRun.Result::daemons).average().orElseThrow();
		double meanY = results.stream().mapToDouble(figure).average().orElseThrow();
		double products = results.stream()
			.mapToDouble((result) -> (result.daemons() - meanX) * (figure.applyAsDouble(result) - meanY))
			.sum();
		double squares = results.stream().mapToDouble((result) -> Math.pow(result.daemons() - meanX, 2)).sum();
		double slope = products / squares;
		System.out.println(String.format(Locale.ROOT, "fit %s = %.4f + %.6f * daemons; at %d: %.3f", name,
				meanY - slope * meanX, slope, DAEMONS, meanY + slope * (DAEMONS - meanX)));
	}

}
