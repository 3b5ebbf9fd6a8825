package org.mulberrycross.standins.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * Figures of a run. Not thread-safe; add results and gaps under one lock.
 */
public final class LoadReport {

	/** Target for the time to the first token, in milliseconds. */
	private static final double FIRST_TOKEN_TARGET_MILLIS = 880;

	/** Target for the time between tokens, in milliseconds. */
	private static final double BETWEEN_TOKENS_TARGET_MILLIS = 67;

	private static final double NANOS_PER_MILLI = 1e6;

	private static final double NANOS_PER_SECOND = 1e9;

	private final Map<RequestResult.Outcome, Integer> outcomes = new EnumMap<>(RequestResult.Outcome.class);

	private final WorkFigures shortWork = new WorkFigures();

	private final WorkFigures longWork = new WorkFigures();

	private final Map<String, Double> servedByTeam = new TreeMap<>();

	private final Map<String, Double> askedByTeam = new TreeMap<>();

	private final Map<String, Integer> details = new TreeMap<>();

	private long tokens;

	/**
	 * Adds a finished request.
	 * @param result the result, not null
	 */
	public void add(RequestResult result) {
		this.outcomes.merge(result.outcome(), 1, Integer::sum);
		this.askedByTeam.merge(result.request().team().name(), (double) result.request().maxTokens(), Double::sum);
		if (!result.detail().isEmpty()) {
			this.details.merge(result.detail(), 1, Integer::sum);
		}
		if (result.outcome() != RequestResult.Outcome.WHOLE) {
			return;
		}
		this.tokens += result.tokens();
		this.servedByTeam.merge(result.request().team().name(), (double) result.tokens(), Double::sum);
		work(result.request().longRequest()).add(result);
	}

	/**
	 * Adds a time between two tokens.
	 * @param longRequest whether it belongs to a long request
	 * @param nanos the time
	 */
	public void addGap(boolean longRequest, long nanos) {
		work(longRequest).gaps.recordValue(Math.max(0, nanos));
	}

	private WorkFigures work(boolean longRequest) {
		return longRequest ? this.longWork : this.shortWork;
	}

	/**
	 * Returns the figures as a JSON-ready map.
	 * @param seconds the length of the run
	 * @return the figures by name
	 */
	public Map<String, Object> figures(double seconds) {
		Map<String, Object> figures = new TreeMap<>();
		figures.put("seconds", seconds);
		figures.put("outcomes", this.outcomes);
		figures.put("tokens_per_second", this.tokens / seconds);
		figures.put("short", this.shortWork.figures());
		figures.put("long", this.longWork.figures());
		figures.put("jain_index_over_teams", jainIndex());
		figures.put("details", this.details);
		return figures;
	}

	/**
	 * Returns how many requests ended in a way.
	 * @param outcome the way, not null
	 * @return the number
	 */
	public int count(RequestResult.Outcome outcome) {
		return this.outcomes.getOrDefault(outcome, 0);
	}

	private double jainIndex() {
		double sum = 0;
		double squares = 0;
		for (Map.Entry<String, Double> asked : this.askedByTeam.entrySet()) {
			double share = this.servedByTeam.getOrDefault(asked.getKey(), 0.0) / asked.getValue();
			sum += share;
			squares += share * share;
		}
		return (squares > 0) ? sum * sum / (this.askedByTeam.size() * squares) : 1;
	}

	/**
	 * Returns the length of a time in seconds.
	 * @param nanos the time in nanoseconds
	 * @return the time in seconds
	 */
	static double seconds(long nanos) {
		return nanos / NANOS_PER_SECOND;
	}

	/**
	 * Figures of short or of long work.
	 */
	private static final class WorkFigures {

		private final Histogram firstToken = new Histogram(3);

		private final Histogram gaps = new Histogram(3);

		private final Histogram total = new Histogram(3);

		private long withinFirstToken;

		private long withinBoth;

		private void add(RequestResult result) {
			this.firstToken.recordValue(result.firstTokenNanos());
			this.total.recordValue(result.totalNanos());
			boolean first = result.firstTokenNanos() <= FIRST_TOKEN_TARGET_MILLIS * NANOS_PER_MILLI;
			this.withinFirstToken += first ? 1 : 0;
			double meanGap = (result.tokens() > 1)
					? (result.totalNanos() - result.firstTokenNanos()) / (double) (result.tokens() - 1) : 0;
			this.withinBoth += (first && meanGap <= BETWEEN_TOKENS_TARGET_MILLIS * NANOS_PER_MILLI) ? 1 : 0;
		}

		private Map<String, Object> figures() {
			Map<String, Object> figures = new TreeMap<>();
			long count = this.firstToken.getTotalCount();
			figures.put("requests", count);
			if (count > 0) {
				figures.put("first_token_ms", percentiles(this.firstToken));
				figures.put("between_tokens_ms", percentiles(this.gaps));
				figures.put("total_ms", percentiles(this.total));
				figures.put("share_within_first_token_target", (double) this.withinFirstToken / count);
				figures.put("share_within_both_targets", (double) this.withinBoth / count);
			}
			return figures;
		}

		private static Map<String, Double> percentiles(Histogram histogram) {
			Map<String, Double> values = new TreeMap<>();
			for (double percentile : new double[] { 50, 95, 99 }) {
				values.put("p" + (int) percentile,
						Math.round(histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI * 100) / 100.0);
			}
			return values;
		}

	}

}
