package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.mulberrycross.UpstreamInstance;
import org.mulberrycross.engine.EnginePath;

/**
 * What the router adds to a request that it forwards. Immutable and thread-safe.
 *
 * @param upstream the instance that gets the request, not null
 * @param remaining how long an answer is still of use, not null
 * @param team the team of the client's key, or empty, not null
 * @param path the engines that the request passes through, or empty for a plain service,
 * not null
 * @param lastEventId the event after which a stream goes on, or empty, not null
 */
public record Forwarding(UpstreamInstance upstream, Duration remaining, Optional<String> team,
		Optional<EnginePath> path, OptionalLong lastEventId) {

	/**
	 * Creates a forwarding.
	 * @param upstream the instance that gets the request, not null
	 * @param remaining how long an answer is still of use, not null
	 * @param team the team of the client's key, or empty, not null
	 * @param path the engines that the request passes through, or empty, not null
	 * @param lastEventId the event after which a stream goes on, or empty, not null
	 */
	public Forwarding {
		Objects.requireNonNull(upstream, "upstream");
		Objects.requireNonNull(remaining, "remaining");
		Objects.requireNonNull(team, "team");
		Objects.requireNonNull(path, "path");
		Objects.requireNonNull(lastEventId, "lastEventId");
	}

}
