package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries in a sliding window by the number of requests in it. Unlike a token
 * bucket, it lets a service without recent retries use the whole limit at once when an
 * upstream is lost. Not thread-safe.
 */
final class RetryWindow {

	private final Deque<Long> requestTimes = new ArrayDeque<>();

	private final Deque<Long> retryTimes = new ArrayDeque<>();

	// Records the first attempt of a request.
	void recordRequest(long nowNanos) {
		this.requestTimes.add(nowNanos);
	}

	void recordRetry(long nowNanos) {
		this.retryTimes.add(nowNanos);
	}

	// Returns whether so many more retries stay within ratio * requests + burst in the
	// window.
	boolean allowsRetries(int count, Duration window, double ratio, double burst, long nowNanos) {
		long windowStartNanos = nowNanos - window.toNanos();
		dropBefore(this.requestTimes, windowStartNanos);
		dropBefore(this.retryTimes, windowStartNanos);
		return this.retryTimes.size() + count <= ratio * this.requestTimes.size() + burst;
	}

	private static void dropBefore(Deque<Long> times, long windowStartNanos) {
		while (!times.isEmpty() && times.peek() - windowStartNanos < 0) {
			times.remove();
		}
	}

}
