package org.mulberrycross.router.relay;

import java.util.Objects;
import java.util.Optional;

import org.mulberrycross.Address;

/**
 * Decoded head of an upstream's response. Immutable and thread-safe.
 *
 * @param requestId the id of the request that was answered, or empty, not null
 * @param signed whether the response carries the upstream's signature
 * @param notRun whether the upstream states that it did not execute the request
 * @param faulty the engine that caused the failure of a path, or empty, not null
 * @param encoded whether the body is compressed, which the upstream itself does not do
 */
public record UpstreamAnswer(Optional<String> requestId, boolean signed, boolean notRun, Optional<Address> faulty,
		boolean encoded) {

	/**
	 * Creates a decoded head.
	 * @param requestId the id of the request that was answered, or empty, not null
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
