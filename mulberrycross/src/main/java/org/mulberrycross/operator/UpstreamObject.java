package org.mulberrycross.operator;

import java.util.List;
import java.util.Objects;

/**
 * A model engine or plain service that the router calls. Immutable and thread-safe.
 *
 * @param name the name, not null
 * @param type whether it is an engine or a service
 * @param service for a service, the name that callers use; several upstreams may serve
 * the same name
 * @param address the address, {@code host:port}
 * @param dataCentre the data centre
 * @param accelerator for an engine, the kind of its accelerators
 * @param model for an engine, the name of its model
 * @param firstLayer for an engine, the first layer that it holds
 * @param endLayer for an engine, the layer after the last one that it holds (exclusive)
 * @param checksFencing whether it rejects orders with an outdated fencing number
 * @param leaving whether it is being drained and receives no new work
 * @param operations for a service, its operations; null means none
 */
public record UpstreamObject(String name, UpstreamKind type, String service, String address, String dataCentre,
		String accelerator, String model, int firstLayer, int endLayer, boolean checksFencing, boolean leaving,
		List<ServiceOperation> operations) implements OperatorObject {

	/**
	 * Creates an upstream. Null strings are replaced by empty ones.
	 * @param name the name, not null
	 * @param type whether it is an engine or a service; null means engine
	 * @param service the name that callers use for a service
	 * @param address the address, {@code host:port}
	 * @param dataCentre the data centre
	 * @param accelerator the kind of an engine's accelerators
	 * @param model the name of an engine's model
	 * @param firstLayer the first layer that an engine holds
	 * @param endLayer the layer after the last one that an engine holds
	 * @param checksFencing whether it rejects orders with an outdated fencing number
	 * @param leaving whether it is being drained and receives no new work
	 * @param operations the operations of a service; null means none
	 */
	public UpstreamObject {
		Objects.requireNonNull(name, "name");
		type = Objects.requireNonNullElse(type, UpstreamKind.ENGINE);
		service = Objects.requireNonNullElse(service, "");
		address = Objects.requireNonNullElse(address, "");
		dataCentre = Objects.requireNonNullElse(dataCentre, "");
		accelerator = Objects.requireNonNullElse(accelerator, "");
		model = Objects.requireNonNullElse(model, "");
		operations = (operations != null) ? List.copyOf(operations) : List.of();
	}

	/**
	 * Returns an engine that is not leaving and checks fencing numbers.
	 * @param name the name, not null
	 * @param address the address, {@code host:port}
	 * @param dataCentre the data centre
	 * @param accelerator the kind of its accelerators
	 * @param model the name of its model
	 * @param firstLayer the first layer that it holds
	 * @param endLayer the layer after the last one that it holds
	 * @return the upstream
	 */
	public static UpstreamObject engine(String name, String address, String dataCentre, String accelerator,
			String model, int firstLayer, int endLayer) {
		return new UpstreamObject(name, UpstreamKind.ENGINE, "", address, dataCentre, accelerator, model, firstLayer,
				endLayer, true, false, List.of());
	}

	/**
	 * Returns a service that is not leaving.
	 * @param name the name, not null
	 * @param service the name that callers use
	 * @param address the address, {@code host:port}
	 * @param dataCentre the data centre
	 * @param operations the operations, not null
	 * @return the upstream
	 */
	public static UpstreamObject service(String name, String service, String address, String dataCentre,
			List<ServiceOperation> operations) {
		return new UpstreamObject(name, UpstreamKind.SERVICE, service, address, dataCentre, "", "", 0, 0, false, false,
				operations);
	}

	@Override
	public ObjectKind kind() {
		return ObjectKind.UPSTREAM;
	}

}
