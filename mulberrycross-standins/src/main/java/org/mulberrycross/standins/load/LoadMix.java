package org.mulberrycross.standins.load;

import java.util.List;

/**
 * What the requests of a run are like. Immutable and thread-safe.
 *
 * @param pipelines the pipelines, drawn in proportion to their weights
 * @param teams the teams, drawn in proportion to their weights
 * @param promptWords the mean number of words of a prompt
 * @param shortTokens the mean number of tokens of a short answer
 * @param longTokens the mean number of tokens of a long answer
 * @param longShare the share of long requests, 0 to 1
 */
public record LoadMix(List<Pipeline> pipelines, List<Team> teams, int promptWords, int shortTokens, int longTokens,
		double longShare) {

	/**
	 * A pipeline and what is needed to check its answers.
	 *
	 * @param name the name
	 * @param layers the number of layers of its model
	 * @param version the model version
	 * @param weight the weight in the draw
	 */
	public record Pipeline(String name, int layers, String version, double weight) {

	}

	/**
	 * A team.
	 *
	 * @param name the name
	 * @param key the API key
	 * @param weight the weight in the draw
	 */
	public record Team(String name, String key, double weight) {

	}

}
