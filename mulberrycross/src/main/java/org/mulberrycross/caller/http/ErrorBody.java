package org.mulberrycross.caller.http;

import org.mulberrycross.NotRunException;
import org.mulberrycross.PeerException;

/**
 * JSON body of an error response. Immutable and thread-safe.
 *
 * @param error the details of the error, not null
 */
record ErrorBody(Detail error) {

	static ErrorBody of(String code, PeerException error) {
		return new ErrorBody(new Detail(code, error.getMessage(), error.step().label(), error.peer().toString(),
				error instanceof NotRunException));
	}

	/**
	 * Details of an error.
	 *
	 * @param code the stable, machine-readable code
	 * @param message the human-readable description
	 * @param step the processing step that failed
	 * @param peer the peer that was involved in the failed step
	 * @param notRun whether it is certain that no part of the request ran
	 */
	record Detail(String code, String message, String step, String peer, boolean notRun) {

	}

}
