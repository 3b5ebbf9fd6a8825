package org.mulberrycross.caller;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the output length of requests from the requested maximum and the history of
 * the team on the pipeline. The history is a running estimate of the 95th percentile, so
 * that rare long outputs do not make all work of a team long. Not thread-safe; owned by
 * the control thread.
 */
public final class LengthEstimator {

	private static final double QUANTILE = 0.95;

	/** Relative step of the percentile; about 20 outputs move it by its own size. */
	private static final double STEP = 0.05;

	/** Outputs within this factor of the percentile are not taken for long ones. */
	private static final double MARGIN = 1.5;

	private final Map<Key, Double> percentiles;

	/**
	 * Creates an estimator without history.
	 * @param maxHistories the number of team and pipeline pairs that are remembered, at
	 * least 1; the pair used least recently is dropped first
	 */
	public LengthEstimator(int maxHistories) {
		this.percentiles = new LinkedHashMap<>(16, 0.75f, true) {

			private static final long serialVersionUID = 1L;

			@Override
			protected boolean removeEldestEntry(Map.Entry<Key, Double> eldest) {
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
		Double percentile = this.percentiles.get(new Key(request.team(), request.pipeline()));
		if (percentile == null) {
			return request.maxTokens();
		}
		return (int) Math.max(1, Math.min(request.maxTokens(), Math.ceil(MARGIN * percentile)));
	}

	/**
	 * Learns from an output that is complete.
	 * @param request the request, not null
	 * @param tokens the number of tokens generated
	 */
	public void learn(CallerRequest request, int tokens) {
		if (tokens < 1) {
			return;
		}
		this.percentiles.merge(new Key(request.team(), request.pipeline()), (double) tokens, (old, first) -> {
			double direction = (tokens > old) ? QUANTILE : QUANTILE - 1;
			return Math.max(1, old * (1 + STEP * direction));
		});
	}

	/**
	 * What a history belongs to.
	 *
	 * @param team the name of the team
	 * @param pipeline the name of the pipeline
	 */
	private record Key(String team, String pipeline) {

	}

}
