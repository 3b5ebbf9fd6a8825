package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.mulberrycross.Address;
import org.mulberrycross.engine.RateLimit;

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
 * @param leaving whether the upstream announces that it leaves
 * @param rest the time for which the upstream asks for no requests, or empty, not null
 * @param limit the limit on requests that the upstream names, or empty, not null
 * @param unlimited whether the upstream states that it has no limit on requests; an
 * answer may state neither
 */
public record UpstreamResponseHead(Optional<String> requestId, boolean signed, boolean notExecuted, boolean misdirected,
		Optional<Address> faultyEngine, boolean compressed, boolean leaving, Optional<Duration> rest,
		Optional<RateLimit> limit, boolean unlimited) {

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
	 * @param leaving whether the upstream announces that it leaves
	 * @param rest the time for which the upstream asks for no requests, or empty, not
	 * null
	 * @param limit the limit on requests that the upstream names, or empty, not null
	 * @param unlimited whether the upstream states that it has no limit on requests
	 */
	public UpstreamResponseHead {
		Objects.requireNonNull(requestId, "requestId");
		Objects.requireNonNull(faultyEngine, "faultyEngine");
		Objects.requireNonNull(rest, "rest");
		Objects.requireNonNull(limit, "limit");
	}

}
