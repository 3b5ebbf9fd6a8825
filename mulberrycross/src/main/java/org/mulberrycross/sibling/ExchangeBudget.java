package org.mulberrycross.sibling;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Period of the reports that daemons send to their hub. It grows with the bytes that the
 * hub sends and receives in one period. Thread-safe.
 */
public final class ExchangeBudget {

	/** Period while the messages are few and short. */
	public static final Duration MIN_PERIOD = Duration.ofMillis(500);

	/**
	 * Maximum period. Older figures are worth no more than an estimate, since most
	 * requests that they count have ended.
	 */
	public static final Duration MAX_PERIOD = Duration.ofSeconds(2);

	/** Bytes that a daemon may send and receive in a second for the load of the fleet. */
	public static final int MAX_BYTES_PER_SECOND = 26_000;

	/** Bytes of the heads of a request and its reply, beside their bodies. */
	private static final int HEAD_BYTES = 200;

	private ExchangeBudget() {
	}

	/**
	 * Returns the period at which the exchanges of a hub stay within the budget.
	 * @param exchanges the number of exchanges in a period, with daemons of its data
	 * centre and with other hubs
	 * @param bodyBytes the bytes of both bodies of an exchange
	 * @return the period, from {@link #MIN_PERIOD} to {@link #MAX_PERIOD}
	 */
	public static Duration period(int exchanges, int bodyBytes) {
		long bytes = (long) exchanges * (bodyBytes + HEAD_BYTES);
		long nanos = bytes * TimeUnit.SECONDS.toNanos(1) / MAX_BYTES_PER_SECOND;
		return Duration.ofNanos(Math.max(MIN_PERIOD.toNanos(), Math.min(MAX_PERIOD.toNanos(), nanos)));
	}

}
