package org.mulberrycross.caller;

import java.util.Objects;

/**
 * What is known of the output of a request before it runs. Immutable and thread-safe.
 *
 * @param team the name of the team, empty if unknown, not null
 * @param route the name of the route or pipeline, not null
 * @param hintTokens the client's estimate of the output tokens, 0 if it sent none
 * @param maxTokens the maximum number of tokens to generate, 0 if unknown
 * @param usualTokens the mean output of the service as configured, 0 if unknown
 */
public record OutputBasis(String team, String route, int hintTokens, int maxTokens, double usualTokens) {

	/**
	 * Creates a basis.
	 * @param team the name of the team, empty if unknown, not null
	 * @param route the name of the route or pipeline, not null
	 * @param hintTokens the client's estimate of the output tokens, 0 if it sent none
	 * @param maxTokens the maximum number of tokens to generate, 0 if unknown
	 * @param usualTokens the mean output of the service as configured, 0 if unknown
	 */
	public OutputBasis {
		Objects.requireNonNull(team, "team");
		Objects.requireNonNull(route, "route");
		hintTokens = Math.max(0, hintTokens);
		maxTokens = Math.max(0, maxTokens);
	}

}
