package org.mulberrycross.service;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.mulberrycross.operator.UpstreamObject;

/**
 * Chooses among the upstreams of a service. Implementations are thread-safe.
 */
@FunctionalInterface
public interface ServicePolicy {

	/**
	 * Chooses an upstream.
	 * @param candidates the upstreams that may get the call, not null
	 * @param random the source of random numbers, not null
	 * @return the choice, or empty if there is no candidate
	 */
	Optional<UpstreamObject> choose(List<UpstreamObject> candidates, RandomGenerator random);

	/**
	 * Returns a policy that gives each candidate the same share.
	 * @return the policy
	 */
	static ServicePolicy uniform() {
		return (candidates, random) -> candidates.isEmpty() ? Optional.empty()
				: Optional.of(candidates.get(random.nextInt(candidates.size())));
	}

}
