package org.mulberrycross.standins.load;

import java.util.List;

/**
 * Distribution of the request parameters of a run. Immutable and thread-safe.
 *
 * @param pipelines the pipelines, chosen at random in proportion to their weights
 * @param teams the teams, chosen at random in proportion to their weights
 * @param promptWords the mean number of words of a prompt
 * @param shortTokens the mean number of tokens of a short answer
 * @param longTokens the mean number of tokens of a long answer
 * @param longFraction the fraction of requests with long answers, 0 to 1
 */
public record LoadMix(List<Pipeline> pipelines, List<Team> teams, int promptWords, int shortTokens, int longTokens,
		double longFraction) {

	/**
	 * A pipeline with the parameters that the reference model needs to check its answers.
	 *
	 * @param name the name of the pipeline, sent as the model of a request
	 * @param layers the number of layers of its model
	 * @param version the model version
	 * @param weight the relative frequency with which it is chosen
	 */
	public record Pipeline(String name, int layers, String version, double weight) {

	}

	/**
	 * A team on whose behalf requests are sent.
	 *
	 * @param name the name of the team
	 * @param key the API key, sent as bearer token
	 * @param weight the relative frequency with which it is chosen
	 */
	public record Team(String name, String key, double weight) {

	}

}
