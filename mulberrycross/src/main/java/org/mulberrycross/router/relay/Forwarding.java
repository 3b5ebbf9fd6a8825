package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.mulberrycross.UpstreamInstance;
import org.mulberrycross.engine.EnginePath;

/**
 * Destination and added metadata of a forwarded request. Immutable and thread-safe.
 *
 * @param upstream the instance that the request is sent to, not null
 * @param remaining the time until the deadline, not null
 * @param team the team of the client's API key, or empty, not null
 * @param path the engines that execute it, or empty for a plain service, not null
 * @param lastEventId the event id after which a stream resumes, or empty, not null
 */
public record Forwarding(UpstreamInstance upstream, Duration remaining, Optional<String> team,
		Optional<EnginePath> path, OptionalLong lastEventId) {

	/**
	 * Creates a forwarding.
	 * @param upstream the instance that the request is sent to, not null
	 * @param remaining the time until the deadline, not null
	 * @param team the team of the client's API key, or empty, not null
	 * @param path the engines that execute the request, or empty, not null
	 * @param lastEventId the event id after which a stream resumes, or empty, not null
	 */
	public Forwarding {
		Objects.requireNonNull(upstream, "upstream");
		Objects.requireNonNull(remaining, "remaining");
		Objects.requireNonNull(team, "team");
		Objects.requireNonNull(path, "path");
		Objects.requireNonNull(lastEventId, "lastEventId");
	}

}
