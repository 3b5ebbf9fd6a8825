package org.mulberrycross.engine;

import java.time.Duration;

/**
 * One daemon's share of the time of the links between data centres. What a crossing
 * occupies is charged, and the charge wears off at the daemon's share of the link, so
 * that all daemons together leave room for the transfers of streams under way. Confined
 * to the control thread; not thread-safe.
 */
public final class PipeBudget {

	/**
	 * Part of the link that crossings may occupy. Above it, transfers wait for each other
	 * for several times their own length, which shows as pauses of streams.
	 */
	private static final double USABLE_SHARE = 0.4;

	/** Charge up to which another crossing may start. */
	private static final Duration BURST = Duration.ofMillis(50);

	private double chargedMillis;

	private long chargedAtNanos;

	/**
	 * Charges a crossing.
	 * @param occupiedMillis for how long it occupies the link, in milliseconds
	 * @param daemonCount the number of daemons that share the link, at least 1
	 * @param nowNanos the time on the daemon's monotonic clock
	 */
	public void charge(double occupiedMillis, int daemonCount, long nowNanos) {
		this.chargedMillis = remainingCharge(daemonCount, nowNanos) + occupiedMillis;
		this.chargedAtNanos = nowNanos;
	}

	/**
	 * Returns whether another request may cross.
	 * @param daemonCount the number of daemons that share the link, at least 1
	 * @param nowNanos the time on the daemon's monotonic clock
	 * @return false while earlier crossings of this daemon have used its share
	 */
	public boolean hasRoom(int daemonCount, long nowNanos) {
		return remainingCharge(daemonCount, nowNanos) <= BURST.toMillis() * USABLE_SHARE;
	}

	private double remainingCharge(int daemonCount, long nowNanos) {
		double elapsedMillis = (nowNanos - this.chargedAtNanos) / (double) Duration.ofMillis(1).toNanos();
		double paidMillis = Math.max(0, elapsedMillis) * USABLE_SHARE / Math.max(1, daemonCount);
		return Math.max(0, this.chargedMillis - paidMillis);
	}

}
