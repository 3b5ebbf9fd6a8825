package org.mulberrycross.weightstore;

/**
 * Limits the rate at which weights are loaded from the weight store with one leaky bucket
 * per daemon. The daemons that order loads share the rate of the store equally; each
 * starts a load only when the backlog of its earlier loads has drained at its share.
 * <p>
 * Assumes that each daemon knows how many daemons order loads. If they assume too few,
 * the total rate of their loads exceeds the rate of the store by the ratio of the actual
 * to the assumed number. A daemon starts without a backlog, so each daemon start permits
 * one additional load. Not thread-safe; used by the control thread only.
 */
public final class LoadRateLimiter {

	private static final double NANOS_PER_SECOND = 1e9;

	private final double bytesPerSecond;

	private int daemonCount = 1;

	private double backlogBytes;

	private long updatedNanos;

	/**
	 * Creates a rate limiter without a backlog and with a daemon count of 1.
	 * @param bytesPerSecond the rate of the weight store for all daemons together,
	 * positive; taken from the settings, since only the operator knows the capacity of
	 * the store
	 * @param nowNanos the time on the daemon's monotonic clock
	 */
	public LoadRateLimiter(double bytesPerSecond, long nowNanos) {
		if (!(bytesPerSecond > 0)) {
			throw new IllegalArgumentException("rate " + bytesPerSecond + " bytes/s is not positive");
		}
		this.bytesPerSecond = bytesPerSecond;
		this.updatedNanos = nowNanos;
	}

	/**
	 * Sets the number of daemons that share the rate from now on.
	 * @param count the number of daemons that order loads, this one included, at least 1
	 * @param nowNanos the time on the daemon's monotonic clock
	 */
	public void setDaemonCount(int count, long nowNanos) {
		if (count < 1) {
			throw new IllegalArgumentException("number of daemons " + count + " is below 1");
		}
		drainBacklog(nowNanos);
		this.daemonCount = count;
	}

	/**
	 * Requests permission to start one load.
	 * @param bytes the size of the weights, not negative
	 * @param nowNanos the time on the daemon's monotonic clock
	 * @return whether the load may start; if true, its size is added to the backlog
	 */
	public boolean tryStart(long bytes, long nowNanos) {
		drainBacklog(nowNanos);
		if (this.backlogBytes > 0) {
			return false;
		}
		this.backlogBytes += bytes;
		return true;
	}

	private void drainBacklog(long nowNanos) {
		double drainedBytes = (nowNanos - this.updatedNanos) / NANOS_PER_SECOND * this.bytesPerSecond
				/ this.daemonCount;
		this.backlogBytes = Math.max(0, this.backlogBytes - drainedBytes);
		this.updatedNanos = nowNanos;
	}

}
