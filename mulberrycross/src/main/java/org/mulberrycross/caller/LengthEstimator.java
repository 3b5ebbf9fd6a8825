package org.mulberrycross.caller;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the output length of requests from the requested maximum and the team's
 * history on the pipeline. The history is a running estimate of the 95th percentile, so
 * that rare long outputs do not classify all work of a team as long. Not thread-safe;
 * owned by the control thread.
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

	private final Map<HistoryKey, Double> percentiles;

	/**
	 * Creates an estimator without history.
	 * @param maxHistories the maximum number of team and pipeline pairs, at least 1; the
	 * least recently used pair is evicted first
	 */
	public LengthEstimator(int maxHistories) {
		this.percentiles = new LinkedHashMap<>(16, 0.75f, true) {

			private static final long serialVersionUID = 1L;

			@Override
			protected boolean removeEldestEntry(Map.Entry<HistoryKey, Double> eldest) {
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
		Double percentile = this.percentiles.get(new HistoryKey(request.team(), request.pipeline()));
		if (percentile == null) {
			return request.maxTokens();
		}
		return (int) Math.max(1, Math.min(request.maxTokens(), Math.ceil(MARGIN_FACTOR * percentile)));
	}

	/**
	 * Updates the history with the length of a complete output.
	 * @param request the request, not null
	 * @param tokens the number of generated tokens; values below 1 are ignored
	 */
	public void recordLength(CallerRequest request, int tokens) {
		if (tokens < 1) {
			return;
		}
		this.percentiles.merge(new HistoryKey(request.team(), request.pipeline()), (double) tokens,
				(percentile, initial) -> {
					double direction = (tokens > percentile) ? TARGET_QUANTILE : TARGET_QUANTILE - 1;
					return Math.max(1, percentile * (1 + RELATIVE_STEP * direction));
				});
	}

	/**
	 * Identifies a history.
	 *
	 * @param team the name of the team
	 * @param pipeline the name of the pipeline
	 */
	private record HistoryKey(String team, String pipeline) {

	}

}
