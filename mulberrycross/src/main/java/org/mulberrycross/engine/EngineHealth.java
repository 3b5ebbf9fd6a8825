package org.mulberrycross.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Decides which engines are suspected to have failed. An engine is ejected after failed
 * probes and let back by one successful trial after an interval that grows with each
 * failure. Never ejects the last engine of a layer, nor more than half of a layer's
 * engines. Not thread-safe; owned by the control thread.
 */
public final class EngineHealth {

	/** One lost probe can be a pause of this daemon; two in a row rarely are. */
	private static final int FAILURES_TO_EJECT = 2;

	private static final long FIRST_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

	private static final long LONGEST_INTERVAL_NANOS = Duration.ofSeconds(30).toNanos();

	/**
	 * Engines that must stay per ejected one. There are few machines per layer, so that
	 * ejecting more would overload the rest.
	 */
	private static final int KEPT_PER_EJECTED = 1;

	private final Map<String, Suspicion> suspicions = new HashMap<>();

	/**
	 * Takes in that an engine did not answer a probe, or answered probes but no step.
	 * @param engine the name of the engine, not null
	 * @param view the engines, not null
	 * @return the actions, in order
	 */
	public List<HealthAction> failed(String engine, EngineView view) {
		Objects.requireNonNull(engine, "engine");
		Optional<EngineState> state = view.engine(engine);
		if (state.isEmpty()) {
			return List.of();
		}
		Suspicion suspicion = this.suspicions.computeIfAbsent(engine, (name) -> new Suspicion());
		suspicion.failures++;
		if (suspicion.ejected || suspicion.failures < FAILURES_TO_EJECT || !mayEject(state.get(), view)) {
			return List.of();
		}
		suspicion.eject(view.nanos());
		return List.of(new HealthAction.Eject(engine));
	}

	/**
	 * Takes in that an engine answered a probe of a stream. An ejected engine stays
	 * ejected until its trial.
	 * @param engine the name of the engine, not null
	 */
	public void answered(String engine) {
		Optional.ofNullable(this.suspicions.get(engine))
			.filter((suspicion) -> !suspicion.ejected)
			.ifPresent((suspicion) -> suspicion.failures = 0);
	}

	/**
	 * Starts the trials that are due, one at a time per engine.
	 * @param now the time on the daemon's monotonic clock
	 * @return the actions, in order
	 */
	public List<HealthAction> tick(long now) {
		List<HealthAction> actions = new ArrayList<>();
		this.suspicions.forEach((engine, suspicion) -> {
			if (suspicion.ejected && !suspicion.inTrial && now - suspicion.trialNanos >= 0) {
				suspicion.inTrial = true;
				actions.add(new HealthAction.Try(engine));
			}
		});
		return actions;
	}

	/**
	 * Takes in the result of a trial.
	 * @param engine the name of the engine, not null
	 * @param answered whether it answered
	 * @param now the time on the daemon's monotonic clock
	 * @return the actions, in order
	 */
	public List<HealthAction> tried(String engine, boolean answered, long now) {
		Suspicion suspicion = this.suspicions.get(engine);
		if (suspicion == null || !suspicion.inTrial) {
			return List.of();
		}
		suspicion.inTrial = false;
		if (!answered) {
			suspicion.grow();
			suspicion.trialNanos = now + suspicion.intervalNanos;
			return List.of();
		}
		suspicion.ejected = false;
		suspicion.failures = 0;
		suspicion.readmittedNanos = now;
		return List.of(new HealthAction.Readmit(engine));
	}

	/**
	 * Forgets an engine that is no longer configured.
	 * @param engine the name of the engine, not null
	 */
	public void forget(String engine) {
		this.suspicions.remove(engine);
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
				if (other.suspected()) {
					ejected++;
				}
				else {
					kept++;
				}
			}
			if (kept < ejected * KEPT_PER_EJECTED) {
				return false;
			}
		}
		return true;
	}

	/** What is known about one engine that failed. */
	private static final class Suspicion {

		private int failures;

		private boolean ejected;

		private boolean inTrial;

		private long intervalNanos;

		private long trialNanos;

		private long readmittedNanos;

		void eject(long now) {
			boolean relapse = this.intervalNanos > 0 && now - this.readmittedNanos < 2 * this.intervalNanos;
			if (!relapse) {
				this.intervalNanos = 0;
			}
			grow();
			this.ejected = true;
			this.trialNanos = now + this.intervalNanos;
		}

		void grow() {
			this.intervalNanos = (this.intervalNanos == 0) ? FIRST_INTERVAL_NANOS
					: Math.min(LONGEST_INTERVAL_NANOS, this.intervalNanos * 2);
		}

	}

}
