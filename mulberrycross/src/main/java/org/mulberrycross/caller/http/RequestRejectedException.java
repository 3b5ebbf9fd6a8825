package org.mulberrycross.caller.http;

import org.mulberrycross.NotRunException;
import org.mulberrycross.Peer;
import org.mulberrycross.Step;

/**
 * Thrown if a request is rejected before any part of it runs. Carries the HTTP status and
 * the error code of the response.
 */
final class RequestRejectedException extends NotRunException {

	private static final long serialVersionUID = 1L;

	private final int status;

	private final String code;

	RequestRejectedException(Step step, int status, String code, String message) {
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
