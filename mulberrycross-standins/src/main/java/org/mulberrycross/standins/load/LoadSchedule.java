package org.mulberrycross.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Generates the requests of a run from a seed. Thread-safe.
 */
public final class LoadSchedule {

	private static final double NANOS_PER_SECOND = 1e9;

	/** Largest deviation of a token or word count from its mean, relative to the mean. */
	private static final double RELATIVE_SPREAD = 0.5;

	private LoadSchedule() {
	}

	/**
	 * Generates Poisson arrivals, that is with exponentially distributed gaps.
	 * @param seed the seed of the random generator; equal seeds give equal requests
	 * @param phases the phases in the order in which they run, not null
	 * @param mix the distribution of the request parameters, not null
	 * @return the requests in the order in which they are due
	 */
	public static List<PlannedRequest> generate(long seed, List<LoadPhase> phases, LoadMix mix) {
		RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
		List<PlannedRequest> requests = new ArrayList<>();
		double startNanos = 0;
		for (LoadPhase phase : phases) {
			double endNanos = startNanos + phase.duration().toNanos();
			double dueNanos = startNanos + sampleGapNanos(random, phase);
			while (dueNanos < endNanos) {
				requests.add(generateRequest(random, requests.size(), (long) dueNanos, mix));
				dueNanos += sampleGapNanos(random, phase);
			}
			startNanos = endNanos;
		}
		return requests;
	}

	private static double sampleGapNanos(RandomGenerator random, LoadPhase phase) {
		return random.nextExponential() / phase.rate() * NANOS_PER_SECOND;
	}

	private static PlannedRequest generateRequest(RandomGenerator random, int index, long dueNanos, LoadMix mix) {
		boolean longRequest = random.nextDouble() < mix.longFraction();
		int maxTokens = sampleAround(random, longRequest ? mix.longTokens() : mix.shortTokens());
		LoadMix.Pipeline pipeline = pickWeighted(random, mix.pipelines(),
				mix.pipelines().stream().mapToDouble(LoadMix.Pipeline::weight).toArray());
		LoadMix.Team team = pickWeighted(random, mix.teams(),
				mix.teams().stream().mapToDouble(LoadMix.Team::weight).toArray());
		return new PlannedRequest(index, dueNanos, pipeline, team,
				generatePrompt(random, index, sampleAround(random, mix.promptWords())), maxTokens, longRequest);
	}

	private static String generatePrompt(RandomGenerator random, int index, int words) {
		return Stream
			.concat(Stream.of("request-" + index),
					Stream.generate(() -> Integer.toString(random.nextInt(10_000), Character.MAX_RADIX)).limit(words))
			.collect(Collectors.joining(" "));
	}

	private static int sampleAround(RandomGenerator random, int mean) {
		return Math.max(1, (int) Math.round(mean * random.nextDouble(1 - RELATIVE_SPREAD, 1 + RELATIVE_SPREAD)));
	}

	// Returns a random item; the probability of an item is proportional to its weight.
	private static <T> T pickWeighted(RandomGenerator random, List<T> items, double[] weights) {
		double weightSum = 0;
		for (double weight : weights) {
			weightSum += weight;
		}
		double remaining = random.nextDouble() * weightSum;
		for (int i = 0; i < weights.length; i++) {
			remaining -= weights[i];
			if (remaining < 0) {
				return items.get(i);
			}
		}
		return items.get(items.size() - 1);
	}

}
