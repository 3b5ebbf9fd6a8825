package org.mulberrycross.caller.http;

import org.mulberrycross.NotRunException;
import org.mulberrycross.PeerException;

/**
 * Body of an error response. Immutable and thread-safe.
 *
 * @param error the error, not null
 */
record ErrorBody(Detail error) {

	static ErrorBody of(String code, PeerException error) {
		return new ErrorBody(new Detail(code, error.getMessage(), error.step().label(), error.peer().toString(),
				error instanceof NotRunException));
	}

	/**
	 * What went wrong.
	 *
	 * @param code the stable code for programs
	 * @param message the text for people
	 * @param step the step at which the error arose
	 * @param peer the peer at which the error arose
	 * @param notRun whether nothing of the request ran
	 */
	record Detail(String code, String message, String step, String peer, boolean notRun) {

	}

}
