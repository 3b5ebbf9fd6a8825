package org.mulberrycross.caller;

/**
 * Limits and shares of admission. Immutable and thread-safe.
 *
 * @param fair whether requests are queued by team and work class and refused early; if
 * false, all requests form one queue in order of arrival without team limits
 * @param maxRunning the number of requests that may run at the same time, at least 1
 * @param maxQueued the number of requests that may wait, 0 or more
 * @param shortReserve the share of the capacity that long work leaves free for short work
 * while it runs above its guaranteed share, from 0 to 1
 * @param longShare the share of the running requests of a pipeline that long work gets
 * while it waits, from 0 to 1; at least one request
 */
public record AdmissionSettings(boolean fair, int maxRunning, int maxQueued, double shortReserve, double longShare) {

	private static final double SHORT_RESERVE = 0.25;

	private static final double LONG_SHARE = 0.25;

	/**
	 * Creates settings.
	 * @param fair whether requests are queued by team and work class
	 * @param maxRunning the number of requests that may run at the same time
	 * @param maxQueued the number of requests that may wait
	 * @param shortReserve the share that long work leaves free
	 * @param longShare the share that long work is guaranteed
	 * @throws IllegalArgumentException if a value is out of its range, or the two shares
	 * add up to more than 1
	 */
	public AdmissionSettings {
		if (maxRunning < 1 || maxQueued < 0) {
			throw new IllegalArgumentException("maxRunning " + maxRunning + ", maxQueued " + maxQueued);
		}
		if (shortReserve < 0 || longShare < 0 || shortReserve + longShare > 1) {
			throw new IllegalArgumentException("shortReserve " + shortReserve + ", longShare " + longShare);
		}
	}

	/**
	 * Returns settings for one queue in order of arrival.
	 * @param maxRunning the number of requests that may run at the same time
	 * @param maxQueued the number of requests that may wait
	 * @return the settings
	 */
	public static AdmissionSettings fifo(int maxRunning, int maxQueued) {
		return new AdmissionSettings(false, maxRunning, maxQueued, 0, 0);
	}

	/**
	 * Returns settings for fair queues with the default shares.
	 * @param maxRunning the number of requests that may run at the same time
	 * @param maxQueued the number of requests that may wait
	 * @return the settings
	 */
	public static AdmissionSettings fair(int maxRunning, int maxQueued) {
		return new AdmissionSettings(true, maxRunning, maxQueued, SHORT_RESERVE, LONG_SHARE);
	}

}
