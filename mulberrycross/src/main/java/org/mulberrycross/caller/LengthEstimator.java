package org.mulberrycross.caller;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the output length of requests from their basis (the client's hint, else the
 * requested maximum) and the history of their team and route. A history holds outputs as
 * multiples of the basis: a running mean, and a running estimate of the 95th percentile
 * so that rare long outputs do not classify all work of a team as long. Both follow new
 * outputs. Not thread-safe; owned by the control thread.
 */
public final class LengthEstimator {

	private static final double TARGET_QUANTILE = 0.95;

	/**
	 * Relative change by one output; about 20 outputs move the percentile by its own
	 * size.
	 */
	private static final double RELATIVE_STEP = 0.05;

	/** Outputs up to this multiple of the percentile do not exceed the estimate. */
	private static final double MARGIN_FACTOR = 1.5;

	/** Minimum weight of a new output in the mean, which forgets older ones. */
	private static final double MIN_MEAN_WEIGHT = 0.02;

	/**
	 * Number of outputs at which the history of a route weighs as much as what is
	 * configured. Early outputs are the short ones.
	 */
	private static final double ROUTE_HALF_WEIGHT = 10;

	/**
	 * Number of outputs at which the history of a team weighs as much as that of its
	 * route. Outputs of one team differ by a factor of ten.
	 */
	private static final double TEAM_HALF_WEIGHT = 40;

	private final Map<HistoryKey, History> histories;

	/**
	 * Creates an estimator without history.
	 * @param maxHistories the maximum number of histories, at least 1; the least recently
	 * used one is evicted first
	 */
	public LengthEstimator(int maxHistories) {
		this.histories = new LinkedHashMap<>(16, 0.75f, true) {

			private static final long serialVersionUID = 1L;

			@Override
			protected boolean removeEldestEntry(Map.Entry<HistoryKey, History> eldest) {
				return size() > maxHistories;
			}

		};
	}

	/**
	 * Estimates the output length of a request.
	 * @param request the request, not null
	 * @return the number of tokens, from 1 to the requested maximum; the maximum if the
	 * team has no history on the pipeline
	 */
	public int estimate(CallerRequest request) {
		History history = this.histories.get(keyOf(request));
		if (history == null) {
			return request.maxTokens();
		}
		return (int) Math.max(1, Math.min(request.maxTokens(), Math.ceil(MARGIN_FACTOR * history.percentile())));
	}

	/**
	 * Updates the history with the length of a complete output.
	 * @param request the request, not null
	 * @param tokens the number of generated tokens; values below 1 are ignored
	 */
	public void recordLength(CallerRequest request, int tokens) {
		if (tokens >= 1) {
			record(keyOf(request), tokens, 1);
		}
	}

	/**
	 * Estimates the output length of a request. With few outputs, teams are estimated
	 * mostly from their route, and routes from what is configured or declared.
	 * @param basis what is known before the request runs, not null
	 * @return the estimate, at most the requested maximum if there is one; 0 if nothing
	 * is known
	 */
	public OutputEstimate estimate(OutputBasis basis) {
		double reference = reference(basis);
		double declared = declared(basis);
		History prior = new History(0, declared / reference, Math.max(declared, basis.maxTokens()) / reference);
		History route = this.histories.getOrDefault(routeKey(basis), prior).mixedWith(prior, ROUTE_HALF_WEIGHT);
		History team = this.histories.getOrDefault(teamKey(basis), route).mixedWith(route, TEAM_HALF_WEIGHT);
		return limited(basis, reference * team.mean(), reference * Math.max(team.mean(), team.percentile()));
	}

	// Returns the output to expect without history: the hint, else the mean of the
	// service, else the maximum.
	private static double declared(OutputBasis basis) {
		if (basis.hintTokens() > 0) {
			return basis.hintTokens();
		}
		return (basis.usualTokens() > 0) ? basis.usualTokens() : basis.maxTokens();
	}

	/**
	 * Updates the histories with the length of a complete output.
	 * @param basis what was known before the request ran, not null
	 * @param tokens the number of generated tokens; values below 1 are ignored
	 */
	public void recordLength(OutputBasis basis, double tokens) {
		if (tokens < 1) {
			return;
		}
		double reference = reference(basis);
		record(routeKey(basis), tokens / reference, 1 / reference);
		if (!basis.team().isEmpty()) {
			record(teamKey(basis), tokens / reference, 1 / reference);
		}
	}

	private void record(HistoryKey key, double ratio, double minRatio) {
		this.histories.merge(key, new History(1, ratio, ratio), (history, first) -> history.plus(ratio, minRatio));
	}

	private static OutputEstimate limited(OutputBasis basis, double expected, double high) {
		double limit = (basis.maxTokens() > 0) ? basis.maxTokens() : Double.POSITIVE_INFINITY;
		return new OutputEstimate(Math.min(limit, expected), Math.min(limit, high));
	}

	private static BasisKind kind(OutputBasis basis) {
		if (basis.hintTokens() > 0) {
			return BasisKind.HINT;
		}
		return (basis.maxTokens() > 0) ? BasisKind.LIMIT : BasisKind.NONE;
	}

	private static double reference(OutputBasis basis) {
		return switch (kind(basis)) {
			case HINT -> basis.hintTokens();
			case LIMIT -> basis.maxTokens();
			case NONE -> 1;
		};
	}

	private static HistoryKey keyOf(CallerRequest request) {
		return new HistoryKey(request.team(), request.pipeline(), BasisKind.NONE);
	}

	private static HistoryKey teamKey(OutputBasis basis) {
		return new HistoryKey(basis.team(), basis.route(), kind(basis));
	}

	private static HistoryKey routeKey(OutputBasis basis) {
		return new HistoryKey("", basis.route(), kind(basis));
	}

	/** Amounts that outputs are multiples of. */
	private enum BasisKind {

		HINT, LIMIT, NONE

	}

	/**
	 * Identifies a history.
	 *
	 * @param team the name of the team, empty for all teams of a route
	 * @param route the name of the route or pipeline
	 * @param kind the amount that outputs are multiples of
	 */
	private record HistoryKey(String team, String route, BasisKind kind) {

	}

	/**
	 * Outputs as multiples of their basis.
	 *
	 * @param outputs the number of outputs
	 * @param mean the running mean
	 * @param percentile the running estimate of the 95th percentile
	 */
	private record History(long outputs, double mean, double percentile) {

		// Returns the mean of this and a more general history, in which that one weighs
		// as
		// much as a number of outputs.
		History mixedWith(History general, double outputsWeight) {
			double weight = this.outputs / (this.outputs + outputsWeight);
			return new History(this.outputs, weight * this.mean + (1 - weight) * general.mean,
					weight * this.percentile + (1 - weight) * general.percentile);
		}

		History plus(double ratio, double minRatio) {
			double meanWeight = Math.max(MIN_MEAN_WEIGHT, 1.0 / (this.outputs + 1));
			double direction = (ratio > this.percentile) ? TARGET_QUANTILE : TARGET_QUANTILE - 1;
			return new History(this.outputs + 1, this.mean + meanWeight * (ratio - this.mean),
					Math.max(minRatio, this.percentile * (1 + RELATIVE_STEP * direction)));
		}

	}

}
