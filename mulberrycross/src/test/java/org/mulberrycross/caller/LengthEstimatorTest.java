package org.mulberrycross.caller;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against estimates of output lengths that don't follow what streams produce.
 * Pattern: a hint that is right at the median and off by a factor of 3 for a third of the
 * requests, outputs far below the requested maximum, and teams that differ.
 */
class LengthEstimatorTest {

	private static final int DECILES = 10;

	/** Fails if the mean or the spread of the estimates is off in a decile. */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void estimatesAreCalibratedByDecile(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		LengthEstimator estimator = new LengthEstimator(100);
		List<double[]> predictedAndReal = new ArrayList<>();
		int aboveHigh = 0;
		for (int i = 0; i < 6000; i++) {
			int hint = 20 + random.nextInt(400);
			OutputBasis basis = new OutputBasis("team" + random.nextInt(4), "route", hint, 4000, 0);
			double error = (random.nextInt(3) > 0) ? 1 : (random.nextBoolean() ? 3 : 1.0 / 3);
			double real = hint * error;
			OutputEstimate estimate = estimator.estimate(basis);
			estimator.recordLength(basis, real);
			if (i >= 1000) {
				predictedAndReal.add(new double[] { estimate.expected(), real });
				aboveHigh += (real > estimate.high()) ? 1 : 0;
			}
		}
		predictedAndReal.sort(Comparator.comparingDouble((pair) -> pair[0]));
		int size = predictedAndReal.size() / DECILES;
		for (int decile = 0; decile < DECILES; decile++) {
			List<double[]> pairs = predictedAndReal.subList(decile * size, (decile + 1) * size);
			double predicted = pairs.stream().mapToDouble((pair) -> pair[0]).sum();
			double real = pairs.stream().mapToDouble((pair) -> pair[1]).sum();
			assertThat(real / predicted).isWithin(0.25).of(1);
		}
		assertThat(aboveHigh / (double) predictedAndReal.size()).isLessThan(0.15);
	}

	/** Fails if a team with outputs of its own is estimated like all others for good. */
	@Test
	void followsTeamThatDiffers() {
		LengthEstimator estimator = new LengthEstimator(100);
		for (int i = 0; i < 300; i++) {
			estimator.recordLength(new OutputBasis("long", "route", 0, 1000, 500), 900);
			estimator.recordLength(new OutputBasis("short", "route", 0, 1000, 500), 100);
		}
		assertThat(estimator.estimate(new OutputBasis("long", "route", 0, 1000, 500)).expected()).isWithin(60).of(900);
		assertThat(estimator.estimate(new OutputBasis("short", "route", 0, 1000, 500)).expected()).isWithin(60).of(100);
		assertThat(estimator.estimate(new OutputBasis("new", "route", 0, 1000, 500)).expected()).isWithin(100).of(500);
		for (int i = 0; i < 300; i++) {
			estimator.recordLength(new OutputBasis("short", "route", 0, 1000, 500), 600);
		}
		assertThat(estimator.estimate(new OutputBasis("short", "route", 0, 1000, 500)).expected()).isWithin(60).of(600);
	}

	/** Fails if a request without history is taken as free, or exceeds its maximum. */
	@Test
	void usesDeclaredAmountsWithoutHistory() {
		LengthEstimator estimator = new LengthEstimator(100);
		assertThat(estimator.estimate(new OutputBasis("t", "r", 0, 80, 0))).isEqualTo(new OutputEstimate(80, 80));
		assertThat(estimator.estimate(new OutputBasis("t", "r", 0, 80, 60))).isEqualTo(new OutputEstimate(60, 80));
		assertThat(estimator.estimate(new OutputBasis("t", "r", 30, 80, 60))).isEqualTo(new OutputEstimate(30, 80));
		assertThat(estimator.estimate(new OutputBasis("t", "r", 90, 80, 60))).isEqualTo(new OutputEstimate(80, 80));
		assertThat(estimator.estimate(new OutputBasis("t", "r", 0, 0, 0))).isEqualTo(new OutputEstimate(0, 0));
	}

}
