package org.mulberrycross.router.relay;

import java.util.Objects;
import java.util.Optional;

import org.mulberrycross.Address;

/**
 * The decoded head of an upstream's response, without the status. Immutable and
 * thread-safe.
 *
 * @param requestId the id of the request that the response belongs to, or empty, not null
 * @param signed whether the response carries the upstream's signature
 * @param notRun whether the upstream states that it did not execute the request
 * @param faulty the engine that caused the failure of a path, or empty, not null
 * @param encoded whether the body is compressed and so not as the upstream sent it
 */
public record UpstreamAnswer(Optional<String> requestId, boolean signed, boolean notRun, Optional<Address> faulty,
		boolean encoded) {

	/**
	 * Creates a decoded head.
	 * @param requestId the id of the request that the response belongs to, or empty, not
	 * null
	 * @param signed whether the response carries the upstream's signature
	 * @param notRun whether the upstream states that it did not execute the request
	 * @param faulty the engine that caused the failure of a path, or empty, not null
	 * @param encoded whether the body is compressed
	 */
	public UpstreamAnswer {
		Objects.requireNonNull(requestId, "requestId");
		Objects.requireNonNull(faulty, "faulty");
	}

}
