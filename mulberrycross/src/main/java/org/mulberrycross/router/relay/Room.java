package org.mulberrycross.router.relay;

/** Whether the upstreams of a request have room for it now, from best to worst. */
enum Room {

	/** Upstreams without signs of overload can take it. */
	FREE,

	/** The expected load fills the upstreams, none of which has turned a request away. */
	BUSY,

	/** The upstreams have just turned requests away for want of room. */
	FULL,

	/** Too few upstreams are listed or sound, so that nothing is known of their room. */
	UNKNOWN

}
