package org.mulberrycross.standins.engine;

import java.util.Objects;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;

/**
 * Switches that inject faults into an engine stand-in. Orders are affected only by a
 * crash. Thread-safe.
 */
public final class EngineFaults {

	/** Value of {@code connectionGeneration} at the first request of a connection. */
	private static final Attribute<Integer> FIRST_GENERATION = Grizzly.DEFAULT_ATTRIBUTE_BUILDER
		.createAttribute(EngineFaults.class.getName());

	private final Runnable crashAction;

	private volatile int connectionGeneration;

	private volatile boolean frozen;

	private volatile boolean refusingSteps;

	private volatile long delayMillis;

	private volatile int staleReplyInterval;

	/**
	 * Creates switches that are all off.
	 * @param crashAction ends the engine without any further reply, not null
	 */
	public EngineFaults(Runnable crashAction) {
		this.crashAction = Objects.requireNonNull(crashAction, "crashAction");
	}

	/**
	 * Ends the engine abruptly, without a reply to the requests in flight.
	 */
	public void crash() {
		this.crashAction.run();
	}

	/**
	 * Sets whether all requests are left without a reply.
	 * @param frozen true to leave them without a reply, false to reply again
	 */
	public void setFrozen(boolean frozen) {
		this.frozen = frozen;
	}

	/**
	 * Leaves all later requests without a reply on the connections that carried a request
	 * before this call. Other connections are not affected.
	 */
	public void silenceOpenConnections() {
		this.connectionGeneration++;
	}

	/**
	 * Sets whether all steps are refused. Other calls, such as the export of a cache,
	 * still work.
	 * @param refusing true to refuse steps
	 */
	public void setRefusingSteps(boolean refusing) {
		this.refusingSteps = refusing;
	}

	/**
	 * Sets the delay of the replies to steps.
	 * @param delayMillis the delay in milliseconds, 0 for none
	 */
	public void setDelayMillis(long delayMillis) {
		this.delayMillis = delayMillis;
	}

	/**
	 * Sets how often a step gets a stale reply, which is the reply to the step that
	 * finished before it.
	 * @param interval the number of steps from one stale reply to the next, 0 for none
	 */
	public void setStaleReplyInterval(int interval) {
		this.staleReplyInterval = interval;
	}

	/**
	 * Returns whether requests on a connection are left without a reply. Must be called
	 * for each request, since the first call records the generation of the connection.
	 * @param connection the connection of the request
	 * @return true if the request must not be answered
	 */
	boolean isUnresponsive(Connection<?> connection) {
		Integer firstGeneration = FIRST_GENERATION.get(connection);
		if (firstGeneration == null) {
			FIRST_GENERATION.set(connection, this.connectionGeneration);
			return this.frozen;
		}
		return this.frozen || firstGeneration < this.connectionGeneration;
	}

	boolean isRefusingSteps() {
		return this.refusingSteps;
	}

	long delayMillis() {
		return this.delayMillis;
	}

	boolean isStaleReply(long stepNumber) {
		return this.staleReplyInterval > 0 && stepNumber % this.staleReplyInterval == 0;
	}

}
