package org.mulberrycross.caller.http;

import org.mulberrycross.NotRunException;
import org.mulberrycross.Peer;
import org.mulberrycross.Step;

/**
 * A request that is refused before anything runs, with the status and code to answer.
 */
final class RequestFault extends NotRunException {

	private static final long serialVersionUID = 1L;

	private final int status;

	private final String code;

	RequestFault(Step step, int status, String code, String message) {
		super(step, new Peer(Peer.Kind.CALLER, ""), message);
		this.status = status;
		this.code = code;
	}

	int status() {
		return this.status;
	}

	String code() {
		return this.code;
	}

}
