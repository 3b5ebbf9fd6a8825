package org.mulberrycross.standins.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * Statistics of a run. Not thread-safe: callers that add results and gaps from several
 * threads must hold one common lock.
 */
public final class LoadReport {

	/** Target for the time from the due time of a request to its first token. */
	private static final double FIRST_TOKEN_TARGET_MILLIS = 880;

	/** Target for the mean time between the tokens of a request. */
	private static final double BETWEEN_TOKENS_TARGET_MILLIS = 67;

	private static final double NANOS_PER_MILLI = 1e6;

	private static final double NANOS_PER_SECOND = 1e9;

	private final Map<RequestResult.Outcome, Integer> outcomes = new EnumMap<>(RequestResult.Outcome.class);

	private final LatencyStats shortRequests = new LatencyStats();

	private final LatencyStats longRequests = new LatencyStats();

	private final Map<String, Double> servedTokensByTeam = new TreeMap<>();

	private final Map<String, Double> requestedTokensByTeam = new TreeMap<>();

	private final Map<String, Integer> details = new TreeMap<>();

	private long servedTokens;

	/**
	 * Adds a request that has ended. Latencies and served tokens are counted only for
	 * correct answers.
	 * @param result the result, not null
	 */
	public void add(RequestResult result) {
		this.outcomes.merge(result.outcome(), 1, Integer::sum);
		this.requestedTokensByTeam.merge(result.request().team().name(), (double) result.request().maxTokens(),
				Double::sum);
		if (!result.detail().isEmpty()) {
			this.details.merge(result.detail(), 1, Integer::sum);
		}
		if (result.outcome() != RequestResult.Outcome.WHOLE) {
			return;
		}
		this.servedTokens += result.tokens();
		this.servedTokensByTeam.merge(result.request().team().name(), (double) result.tokens(), Double::sum);
		latencyStats(result.request().longRequest()).add(result);
	}

	/**
	 * Adds the time between two consecutive tokens of an answer.
	 * @param longRequest whether the answer belongs to a long request
	 * @param nanos the time in nanoseconds; a negative one counts as 0
	 */
	public void addGap(boolean longRequest, long nanos) {
		latencyStats(longRequest).gaps.recordValue(Math.max(0, nanos));
	}

	private LatencyStats latencyStats(boolean longRequest) {
		return longRequest ? this.longRequests : this.shortRequests;
	}

	/**
	 * Returns the statistics as a map that can be encoded as JSON.
	 * @param seconds the duration of the run
	 * @return the statistics by their JSON names
	 */
	public Map<String, Object> summary(double seconds) {
		Map<String, Object> summary = new TreeMap<>();
		summary.put("seconds", seconds);
		summary.put("outcomes", this.outcomes);
		summary.put("tokens_per_second", this.servedTokens / seconds);
		summary.put("short", this.shortRequests.summary());
		summary.put("long", this.longRequests.summary());
		summary.put("jain_index_over_teams", jainIndex());
		summary.put("details", this.details);
		return summary;
	}

	/**
	 * Returns the number of requests that ended with an outcome.
	 * @param outcome the outcome, not null
	 * @return the number of requests
	 */
	public int countOf(RequestResult.Outcome outcome) {
		return this.outcomes.getOrDefault(outcome, 0);
	}

	// Jain's fairness index of the fraction of requested tokens that each team received.
	private double jainIndex() {
		double sum = 0;
		double sumOfSquares = 0;
		for (Map.Entry<String, Double> requested : this.requestedTokensByTeam.entrySet()) {
			double servedFraction = this.servedTokensByTeam.getOrDefault(requested.getKey(), 0.0)
					/ requested.getValue();
			sum += servedFraction;
			sumOfSquares += servedFraction * servedFraction;
		}
		return (sumOfSquares > 0) ? sum * sum / (this.requestedTokensByTeam.size() * sumOfSquares) : 1;
	}

	/**
	 * Converts nanoseconds to seconds, including the fraction.
	 * @param nanos the time in nanoseconds
	 * @return the time in seconds
	 */
	static double toSeconds(long nanos) {
		return nanos / NANOS_PER_SECOND;
	}

	/**
	 * Latencies in nanoseconds of all short or all long requests.
	 */
	private static final class LatencyStats {

		private final Histogram firstToken = new Histogram(3);

		private final Histogram gaps = new Histogram(3);

		private final Histogram total = new Histogram(3);

		private long withinFirstTokenTarget;

		private long withinBothTargets;

		private void add(RequestResult result) {
			this.firstToken.recordValue(result.firstTokenNanos());
			this.total.recordValue(result.totalNanos());
			boolean firstTokenInTime = result.firstTokenNanos() <= FIRST_TOKEN_TARGET_MILLIS * NANOS_PER_MILLI;
			this.withinFirstTokenTarget += firstTokenInTime ? 1 : 0;
			double meanGapNanos = (result.tokens() > 1)
					? (result.totalNanos() - result.firstTokenNanos()) / (double) (result.tokens() - 1) : 0;
			this.withinBothTargets += (firstTokenInTime
					&& meanGapNanos <= BETWEEN_TOKENS_TARGET_MILLIS * NANOS_PER_MILLI) ? 1 : 0;
		}

		private Map<String, Object> summary() {
			Map<String, Object> summary = new TreeMap<>();
			long count = this.firstToken.getTotalCount();
			summary.put("requests", count);
			if (count > 0) {
				summary.put("first_token_ms", percentilesMillis(this.firstToken));
				summary.put("between_tokens_ms", percentilesMillis(this.gaps));
				summary.put("total_ms", percentilesMillis(this.total));
				summary.put("share_within_first_token_target", (double) this.withinFirstTokenTarget / count);
				summary.put("share_within_both_targets", (double) this.withinBothTargets / count);
			}
			return summary;
		}

		private static Map<String, Double> percentilesMillis(Histogram histogram) {
			Map<String, Double> values = new TreeMap<>();
			for (double percentile : new double[] { 50, 95, 99 }) {
				values.put("p" + (int) percentile,
						Math.round(histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI * 100) / 100.0);
			}
			return values;
		}

	}

}
