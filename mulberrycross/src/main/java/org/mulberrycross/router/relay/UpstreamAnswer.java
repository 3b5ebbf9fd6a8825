package org.mulberrycross.router.relay;

import java.util.Objects;
import java.util.Optional;

import org.mulberrycross.Address;

/**
 * What the head of an upstream's answer says beside its status. Immutable and
 * thread-safe.
 *
 * @param requestId the id of the request that it answers, or empty, not null
 * @param signed whether the upstream vouches for the answer
 * @param notRun whether the upstream says that the request did not run
 * @param faulty the engine that made the path fail, or empty, not null
 * @param encoded whether the body is not the upstream's own, since it is compressed
 */
public record UpstreamAnswer(Optional<String> requestId, boolean signed, boolean notRun, Optional<Address> faulty,
		boolean encoded) {

	/**
	 * Creates an answer.
	 * @param requestId the id of the request that it answers, or empty, not null
	 * @param signed whether the upstream vouches for the answer
	 * @param notRun whether the upstream says that the request did not run
	 * @param faulty the engine that made the path fail, or empty, not null
	 * @param encoded whether the body is compressed
	 */
	public UpstreamAnswer {
		Objects.requireNonNull(requestId, "requestId");
		Objects.requireNonNull(faulty, "faulty");
	}

}
