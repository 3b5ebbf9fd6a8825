package org.mulberrycross.engine;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;

import org.mulberrycross.Address;
import org.mulberrycross.operator.Configuration;
import org.mulberrycross.operator.UpstreamKind;
import org.mulberrycross.operator.UpstreamObject;

/**
 * Current state of all configured engines. Not thread-safe; confined to the control
 * thread, which publishes {@link #view} to traffic threads.
 */
public final class EngineTable {

	private final Map<String, EngineState> engines = new HashMap<>();

	private final LeavingUpstreams leavingUpstreams;

	/**
	 * Creates an empty table.
	 * @param leavingUpstreams decides which engines get no new work, not null; shared
	 * with other components on the control thread
	 */
	public EngineTable(LeavingUpstreams leavingUpstreams) {
		this.leavingUpstreams = Objects.requireNonNull(leavingUpstreams, "leavingUpstreams");
	}

	/**
	 * Replaces the set of engines by those of a configuration. Engines that remain keep
	 * their load, streams and estimate.
	 * @param configuration the configuration, not null
	 */
	public void configure(Configuration configuration) {
		Map<String, UpstreamObject> configured = configuration.objects()
			.stream()
			.filter(UpstreamObject.class::isInstance)
			.map(UpstreamObject.class::cast)
			.filter((upstream) -> upstream.type() == UpstreamKind.ENGINE)
			.collect(Collectors.toMap(UpstreamObject::name, (upstream) -> upstream));
		this.engines.keySet().retainAll(configured.keySet());
		for (UpstreamObject upstream : configured.values()) {
			this.engines.put(upstream.name(), mergeState(upstream));
		}
	}

	private EngineState mergeState(UpstreamObject upstream) {
		if (upstream.leaving()) {
			this.leavingUpstreams.markLeaving(upstream.name());
		}
		Optional<EngineState> previous = Optional.ofNullable(this.engines.get(upstream.name()));
		return new EngineState(upstream.name(), Address.parse(upstream.address()), upstream.dataCentre(),
				upstream.accelerator(), upstream.model(), new LayerRange(upstream.firstLayer(), upstream.endLayer()),
				previous.flatMap(EngineState::load), previous.map(EngineState::loadReportNanos).orElse(0L),
				previous.map(EngineState::outstanding).orElse(0), previous.map(EngineState::ejected).orElse(false),
				this.leavingUpstreams.isLeaving(upstream.name()),
				previous.map(EngineState::estimate).orElseGet(() -> initialEstimate(upstream)));
	}

	/**
	 * Returns the estimate that a new engine starts with. It is derived from a known
	 * engine with the same kind of accelerators, preferably in the same data centre.
	 * @param upstream the new engine
	 * @return the estimate, the default one if there is no such engine
	 */
	private EngineEstimate initialEstimate(UpstreamObject upstream) {
		return this.engines.values()
			.stream()
			.filter((engine) -> engine.accelerator().equals(upstream.accelerator()))
			.filter((engine) -> engine.estimate().stepTimeModel().sampleCount() > 0)
			.max(Comparator.comparing((EngineState engine) -> engine.dataCentre().equals(upstream.dataCentre()))
				.thenComparing(EngineState::name))
			.map((engine) -> engine.estimate().forNewEngine())
			.orElseGet(EngineEstimate::initial);
	}

	/**
	 * Updates load and estimates from measured steps. Samples of unknown engines are
	 * ignored, except that a leaving engine is recorded as leaving.
	 * @param samples the samples by the name of the engine, not null
	 */
	public void applySamples(Map<String, StepSample> samples) {
		samples.forEach((engine, sample) -> {
			if (sample.load().leaving()) {
				this.leavingUpstreams.markLeaving(engine);
			}
			this.engines.computeIfPresent(engine, (name, state) -> state.withSample(sample));
		});
	}

	/**
	 * Updates which engines are leaving, after a change to the leaving upstreams.
	 */
	public void refreshLeaving() {
		this.engines.replaceAll((name, state) -> state.withLeaving(this.leavingUpstreams.isLeaving(name)));
	}

	/**
	 * Records that a stream starts to use stages.
	 * @param stages the stages, not null
	 */
	public void acquire(Collection<Stage> stages) {
		stages.forEach((stage) -> adjustOutstanding(stage, 1));
	}

	/**
	 * Records that a stream no longer uses stages.
	 * @param stages the stages, not null
	 */
	public void release(Collection<Stage> stages) {
		stages.forEach((stage) -> adjustOutstanding(stage, -1));
	}

	private void adjustOutstanding(Stage stage, int change) {
		this.engines.computeIfPresent(stage.engine(),
				(name, state) -> state.withOutstanding(Math.max(0, state.outstanding() + change)));
	}

	/**
	 * Records whether an engine is ejected because it is suspected to have failed.
	 * @param engine the name of the engine, not null; ignored if it is not known
	 * @param ejected whether the engine is ejected and gets no new work
	 */
	public void setEjected(String engine, boolean ejected) {
		this.engines.computeIfPresent(engine, (name, state) -> state.withEjected(ejected));
	}

	/**
	 * Returns a snapshot of the engines.
	 * @param nanos the time on the daemon's monotonic clock, in nanoseconds
	 * @return an immutable view
	 */
	public EngineView view(long nanos) {
		return new EngineView(nanos, this.engines.values());
	}

}
