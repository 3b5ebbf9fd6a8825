package org.mulberrycross.standins.platform;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Faults that the object API shows, and counts of the calls that it got. Thread-safe.
 */
public final class FaultSwitches {

	private static final int PER_MILLE = 1000;

	private final Map<String, Long> calls = new TreeMap<>();

	private Settings settings = new Settings(false, 0, 0, 0);

	private RandomGenerator random = generator(0);

	private static RandomGenerator generator(long seed) {
		return RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
	}

	/**
	 * Sets the faults from now on.
	 * @param next the faults, not null
	 */
	public synchronized void set(Settings next) {
		this.settings = next;
		this.random = generator(next.seed());
	}

	/**
	 * Counts a call.
	 * @param method the name of the method; a waiting watch counts once
	 */
	public synchronized void count(String method) {
		this.calls.merge(method, 1L, Long::sum);
	}

	/**
	 * Returns the number of calls by method since the start.
	 * @return the counts
	 */
	public synchronized Map<String, Long> calls() {
		return new TreeMap<>(this.calls);
	}

	/**
	 * Returns whether every call fails.
	 * @return true if it does
	 */
	public synchronized boolean outage() {
		return this.settings.outage();
	}

	/**
	 * Returns the time by which every call is delayed.
	 * @return the time, zero or positive
	 */
	public synchronized Duration delay() {
		return Duration.ofMillis(this.settings.delayMs());
	}

	/**
	 * Decides whether the answer to a write that took effect is lost.
	 * @return true if it is
	 */
	public synchronized boolean losesAnswer() {
		return this.random.nextInt(PER_MILLE) < this.settings.lostPerMille();
	}

	/**
	 * Faults. Immutable.
	 *
	 * @param outage whether every call fails
	 * @param delayMs the delay of every call, in milliseconds
	 * @param lostPerMille how many of a thousand answers to writes are lost
	 * @param seed chooses which answers are lost
	 */
	public record Settings(boolean outage, int delayMs, int lostPerMille, long seed) {

	}

}
