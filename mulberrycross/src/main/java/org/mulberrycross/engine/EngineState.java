package org.mulberrycross.engine;

import java.util.Objects;
import java.util.Optional;

import org.mulberrycross.Address;

/**
 * What the control thread knows about one engine. Immutable and thread-safe.
 *
 * @param name the name, not null
 * @param address the address, not null
 * @param dataCentre the data centre, not null
 * @param accelerator the kind of its accelerators, not null
 * @param model the name of the model that it holds, not null
 * @param layers the layers that it holds, not null
 * @param load the last load report, empty if none has come
 * @param loadNanos the time of that report on the daemon's monotonic clock
 * @param outstanding the number of streams of this daemon that use it
 * @param suspected whether it is suspected to have failed
 * @param leaving whether it gets no new work
 * @param estimate what this daemon learnt about it from its own steps, not null
 */
public record EngineState(String name, Address address, String dataCentre, String accelerator, String model,
		LayerRange layers, Optional<EngineLoad> load, long loadNanos, int outstanding, boolean suspected,
		boolean leaving, EngineEstimate estimate) {

	/**
	 * Creates a state.
	 * @param name the name, not null
	 * @param address the address, not null
	 * @param dataCentre the data centre, not null
	 * @param accelerator the kind of its accelerators, not null
	 * @param model the name of the model that it holds, not null
	 * @param layers the layers that it holds, not null
	 * @param load the last load report, empty if none has come
	 * @param loadNanos the time of that report on the daemon's monotonic clock
	 * @param outstanding the number of streams of this daemon that use it
	 * @param suspected whether it is suspected to have failed
	 * @param leaving whether it gets no new work
	 * @param estimate what this daemon learnt about it, not null
	 */
	public EngineState {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(accelerator, "accelerator");
		Objects.requireNonNull(model, "model");
		Objects.requireNonNull(layers, "layers");
		Objects.requireNonNull(load, "load");
		Objects.requireNonNull(estimate, "estimate");
	}

	/**
	 * Creates a state of an engine that this daemon learnt nothing about.
	 * @param name the name, not null
	 * @param address the address, not null
	 * @param dataCentre the data centre, not null
	 * @param accelerator the kind of its accelerators, not null
	 * @param model the name of the model that it holds, not null
	 * @param layers the layers that it holds, not null
	 * @param load the last load report, empty if none has come
	 * @param loadNanos the time of that report on the daemon's monotonic clock
	 * @param outstanding the number of streams of this daemon that use it
	 * @param suspected whether it is suspected to have failed
	 * @param leaving whether it gets no new work
	 */
	public EngineState(String name, Address address, String dataCentre, String accelerator, String model,
			LayerRange layers, Optional<EngineLoad> load, long loadNanos, int outstanding, boolean suspected,
			boolean leaving) {
		this(name, address, dataCentre, accelerator, model, layers, load, loadNanos, outstanding, suspected, leaving,
				EngineEstimate.initial());
	}

	/**
	 * Returns whether the engine may get new work.
	 * @return true if it is neither leaving nor suspected
	 */
	public boolean available() {
		return !this.leaving && !this.suspected;
	}

	/**
	 * Returns whether one more stream fits into a share of the engine's stream limit. One
	 * stream always fits, since otherwise a small limit would exclude long work for good.
	 * @param share the share; infinite for no limit
	 * @return true if it does
	 */
	public boolean admits(double share) {
		return this.outstanding == 0 || this.outstanding + 1 <= share * this.estimate.streamLimit();
	}

	/**
	 * Returns this state with another number of streams.
	 * @param count the number of streams of this daemon that use the engine
	 * @return the changed state
	 */
	EngineState withOutstanding(int count) {
		return new EngineState(this.name, this.address, this.dataCentre, this.accelerator, this.model, this.layers,
				this.load, this.loadNanos, count, this.suspected, this.leaving, this.estimate);
	}

	/**
	 * Returns this state after measured steps. An engine that reports that it is leaving
	 * gets no new work.
	 * @param sample the sample of the steps, not null
	 * @return the changed state
	 */
	EngineState withSample(StepSample sample) {
		return new EngineState(this.name, this.address, this.dataCentre, this.accelerator, this.model, this.layers,
				Optional.of(sample.load()), sample.nanos(), this.outstanding, this.suspected,
				this.leaving || sample.load().leaving(), this.estimate.learn(sample, this.outstanding));
	}

	EngineState withSuspected(boolean changed) {
		return new EngineState(this.name, this.address, this.dataCentre, this.accelerator, this.model, this.layers,
				this.load, this.loadNanos, this.outstanding, changed, this.leaving, this.estimate);
	}

	EngineState withLeaving(boolean changed) {
		return new EngineState(this.name, this.address, this.dataCentre, this.accelerator, this.model, this.layers,
				this.load, this.loadNanos, this.outstanding, this.suspected, changed, this.estimate);
	}

}
