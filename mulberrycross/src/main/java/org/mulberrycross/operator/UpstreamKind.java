package org.mulberrycross.operator;

/**
 * Kinds of upstreams, as written in the field {@code type} of an upstream object.
 */
public enum UpstreamKind {

	/** A model engine that holds a range of layers. */
	ENGINE,

	/** A plain service. */
	SERVICE

}
