package org.mulberrycross.standins.platform;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Faults to inject into the object API, and counts of the calls that it received.
 * Thread-safe.
 */
public final class FaultSwitches {

	private static final int PER_MILLE = 1000;

	private final Map<String, Long> callCounts = new TreeMap<>();

	private Settings settings = new Settings(false, 0, 0, 0);

	private RandomGenerator random = seededGenerator(0);

	private static RandomGenerator seededGenerator(long seed) {
		return RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
	}

	/**
	 * Replaces the settings and restarts the random sequence with their seed.
	 * @param newSettings the new settings, not null
	 */
	public synchronized void set(Settings newSettings) {
		this.settings = newSettings;
		this.random = seededGenerator(newSettings.seed());
	}

	/**
	 * Counts a call.
	 * @param method the name of the method; a watch counts once, however long it waits
	 */
	public synchronized void countCall(String method) {
		this.callCounts.merge(method, 1L, Long::sum);
	}

	/**
	 * Returns the number of calls since the start.
	 * @return a copy of the counts, by the name of the method
	 */
	public synchronized Map<String, Long> callCounts() {
		return new TreeMap<>(this.callCounts);
	}

	/**
	 * Returns whether an outage is simulated, in which every call fails.
	 * @return true during an outage
	 */
	public synchronized boolean isOutage() {
		return this.settings.outage();
	}

	/**
	 * Returns the delay of every call.
	 * @return the delay, zero for none
	 */
	public synchronized Duration delay() {
		return Duration.ofMillis(this.settings.delayMs());
	}

	/**
	 * Draws whether the reply to the next write is lost after the write took effect.
	 * @return true if the reply is lost
	 */
	public synchronized boolean losesWriteReply() {
		return this.random.nextInt(PER_MILLE) < this.settings.lostPerMille();
	}

	/**
	 * Settings of the faults. Immutable.
	 *
	 * @param outage whether every call fails
	 * @param delayMs the delay of every call, in milliseconds
	 * @param lostPerMille the share of the replies to writes that are lost, in per mille
	 * @param seed the seed of the sequence that selects the lost replies
	 */
	public record Settings(boolean outage, int delayMs, int lostPerMille, long seed) {

	}

}
