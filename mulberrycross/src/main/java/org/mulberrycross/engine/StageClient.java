package org.mulberrycross.engine;

import java.time.Duration;

import org.mulberrycross.PeerException;

/**
 * Runs steps on an engine. Implementations are thread-safe and block until the reply or
 * the timeout.
 */
@FunctionalInterface
public interface StageClient {

	/**
	 * Runs one step.
	 * @param stage the stage whose engine runs it, not null
	 * @param request the step, not null
	 * @param timeout the maximum wait, positive
	 * @return the reply as received; the caller checks that it belongs to the step
	 * @throws org.mulberrycross.NotRunException if the engine did not receive or refused
	 * the step
	 * @throws org.mulberrycross.OutcomeUnknownException if no reply came in time
	 * @throws PeerException if the reply could not be decoded
	 */
	StepReply step(Stage stage, StepRequest request, Duration timeout) throws PeerException;

}
