package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds the retries in any span of a given length by the requests in it. Unlike a bucket
 * that fills with requests, it lets a service that was calm use all that the bound allows
 * at the moment of a loss. Not thread-safe.
 */
final class RetryWindow {

	private final Deque<Long> requests = new ArrayDeque<>();

	private final Deque<Long> retries = new ArrayDeque<>();

	// Notes a request, sent for the first time.
	void requested(long nowNanos) {
		this.requests.add(nowNanos);
	}

	// Notes a retry.
	void retried(long nowNanos) {
		this.retries.add(nowNanos);
	}

	// Returns whether one more retry keeps the bound.
	boolean allows(Duration length, double ratio, double burst, long nowNanos) {
		long oldest = nowNanos - length.toNanos();
		dropBefore(this.requests, oldest);
		dropBefore(this.retries, oldest);
		return this.retries.size() + 1 <= ratio * this.requests.size() + burst;
	}

	private static void dropBefore(Deque<Long> times, long oldestNanos) {
		while (!times.isEmpty() && times.peek() - oldestNanos < 0) {
			times.remove();
		}
	}

}
