package org.mulberrycross.engine;

import java.util.Objects;
import java.util.Optional;

import org.mulberrycross.Address;

/**
 * State of one engine as known to the control thread. Immutable and thread-safe.
 *
 * @param name the name, not null
 * @param address the address, not null
 * @param dataCentre the data centre, not null
 * @param accelerator the kind of its accelerators, not null
 * @param model the name of the model that it holds, not null
 * @param layers the layers that it holds, not null
 * @param load the last load report, empty if none has been received
 * @param loadReportNanos the time of that report on the daemon's monotonic clock
 * @param outstanding the number of streams of this daemon that use it
 * @param ejected whether it is ejected because it is suspected to have failed
 * @param leaving whether it is about to stop and gets no new work
 * @param estimate the capacity and latency that this daemon estimates, not null
 */
public record EngineState(String name, Address address, String dataCentre, String accelerator, String model,
		LayerRange layers, Optional<EngineLoad> load, long loadReportNanos, int outstanding, boolean ejected,
		boolean leaving, EngineEstimate estimate) {

	/**
	 * Creates a state.
	 * @param name the name, not null
	 * @param address the address, not null
	 * @param dataCentre the data centre, not null
	 * @param accelerator the kind of its accelerators, not null
	 * @param model the name of the model that it holds, not null
	 * @param layers the layers that it holds, not null
	 * @param load the last load report, empty if none has been received
	 * @param loadReportNanos the time of that report on the daemon's monotonic clock
	 * @param outstanding the number of streams of this daemon that use it
	 * @param ejected whether it is ejected because it is suspected to have failed
	 * @param leaving whether it is about to stop and gets no new work
	 * @param estimate the capacity and latency that this daemon estimates, not null
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
	 * Creates a state with the initial estimate.
	 * @param name the name, not null
	 * @param address the address, not null
	 * @param dataCentre the data centre, not null
	 * @param accelerator the kind of its accelerators, not null
	 * @param model the name of the model that it holds, not null
	 * @param layers the layers that it holds, not null
	 * @param load the last load report, empty if none has been received
	 * @param loadReportNanos the time of that report on the daemon's monotonic clock
	 * @param outstanding the number of streams of this daemon that use it
	 * @param ejected whether it is ejected because it is suspected to have failed
	 * @param leaving whether it is about to stop and gets no new work
	 */
	public EngineState(String name, Address address, String dataCentre, String accelerator, String model,
			LayerRange layers, Optional<EngineLoad> load, long loadReportNanos, int outstanding, boolean ejected,
			boolean leaving) {
		this(name, address, dataCentre, accelerator, model, layers, load, loadReportNanos, outstanding, ejected,
				leaving, EngineEstimate.initial());
	}

	/**
	 * Returns whether the engine may get new work.
	 * @return true if it is neither leaving nor ejected
	 */
	public boolean isAvailable() {
		return !this.leaving && !this.ejected;
	}

	/**
	 * Returns whether one more stream fits into a fraction of the engine's stream limit.
	 * One stream always fits, since a small limit would otherwise exclude long requests
	 * permanently, even on an idle engine.
	 * @param limitShare the fraction of the limit that may be in use; infinite if the
	 * limit does not apply
	 * @return true if the stream fits
	 */
	public boolean hasRoom(double limitShare) {
		return this.outstanding == 0 || this.outstanding + 1 <= limitShare * this.estimate.streamLimit();
	}

	/**
	 * Returns this state with another number of streams.
	 * @param newOutstanding the number of streams of this daemon that use the engine
	 * @return the updated state
	 */
	EngineState withOutstanding(int newOutstanding) {
		return new EngineState(this.name, this.address, this.dataCentre, this.accelerator, this.model, this.layers,
				this.load, this.loadReportNanos, newOutstanding, this.ejected, this.leaving, this.estimate);
	}

	/**
	 * Returns this state updated by measured steps. The engine becomes leaving if its
	 * load report marks it so.
	 * @param sample the sample of the steps, not null
	 * @return the updated state
	 */
	EngineState withSample(StepSample sample) {
		return new EngineState(this.name, this.address, this.dataCentre, this.accelerator, this.model, this.layers,
				Optional.of(sample.load()), sample.replyNanos(), this.outstanding, this.ejected,
				this.leaving || sample.load().leaving(), this.estimate.withSample(sample, this.outstanding));
	}

	EngineState withEjected(boolean newEjected) {
		return new EngineState(this.name, this.address, this.dataCentre, this.accelerator, this.model, this.layers,
				this.load, this.loadReportNanos, this.outstanding, newEjected, this.leaving, this.estimate);
	}

	EngineState withLeaving(boolean newLeaving) {
		return new EngineState(this.name, this.address, this.dataCentre, this.accelerator, this.model, this.layers,
				this.load, this.loadReportNanos, this.outstanding, this.ejected, newLeaving, this.estimate);
	}

}
