package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.mulberrycross.UpstreamInstance;
import org.mulberrycross.engine.EnginePath;
import org.mulberrycross.sibling.Sibling;

/**
 * Destination and added metadata of a forwarded request. Immutable and thread-safe.
 *
 * @param upstream the instance that the request is sent to, not null
 * @param remaining the time until the deadline, not null
 * @param team the team of the client's API key, or empty, not null
 * @param path the engines that execute it, or empty for a plain service, not null
 * @param lastEventId the event id after which a stream resumes, or empty, not null
 * @param priority the rank of the request at the upstream, 0 for the most urgent, or
 * empty to leave it to the upstream, not null
 * @param sibling the sibling that passes the request on to an upstream, in which case the
 * instance stands for the sibling, or empty, not null
 */
public record Forwarding(UpstreamInstance upstream, Duration remaining, Optional<String> team,
		Optional<EnginePath> path, OptionalLong lastEventId, OptionalInt priority, Optional<Sibling> sibling) {

	/**
	 * Creates a forwarding.
	 * @param upstream the instance that the request is sent to, not null
	 * @param remaining the time until the deadline, not null
	 * @param team the team of the client's API key, or empty, not null
	 * @param path the engines that execute the request, or empty, not null
	 * @param lastEventId the event id after which a stream resumes, or empty, not null
	 * @param priority the rank of the request, or empty, not null
	 * @param sibling the sibling that passes the request on, or empty, not null
	 */
	public Forwarding {
		Objects.requireNonNull(upstream, "upstream");
		Objects.requireNonNull(remaining, "remaining");
		Objects.requireNonNull(team, "team");
		Objects.requireNonNull(path, "path");
		Objects.requireNonNull(lastEventId, "lastEventId");
		Objects.requireNonNull(priority, "priority");
		Objects.requireNonNull(sibling, "sibling");
	}

	/**
	 * Creates a forwarding that leaves the rank of the request to the upstream.
	 * @param upstream the instance that the request is sent to, not null
	 * @param remaining the time until the deadline, not null
	 * @param team the team of the client's API key, or empty, not null
	 * @param path the engines that execute the request, or empty, not null
	 * @param lastEventId the event id after which a stream resumes, or empty, not null
	 */
	public Forwarding(UpstreamInstance upstream, Duration remaining, Optional<String> team, Optional<EnginePath> path,
			OptionalLong lastEventId) {
		this(upstream, remaining, team, path, lastEventId, OptionalInt.empty(), Optional.empty());
	}

	/**
	 * Creates a forwarding to a sibling, which decides on everything else.
	 * @param sibling the sibling, not null
	 * @param service a service of the route, not null
	 * @param remaining the time until the deadline, not null
	 * @param lastEventId the event id after which a stream resumes, or empty, not null
	 * @return the forwarding, whose upstream has the name and address of the sibling
	 */
	static Forwarding to(Sibling sibling, String service, Duration remaining, OptionalLong lastEventId) {
		UpstreamInstance instance = new UpstreamInstance(sibling.name(), service, sibling.address(),
				sibling.dataCentre(), false, 0, 0);
		return new Forwarding(instance, remaining, Optional.empty(), Optional.empty(), lastEventId, OptionalInt.empty(),
				Optional.of(sibling));
	}

	/**
	 * Returns the same forwarding with a rank.
	 * @param rank the rank, 0 for the most urgent
	 * @return the forwarding
	 */
	public Forwarding withPriority(int rank) {
		return new Forwarding(this.upstream, this.remaining, this.team, this.path, this.lastEventId,
				OptionalInt.of(rank), this.sibling);
	}

}
