package org.mulberrycross.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Detects failed engines and ejects them from routing. An engine is ejected after
 * consecutive failures and readmitted after one successful trial probe; the backoff
 * before each trial probe doubles with every failed one. Never ejects the last engine of
 * a layer, nor more than half of a layer's engines. Not thread-safe; confined to the
 * control thread.
 */
public final class EngineHealth {

	/** A single failure can be due to a pause of this daemon; two in a row rarely are. */
	private static final int CONSECUTIVE_FAILURES_TO_EJECT = 2;

	private static final long MIN_BACKOFF_NANOS = Duration.ofSeconds(1).toNanos();

	private static final long MAX_BACKOFF_NANOS = Duration.ofSeconds(30).toNanos();

	/**
	 * Minimum number of engines of a layer that stay in service per ejected one. Layers
	 * have few engines, so ejecting more would overload the rest.
	 */
	private static final int MIN_KEPT_PER_EJECTED = 1;

	private final Map<String, FailureRecord> failureRecords = new HashMap<>();

	/**
	 * Records that an engine did not answer a probe, or answered probes but no step.
	 * @param engine the name of the engine, not null
	 * @param view the current state of the engines, not null
	 * @return the actions to perform, in order; empty if the engine is not ejected by
	 * this failure
	 */
	public List<HealthAction> recordFailure(String engine, EngineView view) {
		Objects.requireNonNull(engine, "engine");
		Optional<EngineState> state = view.engine(engine);
		if (state.isEmpty()) {
			return List.of();
		}
		FailureRecord failureRecord = this.failureRecords.computeIfAbsent(engine, (name) -> new FailureRecord());
		failureRecord.consecutiveFailures++;
		if (failureRecord.ejected || failureRecord.consecutiveFailures < CONSECUTIVE_FAILURES_TO_EJECT
				|| !mayEject(state.get(), view)) {
			return List.of();
		}
		failureRecord.eject(view.nanos());
		return List.of(new HealthAction.Eject(engine));
	}

	/**
	 * Records that an engine answered a probe of a stream, which resets its failure
	 * count. An ejected engine stays ejected until a trial probe succeeds.
	 * @param engine the name of the engine, not null
	 */
	public void recordSuccess(String engine) {
		Optional.ofNullable(this.failureRecords.get(engine))
			.filter((failureRecord) -> !failureRecord.ejected)
			.ifPresent((failureRecord) -> failureRecord.consecutiveFailures = 0);
	}

	/**
	 * Starts the trial probes that are due, at most one at a time per engine.
	 * @param nowNanos the time on the daemon's monotonic clock, in nanoseconds
	 * @return the actions to perform, in order
	 */
	public List<HealthAction> startDueProbes(long nowNanos) {
		List<HealthAction> actions = new ArrayList<>();
		this.failureRecords.forEach((engine, failureRecord) -> {
			if (failureRecord.ejected && !failureRecord.probeInProgress
					&& nowNanos - failureRecord.nextProbeNanos >= 0) {
				failureRecord.probeInProgress = true;
				actions.add(new HealthAction.Probe(engine));
			}
		});
		return actions;
	}

	/**
	 * Records the result of a trial probe. A result is ignored if no trial probe of the
	 * engine is in progress.
	 * @param engine the name of the engine, not null
	 * @param answered whether the engine answered the probe
	 * @param nowNanos the time on the daemon's monotonic clock, in nanoseconds
	 * @return the actions to perform, in order
	 */
	public List<HealthAction> recordProbeResult(String engine, boolean answered, long nowNanos) {
		FailureRecord failureRecord = this.failureRecords.get(engine);
		if (failureRecord == null || !failureRecord.probeInProgress) {
			return List.of();
		}
		failureRecord.probeInProgress = false;
		if (!answered) {
			failureRecord.increaseBackoff();
			failureRecord.nextProbeNanos = nowNanos + failureRecord.backoffNanos;
			return List.of();
		}
		failureRecord.ejected = false;
		failureRecord.consecutiveFailures = 0;
		failureRecord.readmittedNanos = nowNanos;
		return List.of(new HealthAction.Readmit(engine));
	}

	/**
	 * Discards the record of an engine that is no longer configured.
	 * @param engine the name of the engine, not null
	 */
	public void forget(String engine) {
		this.failureRecords.remove(engine);
	}

	private static boolean mayEject(EngineState engine, EngineView view) {
		for (int layer = engine.layers().first(); layer < engine.layers().end(); layer++) {
			int kept = 0;
			int ejected = 1;
			for (EngineState other : view.engines()) {
				if (other.name().equals(engine.name()) || other.leaving() || !other.model().equals(engine.model())
						|| !other.layers().contains(layer)) {
					continue;
				}
				if (other.ejected()) {
					ejected++;
				}
				else {
					kept++;
				}
			}
			if (kept < ejected * MIN_KEPT_PER_EJECTED) {
				return false;
			}
		}
		return true;
	}

	/** Failure count and backoff of one engine. */
	private static final class FailureRecord {

		private int consecutiveFailures;

		private boolean ejected;

		private boolean probeInProgress;

		private long backoffNanos;

		private long nextProbeNanos;

		private long readmittedNanos;

		void eject(long nowNanos) {
			// A failure soon after readmission continues the previous backoff.
			boolean relapse = this.backoffNanos > 0 && nowNanos - this.readmittedNanos < 2 * this.backoffNanos;
			if (!relapse) {
				this.backoffNanos = 0;
			}
			increaseBackoff();
			this.ejected = true;
			this.nextProbeNanos = nowNanos + this.backoffNanos;
		}

		void increaseBackoff() {
			this.backoffNanos = (this.backoffNanos == 0) ? MIN_BACKOFF_NANOS
					: Math.min(MAX_BACKOFF_NANOS, this.backoffNanos * 2);
		}

	}

}
