package org.mulberrycross.caller;

/**
 * Limits and capacity shares of {@link Admission}. Immutable and thread-safe.
 *
 * @param fair whether requests are queued by team and work class and rejected early; if
 * false, all requests share one queue in order of arrival, without team limits
 * @param maxRunning the maximum number of concurrent requests, at least 1
 * @param maxQueued the maximum number of queued requests, 0 or more
 * @param shortReserve the share of the capacity, from 0 to 1, that long work leaves free
 * for short work while it runs above its guaranteed share
 * @param longShare the share of the running requests of a pipeline, from 0 to 1, that is
 * guaranteed to queued long work; always at least one request
 */
public record AdmissionSettings(boolean fair, int maxRunning, int maxQueued, double shortReserve, double longShare) {

	private static final double DEFAULT_SHORT_RESERVE = 0.25;

	private static final double DEFAULT_LONG_SHARE = 0.25;

	/**
	 * Creates settings.
	 * @param fair whether requests are queued by team and work class
	 * @param maxRunning the maximum number of concurrent requests
	 * @param maxQueued the maximum number of queued requests
	 * @param shortReserve the share of the capacity reserved for short work
	 * @param longShare the share of running requests guaranteed to long work
	 * @throws IllegalArgumentException if a value is out of its range, or the two shares
	 * add up to more than 1
	 */
	public AdmissionSettings {
		if (maxRunning < 1 || maxQueued < 0) {
			throw new IllegalArgumentException(
					"maxRunning " + maxRunning + " is below 1 or maxQueued " + maxQueued + " is negative");
		}
		if (shortReserve < 0 || longShare < 0 || shortReserve + longShare > 1) {
			throw new IllegalArgumentException("shortReserve " + shortReserve + " or longShare " + longShare
					+ " is negative, or their sum exceeds 1");
		}
	}

	/**
	 * Returns settings for a single queue in order of arrival.
	 * @param maxRunning the maximum number of concurrent requests
	 * @param maxQueued the maximum number of queued requests
	 * @return the settings
	 */
	public static AdmissionSettings fifo(int maxRunning, int maxQueued) {
		return new AdmissionSettings(false, maxRunning, maxQueued, 0, 0);
	}

	/**
	 * Returns settings for fair queues with the default shares for short and long work.
	 * @param maxRunning the maximum number of concurrent requests
	 * @param maxQueued the maximum number of queued requests
	 * @return the settings
	 */
	public static AdmissionSettings fair(int maxRunning, int maxQueued) {
		return new AdmissionSettings(true, maxRunning, maxQueued, DEFAULT_SHORT_RESERVE, DEFAULT_LONG_SHARE);
	}

}
