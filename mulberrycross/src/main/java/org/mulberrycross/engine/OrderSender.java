package org.mulberrycross.engine;

import java.time.Duration;
import java.util.Objects;

import org.mulberrycross.Address;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.NotRunException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;

/**
 * Sends orders as long as the lease is valid. Thread-safe; blocks up to the send timeout.
 */
public final class OrderSender {

	private final OrderClient client;

	private final MonotonicClock clock;

	private final Duration sendTimeout;

	/**
	 * Creates a sender.
	 * @param client the client, not null
	 * @param clock the clock on which the validity of the lease is measured, not null
	 * @param sendTimeout the maximum duration of the exchange for one order, positive
	 */
	public OrderSender(OrderClient client, MonotonicClock clock, Duration sendTimeout) {
		this.client = Objects.requireNonNull(client, "client");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.sendTimeout = Objects.requireNonNull(sendTimeout, "sendTimeout");
	}

	/**
	 * Sends an order if the lease stays valid for the send timeout. The lease is checked
	 * again here because this thread may have been paused since the order was decided.
	 * @param engine the name of the engine, not null
	 * @param address the address of the engine, not null
	 * @param order the order, not null
	 * @param grant the grant under which the order was decided, not null
	 * @return the reply
	 * @throws NotRunException if the lease expires within the send timeout, or the order
	 * did not leave this process
	 * @throws PeerException if it is unknown whether the engine executes the order
	 */
	public OrderReply send(String engine, Address address, EngineOrder order, LeaseGrant grant) throws PeerException {
		if (order.fencing() != grant.fencing()) {
			throw new IllegalStateException(
					"order has fencing number " + order.fencing() + " but the lease has " + grant.fencing());
		}
		if (!grant.isValidFor(this.sendTimeout, this.clock.nanos())) {
			throw new NotRunException(Step.ORDER, new Peer(Peer.Kind.ENGINE, engine),
					"lease with fencing number " + grant.fencing() + " expires within " + this.sendTimeout);
		}
		return this.client.sendOrder(engine, address, order, this.sendTimeout);
	}

}
