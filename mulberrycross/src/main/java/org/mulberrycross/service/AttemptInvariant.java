package org.mulberrycross.service;

import java.util.Objects;

/**
 * Runtime check of one attempt: it sends at most once, and it is answered with "not run"
 * only if it did not send or the outcome of sending is "not run". Not thread-safe; used
 * by the thread that runs the attempt.
 */
public final class AttemptInvariant {

	private final String token;

	private boolean sendStarted;

	private boolean mayHaveRun;

	/**
	 * Creates the check of one attempt.
	 * @param token the token of the attempt, used in error messages, not null
	 */
	public AttemptInvariant(String token) {
		this.token = Objects.requireNonNull(token, "token");
	}

	/**
	 * Checks that the attempt has not sent yet. Must be called before it sends.
	 * @throws IllegalStateException if this method was called before
	 */
	public void checkBeforeSend() {
		if (this.sendStarted) {
			throw new IllegalStateException("attempt " + this.token + " would send a second time");
		}
		this.sendStarted = true;
		this.mayHaveRun = true;
	}

	/**
	 * Records how sending ended.
	 * @param outcome the outcome of sending, not null
	 */
	public void recordSendOutcome(CallOutcome outcome) {
		this.mayHaveRun = outcome.kind() != CallOutcome.Kind.NOT_RUN;
	}

	/**
	 * Checks the answer to the caller.
	 * @param answer the answer, not null
	 * @throws IllegalStateException if it is "not run" although the call may have run
	 */
	public void checkAnswer(CallAnswer answer) {
		if (this.mayHaveRun && answer.outcome().kind() == CallOutcome.Kind.NOT_RUN) {
			throw new IllegalStateException(
					"attempt " + this.token + " may have run but would be answered with \"not run\"");
		}
	}

}
