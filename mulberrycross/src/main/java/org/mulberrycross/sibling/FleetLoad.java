package org.mulberrycross.sibling;

import java.time.Duration;
import java.util.Optional;

import org.mulberrycross.engine.EngineWork;
import org.mulberrycross.engine.OutstandingWork;

/**
 * Work of all daemons at an engine: the current work of this daemon and the last known
 * work of the others. What daemons that are not heard of have running is taken for like
 * that of those that are; a daemon that hears nobody multiplies its own work by the
 * number of daemons. Confined to the control thread; not thread-safe.
 */
public final class FleetLoad implements OutstandingWork {

	/**
	 * Figures replace those in use if they cover at least this fraction of their daemons.
	 */
	private static final int MIN_COVERAGE_DIVISOR = 2;

	private int daemonCount;

	private Optional<Others> others = Optional.empty();

	/**
	 * Creates a state that knows nothing of the other daemons.
	 * @param daemonCount the number of daemons to assume, including this one, at least 1
	 */
	public FleetLoad(int daemonCount) {
		this.daemonCount = daemonCount;
	}

	/**
	 * Updates the number of daemons.
	 * @param count the number of daemons, including this one, at least 1
	 */
	public void updateDaemonCount(int count) {
		this.daemonCount = count;
	}

	/**
	 * Updates the work of the other daemons. It is used for as many periods as a report.
	 * Figures that cover far fewer daemons than those in use, such as the first ones of a
	 * new hub, do not replace them before.
	 * @param total the work of the others, not null
	 * @param nowNanos the time on the daemon's monotonic clock
	 */
	public void update(WorkTotal total, long nowNanos) {
		int known = coveredDaemons(nowNanos) - 1;
		if (total.daemons() * MIN_COVERAGE_DIVISOR >= known) {
			this.others = Optional.of(new Others(total, nowNanos));
		}
	}

	/**
	 * Returns the number of daemons whose figures are used, including this one.
	 * @param nowNanos the time on the daemon's monotonic clock
	 * @return the number, 1 if this daemon hears nobody
	 */
	public int coveredDaemons(long nowNanos) {
		return 1 + current(nowNanos).map((known) -> Math.max(0, known.total().daemons())).orElse(0);
	}

	/**
	 * Returns the age of the figures of others that are used.
	 * @param nowNanos the time on the daemon's monotonic clock
	 * @return the age of the oldest figure, or empty if this daemon hears nobody
	 */
	public Optional<Duration> age(long nowNanos) {
		return current(nowNanos).map((known) -> known.total().age().plusNanos(nowNanos - known.receivedNanos()));
	}

	private Optional<Others> current(long nowNanos) {
		return this.others.filter((known) -> nowNanos - known.receivedNanos() <= WorkLedger.EXPIRY_PERIODS
				* known.total().period().toNanos());
	}

	@Override
	public EngineWork at(String engineId, EngineWork own, long nowNanos) {
		EngineWork known = own
			.plus(current(nowNanos).map((others) -> others.total().work().get(engineId)).orElse(EngineWork.NONE));
		double covered = coveredDaemons(nowNanos);
		return (this.daemonCount > covered) ? known.times(this.daemonCount / covered) : known;
	}

	/** Work of other daemons, and when it was received. */
	private record Others(WorkTotal total, long receivedNanos) {

	}

}
