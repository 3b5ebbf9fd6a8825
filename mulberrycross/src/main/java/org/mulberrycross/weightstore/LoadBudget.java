package org.mulberrycross.weightstore;

/**
 * Shares the weight store's rate among the daemons that order loads. Each daemon starts a
 * load only when its earlier loads are paid off at its equal share of the rate.
 * <p>
 * Assumes that the daemons know how many of them order loads. While a daemon counts too
 * few, the loads together exceed the rate by the ratio of the true to the counted number.
 * A daemon that starts has no debt, so each start allows one load more. Not thread-safe;
 * used by the control thread only.
 */
public final class LoadBudget {

	private static final double NANOS_PER_SECOND = 1e9;

	private final double bytesPerSecond;

	private int daemons = 1;

	private double owedBytes;

	private long updatedNanos;

	/**
	 * Creates a budget without debt.
	 * @param bytesPerSecond the rate of the weight store for the whole fleet, positive;
	 * from a setting, since only the operator knows the store
	 * @param nowNanos the daemon's monotonic clock
	 */
	public LoadBudget(double bytesPerSecond, long nowNanos) {
		if (!(bytesPerSecond > 0)) {
			throw new IllegalArgumentException("rate " + bytesPerSecond + " is not positive");
		}
		this.bytesPerSecond = bytesPerSecond;
		this.updatedNanos = nowNanos;
	}

	/**
	 * Changes the number of daemons that share the rate from now on.
	 * @param count the number of daemons that order loads, this one included, at least 1
	 * @param nowNanos the daemon's monotonic clock
	 */
	public void share(int count, long nowNanos) {
		if (count < 1) {
			throw new IllegalArgumentException("number of daemons " + count + " is below 1");
		}
		pay(nowNanos);
		this.daemons = count;
	}

	/**
	 * Takes the permission for one load.
	 * @param bytes the size of the weights, not negative
	 * @param nowNanos the daemon's monotonic clock
	 * @return whether the load may start; if true, its size is added to the debt
	 */
	public boolean tryStart(long bytes, long nowNanos) {
		pay(nowNanos);
		if (this.owedBytes > 0) {
			return false;
		}
		this.owedBytes += bytes;
		return true;
	}

	private void pay(long nowNanos) {
		double paid = (nowNanos - this.updatedNanos) / NANOS_PER_SECOND * this.bytesPerSecond / this.daemons;
		this.owedBytes = Math.max(0, this.owedBytes - paid);
		this.updatedNanos = nowNanos;
	}

}
