package org.mulberrycross.standins.engine;

import java.util.Objects;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;

/**
 * Switches that make an engine stand-in misbehave. Thread-safe.
 */
public final class EngineFaults {

	private static final Attribute<Integer> FIRST_SEEN = Grizzly.DEFAULT_ATTRIBUTE_BUILDER
		.createAttribute(EngineFaults.class.getName());

	private final Runnable crash;

	private volatile int generation;

	private volatile boolean frozen;

	private volatile boolean refusing;

	private volatile long delayMillis;

	private volatile int staleEvery;

	/**
	 * Creates switches that are all off.
	 * @param crash closes everything at once, not null
	 */
	public EngineFaults(Runnable crash) {
		this.crash = Objects.requireNonNull(crash, "crash");
	}

	/**
	 * Closes everything at once.
	 */
	public void crash() {
		this.crash.run();
	}

	/**
	 * Leaves every request without an answer.
	 * @param on whether to
	 */
	public void freeze(boolean on) {
		this.frozen = on;
	}

	/**
	 * Leaves all requests on the connections that are open now without an answer; later
	 * connections work.
	 */
	public void silenceConnections() {
		this.generation++;
	}

	/**
	 * Refuses every step, while caches can still be exported.
	 * @param on whether to
	 */
	public void refuseSteps(boolean on) {
		this.refusing = on;
	}

	/**
	 * Delays the replies of steps.
	 * @param millis the delay in milliseconds, 0 for none
	 */
	public void delay(long millis) {
		this.delayMillis = millis;
	}

	/**
	 * Answers some steps with the reply of another step that was answered before.
	 * @param every the number of steps from one such reply to the next, 0 for none
	 */
	public void staleReplies(int every) {
		this.staleEvery = every;
	}

	boolean swallows(Connection<?> connection) {
		Integer seen = FIRST_SEEN.get(connection);
		if (seen == null) {
			FIRST_SEEN.set(connection, this.generation);
			return this.frozen;
		}
		return this.frozen || seen < this.generation;
	}

	boolean refusesSteps() {
		return this.refusing;
	}

	long delayMillis() {
		return this.delayMillis;
	}

	boolean staleAt(long step) {
		return this.staleEvery > 0 && step % this.staleEvery == 0;
	}

}
