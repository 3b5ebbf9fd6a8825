package org.mulberrycross;

import java.util.Objects;

/**
 * One running upstream as the platform's list names it. Immutable and thread-safe.
 *
 * @param id the id of this incarnation, not null
 * @param service the service that it belongs to, not null
 * @param address where it listens, not null
 * @param dataCentre the data centre that it runs in, not null
 * @param leaving whether it takes no new work
 * @param slots the number of requests that it runs at the same time, 0 if unknown
 * @param startedMillis when it started, in Unix milliseconds, 0 if unknown
 */
public record UpstreamInstance(String id, String service, Address address, String dataCentre, boolean leaving,
		int slots, long startedMillis) {

	/**
	 * Creates an instance.
	 * @param id the id of this incarnation, not null
	 * @param service the service that it belongs to, not null
	 * @param address where it listens, not null
	 * @param dataCentre the data centre that it runs in, not null
	 * @param leaving whether it takes no new work
	 * @param slots the number of requests that it runs at the same time
	 * @param startedMillis when it started, in Unix milliseconds
	 */
	public UpstreamInstance {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(dataCentre, "dataCentre");
	}

}
