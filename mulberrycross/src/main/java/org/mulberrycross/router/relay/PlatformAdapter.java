package org.mulberrycross.router.relay;

import java.util.Objects;

import org.mulberrycross.platform.ObjectStore;

/**
 * What a platform supplies. Immutable and thread-safe.
 *
 * @param store the platform's store, not null
 * @param configurationKind the kind of the objects that hold the configuration, not null
 * @param configuration decodes the configuration, not null
 * @param upstreamKind the kind of the objects that name upstreams, not null
 * @param upstream decodes an upstream's entry, not null
 * @param messages the format of requests and answers, not null
 * @param placements sends orders to engines, not null
 * @param stalls asks engines what holds up their requests, not null
 */
public record PlatformAdapter(ObjectStore store, String configurationKind,
		EntryDecoder<ServingConfiguration> configuration, String upstreamKind, EntryDecoder<DirectoryEntry> upstream,
		MessageFormat messages, PlacementClient placements, StallReporter stalls) {

	/**
	 * Creates an adapter.
	 * @param store the platform's store, not null
	 * @param configurationKind the kind of the objects that hold the configuration, not
	 * null
	 * @param configuration decodes the configuration, not null
	 * @param upstreamKind the kind of the objects that name upstreams, not null
	 * @param upstream decodes an upstream's entry, not null
	 * @param messages the format of requests and answers, not null
	 * @param placements sends orders to engines, not null
	 * @param stalls asks engines what holds up their requests, not null
	 */
	public PlatformAdapter {
		Objects.requireNonNull(store, "store");
		Objects.requireNonNull(configurationKind, "configurationKind");
		Objects.requireNonNull(configuration, "configuration");
		Objects.requireNonNull(upstreamKind, "upstreamKind");
		Objects.requireNonNull(upstream, "upstream");
		Objects.requireNonNull(messages, "messages");
		Objects.requireNonNull(placements, "placements");
		Objects.requireNonNull(stalls, "stalls");
	}

}
