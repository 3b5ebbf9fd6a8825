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
 */
public record EngineState(String name, Address address, String dataCentre, String accelerator, String model,
		LayerRange layers, Optional<EngineLoad> load, long loadNanos, int outstanding, boolean suspected,
		boolean leaving) {

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
	 */
	public EngineState {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(accelerator, "accelerator");
		Objects.requireNonNull(model, "model");
		Objects.requireNonNull(layers, "layers");
		Objects.requireNonNull(load, "load");
	}

	/**
	 * Returns whether the engine may get new work.
	 * @return true if it is neither leaving nor suspected
	 */
	public boolean available() {
		return !this.leaving && !this.suspected;
	}

}
