package org.mulberrycross.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Draws the requests of a run from a seed. Thread-safe.
 */
public final class LoadSchedule {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double SPREAD = 0.5;

	private LoadSchedule() {
	}

	/**
	 * Draws arrivals with exponential gaps.
	 * @param seed the seed; the same seed gives the same requests
	 * @param phases the phases in order, not null
	 * @param mix what the requests are like, not null
	 * @return the requests in the order of their times
	 */
	public static List<PlannedRequest> draw(long seed, List<LoadPhase> phases, LoadMix mix) {
		RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
		List<PlannedRequest> requests = new ArrayList<>();
		double start = 0;
		for (LoadPhase phase : phases) {
			double end = start + phase.duration().toNanos();
			double at = start + gap(random, phase);
			while (at < end) {
				requests.add(request(random, requests.size(), (long) at, mix));
				at += gap(random, phase);
			}
			start = end;
		}
		return requests;
	}

	private static double gap(RandomGenerator random, LoadPhase phase) {
		return random.nextExponential() / phase.rate() * NANOS_PER_SECOND;
	}

	private static PlannedRequest request(RandomGenerator random, int number, long at, LoadMix mix) {
		boolean longRequest = random.nextDouble() < mix.longShare();
		int tokens = around(random, longRequest ? mix.longTokens() : mix.shortTokens());
		LoadMix.Pipeline pipeline = pick(random, mix.pipelines(),
				mix.pipelines().stream().mapToDouble(LoadMix.Pipeline::weight).toArray());
		LoadMix.Team team = pick(random, mix.teams(), mix.teams().stream().mapToDouble(LoadMix.Team::weight).toArray());
		return new PlannedRequest(number, at, pipeline, team, prompt(random, number, around(random, mix.promptWords())),
				tokens, longRequest);
	}

	private static String prompt(RandomGenerator random, int number, int words) {
		return Stream
			.concat(Stream.of("request-" + number),
					Stream.generate(() -> Integer.toString(random.nextInt(10_000), Character.MAX_RADIX)).limit(words))
			.collect(Collectors.joining(" "));
	}

	private static int around(RandomGenerator random, int mean) {
		return Math.max(1, (int) Math.round(mean * random.nextDouble(1 - SPREAD, 1 + SPREAD)));
	}

	private static <T> T pick(RandomGenerator random, List<T> items, double[] weights) {
		double sum = 0;
		for (double weight : weights) {
			sum += weight;
		}
		double left = random.nextDouble() * sum;
		for (int i = 0; i < weights.length; i++) {
			left -= weights[i];
			if (left < 0) {
				return items.get(i);
			}
		}
		return items.get(items.size() - 1);
	}

}
