package org.mulberrycross.router;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

import org.mulberrycross.engine.RecoveryEvent;
import org.mulberrycross.engine.RecoveryListener;

/**
 * Counts the recovery events of streams in the metric registry. Thread-safe.
 */
final class RecoveryMetrics implements RecoveryListener {

	private final Counter probesFailed;

	private final Counter probesAnswered;

	private final Counter stepsUnanswered;

	private final Counter stagesReplaced;

	private final Counter cachesMoved;

	private final Counter layerPassesRecomputed;

	RecoveryMetrics(MetricRegistry metrics) {
		this.probesFailed = metrics.counter("streams.probes_failed");
		this.probesAnswered = metrics.counter("streams.probes_answered");
		this.stepsUnanswered = metrics.counter("streams.steps_unanswered");
		this.stagesReplaced = metrics.counter("streams.stages_replaced");
		this.cachesMoved = metrics.counter("streams.caches_moved");
		this.layerPassesRecomputed = metrics.counter("streams.layer_passes_rerun");
	}

	@Override
	public void onEvent(RecoveryEvent event) {
		if (event instanceof RecoveryEvent.ProbeFailed) {
			this.probesFailed.inc();
		}
		else if (event instanceof RecoveryEvent.ProbeAnswered) {
			this.probesAnswered.inc();
		}
		else if (event instanceof RecoveryEvent.StepsUnanswered) {
			this.stepsUnanswered.inc();
		}
		else if (event instanceof RecoveryEvent.StageReplaced replaced) {
			this.stagesReplaced.inc();
			this.cachesMoved.inc(replaced.cacheMoved() ? 1 : 0);
		}
		else if (event instanceof RecoveryEvent.LayersRecomputed recomputed) {
			this.layerPassesRecomputed.inc(recomputed.layerPasses());
		}
	}

}
