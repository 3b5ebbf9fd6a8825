package org.mulberrycross.operator;

import java.util.List;
import java.util.Objects;

/**
 * A model that engines serve in ranges of layers. Immutable and thread-safe. Values are
 * checked by {@link ConfigurationValidator} and not by the constructor, so that an
 * operator sees every error at once.
 *
 * @param name the name, not null
 * @param layers the number of layers
 * @param versions the versions that may be served; null means none
 * @param adapters the adapter versions that may be served; null means none
 */
public record ModelObject(String name, int layers, List<String> versions,
		List<String> adapters) implements OperatorObject {

	/**
	 * Creates a model.
	 * @param name the name, not null
	 * @param layers the number of layers
	 * @param versions the versions that may be served; null means none
	 * @param adapters the adapter versions that may be served; null means none
	 */
	public ModelObject {
		Objects.requireNonNull(name, "name");
		versions = (versions != null) ? List.copyOf(versions) : List.of();
		adapters = (adapters != null) ? List.copyOf(adapters) : List.of();
	}

	@Override
	public ObjectKind kind() {
		return ObjectKind.MODEL;
	}

}
