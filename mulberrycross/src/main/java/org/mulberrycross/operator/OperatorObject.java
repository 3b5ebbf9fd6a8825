package org.mulberrycross.operator;

/**
 * A named object that operators edit. Immutable and thread-safe.
 */
public sealed interface OperatorObject permits ModelObject, PipelineObject, TeamObject, UpstreamObject {

	/**
	 * Returns the kind of the object.
	 * @return the kind, not null
	 */
	ObjectKind kind();

	/**
	 * Returns the name of the object, unique within its kind.
	 * @return the name, not null
	 */
	String name();

	/**
	 * Returns the key of the object in the object API.
	 * @return the key, {@code kind/name}
	 */
	default String key() {
		return kind().label() + "/" + name();
	}

}
