package org.mulberrycross.router.relay;

import java.util.Objects;

import org.mulberrycross.platform.ObjectStore;

/**
 * The parts of the router that depend on the platform. Immutable and thread-safe.
 *
 * @param store the platform's store, not null
 * @param configurationKind the object kind of the configuration, not null
 * @param configurationDecoder decodes the configuration, not null
 * @param upstreamKind the object kind of upstream entries, not null
 * @param upstreamDecoder decodes an upstream entry, not null
 * @param messageFormat the wire format of requests and responses, not null
 * @param placementClient sends placement orders to engines, not null
 * @param engineReporter asks engines for their reports, not null
 */
public record PlatformAdapter(ObjectStore store, String configurationKind,
		ObjectDecoder<ServingConfiguration> configurationDecoder, String upstreamKind,
		ObjectDecoder<DirectoryEntry> upstreamDecoder, MessageFormat messageFormat, PlacementClient placementClient,
		EngineReporter engineReporter) {

	/**
	 * Creates an adapter.
	 * @param store the platform's store, not null
	 * @param configurationKind the object kind of the configuration, not null
	 * @param configurationDecoder decodes the configuration, not null
	 * @param upstreamKind the object kind of upstream entries, not null
	 * @param upstreamDecoder decodes an upstream entry, not null
	 * @param messageFormat the wire format of requests and responses, not null
	 * @param placementClient sends placement orders to engines, not null
	 * @param engineReporter asks engines for their reports, not null
	 */
	public PlatformAdapter {
		Objects.requireNonNull(store, "store");
		Objects.requireNonNull(configurationKind, "configurationKind");
		Objects.requireNonNull(configurationDecoder, "configurationDecoder");
		Objects.requireNonNull(upstreamKind, "upstreamKind");
		Objects.requireNonNull(upstreamDecoder, "upstreamDecoder");
		Objects.requireNonNull(messageFormat, "messageFormat");
		Objects.requireNonNull(placementClient, "placementClient");
		Objects.requireNonNull(engineReporter, "engineReporter");
	}

}
