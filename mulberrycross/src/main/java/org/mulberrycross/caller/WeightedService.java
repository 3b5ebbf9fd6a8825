package org.mulberrycross.caller;

import java.util.Objects;

/**
 * A service that receives a share of a route's requests. Immutable and thread-safe.
 *
 * @param service the name of the service, not null
 * @param weight the weight relative to the other services of the route, at least 0
 */
public record WeightedService(String service, double weight) {

	/**
	 * Creates a weighted service.
	 * @param service the name of the service, not null
	 * @param weight the relative weight, at least 0
	 */
	public WeightedService {
		Objects.requireNonNull(service, "service");
		if (!(weight >= 0)) {
			throw new IllegalArgumentException(
					"weight " + weight + " of service " + service + " is negative or not a number");
		}
	}

}
