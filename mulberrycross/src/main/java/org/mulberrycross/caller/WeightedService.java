package org.mulberrycross.caller;

import java.util.Objects;

/**
 * A service that takes a share of a route's requests. Immutable and thread-safe.
 *
 * @param service the name of the service, not null
 * @param weight the share relative to the other services of the route, at least 0
 */
public record WeightedService(String service, double weight) {

	/**
	 * Creates a share.
	 * @param service the name of the service, not null
	 * @param weight the share, at least 0
	 */
	public WeightedService {
		Objects.requireNonNull(service, "service");
		if (!(weight >= 0)) {
			throw new IllegalArgumentException("weight " + weight + " is negative");
		}
	}

}
