package org.mulberrycross.engine;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Decides which order an engine needs: the desired setup against the one that it reports.
 * <p>
 * An engine that checks fencing numbers gets the number of each new holder with the first
 * order, even if its setup is the desired one. It refuses orders of former holders from
 * then on, and only then does the new holder treat it as settled.
 * <p>
 * An engine that ignores the number acts on an order whenever it arrives. A former holder
 * that was paused is kept harmless by these rules: {@link OrderSender} checks the lease
 * right before it sends and bounds the exchange by less than what remains of it; the next
 * holder waits the whole lease time and a margin; each order names a state, so that the
 * next holder sees a wrong effect in the engine's report and orders the right state; and
 * every step names the model version and is refused on a mismatch. What remains possible:
 * an order that was held up after the check, by a pause of the process before its first
 * byte or in the network, takes effect late. The engine then serves the wrong setup, and
 * refuses steps of the right version, until the holder has read its report and the
 * weights are loaded again. Immutable and thread-safe.
 */
public final class EngineOrders {

	private final Duration sendBound;

	/**
	 * Creates the decision.
	 * @param sendBound the bound on the exchange of one order, positive
	 */
	public EngineOrders(Duration sendBound) {
		this.sendBound = Objects.requireNonNull(sendBound, "sendBound");
	}

	/**
	 * Returns the bound on the exchange of one order.
	 * @return the bound
	 */
	public Duration sendBound() {
		return this.sendBound;
	}

	/**
	 * Returns the order that an engine needs now.
	 * @param grant the right to send orders, not null
	 * @param desired the desired setup, not null
	 * @param report the engine's last report, not null; an old one leads at worst to an
	 * order that the engine refuses or that changes nothing
	 * @param checksFencing whether the engine refuses orders with an old fencing number
	 * @param permit asked only for an order that makes the engine load weights, not null
	 * @param nowNanos the daemon's monotonic clock
	 * @return the order, or empty if none is needed, or none may be sent now
	 */
	public Optional<EngineOrder> next(LeaseGrant grant, EngineSetup desired, EngineReport report, boolean checksFencing,
			LoadPermit permit, long nowNanos) {
		if (settled(grant, desired, report, checksFencing) || !grant.lasts(this.sendBound, nowNanos)) {
			return Optional.empty();
		}
		if (checksFencing && report.fencing() > grant.fencing()) {
			return Optional.empty();
		}
		boolean loads = !report.target().sameWeights(desired);
		if (loads && !permit.tryStart(desired, nowNanos)) {
			return Optional.empty();
		}
		return Optional.of(new EngineOrder(grant.fencing(), report.current(), desired));
	}

	/**
	 * Returns whether an engine needs no order of this holder.
	 * @param grant the right to send orders, not null
	 * @param desired the desired setup, not null
	 * @param report the engine's last report, not null
	 * @param checksFencing whether the engine refuses orders with an old fencing number
	 * @return true if it has or loads the desired setup, and knows the holder's number if
	 * it checks it
	 */
	public boolean settled(LeaseGrant grant, EngineSetup desired, EngineReport report, boolean checksFencing) {
		return report.target().equals(desired) && (!checksFencing || report.fencing() == grant.fencing());
	}

}
