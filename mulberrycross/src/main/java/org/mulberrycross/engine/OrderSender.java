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
 * Sends orders while the lease is valid. Thread-safe; blocks up to the send bound.
 */
public final class OrderSender {

	private final OrderClient client;

	private final MonotonicClock clock;

	private final Duration sendBound;

	/**
	 * Creates a sender.
	 * @param client the client, not null
	 * @param clock the clock that the lease is measured on, not null
	 * @param sendBound the bound on the exchange of one order, positive
	 */
	public OrderSender(OrderClient client, MonotonicClock clock, Duration sendBound) {
		this.client = Objects.requireNonNull(client, "client");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.sendBound = Objects.requireNonNull(sendBound, "sendBound");
	}

	/**
	 * Sends an order if the exchange is sure to end before the lease does. The check is
	 * made here and not only where the order was decided, since this thread may have been
	 * paused in between.
	 * @param engine the name of the engine, not null
	 * @param address the address of the engine, not null
	 * @param order the order, not null
	 * @param grant the right under which the order was decided, not null
	 * @return the reply
	 * @throws NotRunException if the lease does not last, or nothing left this process
	 * @throws PeerException if it is not known whether the engine acts on the order
	 */
	public OrderReply send(String engine, Address address, EngineOrder order, LeaseGrant grant) throws PeerException {
		if (order.fencing() != grant.fencing()) {
			throw new IllegalStateException(
					"order has number " + order.fencing() + " and the lease has number " + grant.fencing());
		}
		if (!grant.lasts(this.sendBound, this.clock.nanos())) {
			throw new NotRunException(Step.ORDER, new Peer(Peer.Kind.ENGINE, engine),
					"lease with number " + grant.fencing() + " ends within " + this.sendBound);
		}
		return this.client.order(engine, address, order, this.sendBound);
	}

}
