package org.mulberrycross;

import java.util.Objects;

/**
 * Running instance of an upstream, as listed by the platform. Immutable and thread-safe.
 *
 * @param id the id, which changes when the upstream restarts, not null
 * @param service the name of the service that it belongs to, not null
 * @param address the address that it listens on, not null
 * @param dataCentre the data centre that it runs in, not null
 * @param leaving whether it must receive no new requests
 * @param slots the number of requests that it runs concurrently, 0 if unknown
 * @param startedMillis the start time in Unix milliseconds, 0 if unknown
 */
public record UpstreamInstance(String id, String service, Address address, String dataCentre, boolean leaving,
		int slots, long startedMillis) {

	/**
	 * Creates an instance.
	 * @param id the id, which changes when the upstream restarts, not null
	 * @param service the name of the service that it belongs to, not null
	 * @param address the address that it listens on, not null
	 * @param dataCentre the data centre that it runs in, not null
	 * @param leaving whether it must receive no new requests
	 * @param slots the number of requests that it runs concurrently, 0 if unknown
	 * @param startedMillis the start time in Unix milliseconds, 0 if unknown
	 */
	public UpstreamInstance {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(dataCentre, "dataCentre");
	}

}
