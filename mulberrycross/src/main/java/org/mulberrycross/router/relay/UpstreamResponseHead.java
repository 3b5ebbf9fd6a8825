package org.mulberrycross.router.relay;

import java.util.Objects;
import java.util.Optional;

import org.mulberrycross.Address;

/**
 * Decoded head of an upstream's response. Immutable and thread-safe.
 *
 * @param requestId the id of the request that was answered, or empty, not null
 * @param signed whether the response carries the upstream's signature
 * @param notExecuted whether the upstream states that it did not execute the request
 * @param misdirected whether the upstream states that it is not the expected instance or
 * does not hold the requested layers
 * @param faultyEngine the engine that caused the failure of a path, or empty, not null
 * @param compressed whether the body is compressed, which the upstream itself does not do
 */
public record UpstreamResponseHead(Optional<String> requestId, boolean signed, boolean notExecuted, boolean misdirected,
		Optional<Address> faultyEngine, boolean compressed) {

	/**
	 * Creates a decoded head.
	 * @param requestId the id of the request that was answered, or empty, not null
	 * @param signed whether the response carries the upstream's signature
	 * @param notExecuted whether the upstream states that it did not execute the request
	 * @param misdirected whether the upstream states that it is not the expected instance
	 * or does not hold the requested layers
	 * @param faultyEngine the engine that caused the failure of a path, or empty, not
	 * null
	 * @param compressed whether the body is compressed
	 */
	public UpstreamResponseHead {
		Objects.requireNonNull(requestId, "requestId");
		Objects.requireNonNull(faultyEngine, "faultyEngine");
	}

}
