package org.mulberrycross.service;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.mulberrycross.operator.UpstreamObject;

/**
 * Load-balancing policy for the upstreams of a service. Implementations are thread-safe.
 */
@FunctionalInterface
public interface UpstreamPolicy {

	/**
	 * Chooses the upstream for a call.
	 * @param candidates the eligible upstreams, not null
	 * @param random the random generator of the calling thread, not null
	 * @return the chosen upstream, or empty if there is no candidate
	 */
	Optional<UpstreamObject> choose(List<UpstreamObject> candidates, RandomGenerator random);

	/**
	 * Returns a policy that chooses uniformly at random.
	 * @return the policy
	 */
	static UpstreamPolicy uniform() {
		return (candidates, random) -> candidates.isEmpty() ? Optional.empty()
				: Optional.of(candidates.get(random.nextInt(candidates.size())));
	}

}
