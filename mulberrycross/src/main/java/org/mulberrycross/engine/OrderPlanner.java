package org.mulberrycross.engine;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Decides which order an engine needs, by comparing its desired and reported setups.
 * <p>
 * An engine that checks fencing numbers receives the number of each new lease holder with
 * the first order, even if it already has the desired setup. From then on it refuses
 * orders of previous holders, and only then does the new holder consider it up to date.
 * <p>
 * An engine that ignores the number executes an order whenever it arrives. The following
 * rules limit the effect of a previous holder that was paused: {@link OrderSender} checks
 * the lease immediately before it sends, and the timeout of the exchange is shorter than
 * the remaining validity; the next holder waits for the full lease duration plus a
 * margin; each order specifies a complete state, so that the next holder detects a wrong
 * state in the engine's report and corrects it; and every step names the model version
 * and is refused on a mismatch. One case remains: an order that is delayed after the
 * check, by a pause of the process before its first byte or in the network, takes effect
 * late. The engine then serves the wrong setup and refuses steps of the right version
 * until the holder has read its report and the weights are loaded again. Immutable and
 * thread-safe.
 */
public final class OrderPlanner {

	private final Duration sendTimeout;

	/**
	 * Creates an instance.
	 * @param sendTimeout the maximum duration of the exchange for one order, positive
	 */
	public OrderPlanner(Duration sendTimeout) {
		this.sendTimeout = Objects.requireNonNull(sendTimeout, "sendTimeout");
	}

	/**
	 * Returns the maximum duration of the exchange for one order.
	 * @return the timeout
	 */
	public Duration sendTimeout() {
		return this.sendTimeout;
	}

	/**
	 * Returns the order that an engine needs now.
	 * @param grant the grant to send orders, not null
	 * @param desired the desired setup, not null
	 * @param report the engine's last report, not null; an outdated one leads at worst to
	 * an order that the engine refuses or that changes nothing
	 * @param checksFencing whether the engine refuses outdated fencing numbers
	 * @param permit called only for an order that makes the engine load weights, not null
	 * @param nowNanos the current time on the daemon's monotonic clock
	 * @return the order, or empty if none is needed or none may be sent now
	 */
	public Optional<EngineOrder> nextOrder(LeaseGrant grant, EngineSetup desired, EngineSetupReport report,
			boolean checksFencing, LoadPermit permit, long nowNanos) {
		if (isUpToDate(grant, desired, report, checksFencing) || !grant.isValidFor(this.sendTimeout, nowNanos)) {
			return Optional.empty();
		}
		if (checksFencing && report.fencing() > grant.fencing()) {
			return Optional.empty();
		}
		boolean loadsWeights = !report.target().hasSameWeights(desired);
		if (loadsWeights && !permit.tryAcquire(desired, nowNanos)) {
			return Optional.empty();
		}
		return Optional.of(new EngineOrder(grant.fencing(), report.current(), desired));
	}

	/**
	 * Returns whether an engine needs no order from this holder.
	 * @param grant the grant to send orders, not null
	 * @param desired the desired setup, not null
	 * @param report the engine's last report, not null
	 * @param checksFencing whether the engine refuses outdated fencing numbers
	 * @return true if the engine has or is loading the desired setup and, if it checks
	 * fencing numbers, has accepted that of the grant
	 */
	public boolean isUpToDate(LeaseGrant grant, EngineSetup desired, EngineSetupReport report, boolean checksFencing) {
		return report.target().equals(desired) && (!checksFencing || report.fencing() == grant.fencing());
	}

}
