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
 * State of all engines. Not thread-safe; owned by the control thread, which publishes
 * {@link #view} to traffic threads.
 */
public final class EngineTable {

	private final Map<String, EngineState> engines = new HashMap<>();

	private final LeavingUpstreams leaving;

	/**
	 * Creates an empty table.
	 * @param leaving decides which engines get no new work, not null; shared with the
	 * other users on the control thread
	 */
	public EngineTable(LeavingUpstreams leaving) {
		this.leaving = Objects.requireNonNull(leaving, "leaving");
	}

	/**
	 * Takes over the engines of a configuration. Engines that stay keep what is known
	 * about them.
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
			this.engines.put(upstream.name(), state(upstream));
		}
	}

	private EngineState state(UpstreamObject upstream) {
		if (upstream.leaving()) {
			this.leaving.left(upstream.name());
		}
		Optional<EngineState> known = Optional.ofNullable(this.engines.get(upstream.name()));
		return new EngineState(upstream.name(), Address.parse(upstream.address()), upstream.dataCentre(),
				upstream.accelerator(), upstream.model(), new LayerRange(upstream.firstLayer(), upstream.endLayer()),
				known.flatMap(EngineState::load), known.map(EngineState::loadNanos).orElse(0L),
				known.map(EngineState::outstanding).orElse(0), known.map(EngineState::suspected).orElse(false),
				this.leaving.leaving(upstream.name()),
				known.map(EngineState::estimate).orElseGet(() -> estimateFor(upstream)));
	}

	/**
	 * Returns what engines of the same kind, and best in the same data centre, suggest
	 * about a new one.
	 * @param upstream the new engine
	 * @return the estimate to start with
	 */
	private EngineEstimate estimateFor(UpstreamObject upstream) {
		return this.engines.values()
			.stream()
			.filter((engine) -> engine.accelerator().equals(upstream.accelerator()))
			.filter((engine) -> engine.estimate().stepTimes().reports() > 0)
			.max(Comparator.comparing((EngineState engine) -> engine.dataCentre().equals(upstream.dataCentre()))
				.thenComparing(EngineState::name))
			.map((engine) -> engine.estimate().forNewEngine())
			.orElseGet(EngineEstimate::initial);
	}

	/**
	 * Takes over measured steps. Samples of unknown engines are ignored.
	 * @param samples the samples by engine, not null
	 */
	public void observe(Map<String, StepSample> samples) {
		samples.forEach((engine, sample) -> {
			if (sample.load().leaving()) {
				this.leaving.left(engine);
			}
			this.engines.computeIfPresent(engine, (name, state) -> state.withSample(sample));
		});
	}

	/**
	 * Takes over what is known about leaving engines by now.
	 */
	public void refreshLeaving() {
		this.engines.replaceAll((name, state) -> state.withLeaving(this.leaving.leaving(name)));
	}

	/**
	 * Notes that a stream starts to use stages.
	 * @param stages the stages, not null
	 */
	public void acquire(Collection<Stage> stages) {
		stages.forEach((stage) -> changeOutstanding(stage, 1));
	}

	/**
	 * Notes that a stream no longer uses stages.
	 * @param stages the stages, not null
	 */
	public void release(Collection<Stage> stages) {
		stages.forEach((stage) -> changeOutstanding(stage, -1));
	}

	private void changeOutstanding(Stage stage, int change) {
		this.engines.computeIfPresent(stage.engine(),
				(name, state) -> state.withOutstanding(Math.max(0, state.outstanding() + change)));
	}

	/**
	 * Notes whether an engine is suspected to have failed.
	 * @param engine the name of the engine, not null; ignored if it is not known
	 * @param suspected whether it gets no new work
	 */
	public void suspect(String engine, boolean suspected) {
		this.engines.computeIfPresent(engine, (name, state) -> state.withSuspected(suspected));
	}

	/**
	 * Returns the engines as they are now.
	 * @param nanos the time on the daemon's monotonic clock
	 * @return an immutable view
	 */
	public EngineView view(long nanos) {
		return new EngineView(nanos, this.engines.values());
	}

}
