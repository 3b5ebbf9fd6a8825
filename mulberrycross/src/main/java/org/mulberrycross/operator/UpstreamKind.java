package org.mulberrycross.operator;

/**
 * Kinds of upstreams.
 */
public enum UpstreamKind {

	/** A model engine that holds a range of layers. */
	ENGINE,

	/** A plain service. */
	SERVICE

}
