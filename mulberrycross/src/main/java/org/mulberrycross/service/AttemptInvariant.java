package org.mulberrycross.service;

import java.util.Objects;

/**
 * Asserts the promises about one attempt while it runs: it sends at most once, and an
 * answer "not run" is given only if it did not send or the sending itself ended as not
 * run. Not thread-safe; used by the thread that runs the attempt.
 */
public final class AttemptInvariant {

	private final String token;

	private boolean sending;

	private boolean mayHaveRun;

	/**
	 * Creates the invariant of an attempt.
	 * @param token the token of the attempt, not null
	 */
	public AttemptInvariant(String token) {
		this.token = Objects.requireNonNull(token, "token");
	}

	/**
	 * Notes that the attempt is about to send.
	 * @throws IllegalStateException if it has been about to send before
	 */
	public void sending() {
		if (this.sending) {
			throw new IllegalStateException("attempt " + this.token + " would send a second time");
		}
		this.sending = true;
		this.mayHaveRun = true;
	}

	/**
	 * Notes how sending ended.
	 * @param outcome the outcome, not null
	 */
	public void sent(CallOutcome outcome) {
		this.mayHaveRun = outcome.kind() != CallOutcome.Kind.NOT_RUN;
	}

	/**
	 * Notes the answer to the caller.
	 * @param answer the answer, not null
	 * @throws IllegalStateException if it says "not run" although the call may have run
	 */
	public void answered(CallAnswer answer) {
		if (this.mayHaveRun && answer.outcome().kind() == CallOutcome.Kind.NOT_RUN) {
			throw new IllegalStateException(
					"attempt " + this.token + " may have run and would be answered \"not run\"");
		}
	}

}
