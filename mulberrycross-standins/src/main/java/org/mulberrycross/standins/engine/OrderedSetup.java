package org.mulberrycross.standins.engine;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.mulberrycross.engine.EngineOrder;
import org.mulberrycross.engine.EngineReport;
import org.mulberrycross.engine.EngineSetup;
import org.mulberrycross.engine.OrderReply;

/**
 * Setup of an engine that is changed by orders. The current setup is served until the
 * load of the next one ends. Thread-safe.
 */
public final class OrderedSetup {

	private final boolean checksFencing;

	private final Executor afterLoad;

	private final Consumer<EngineSetup> served;

	private EngineSetup current;

	private EngineSetup target;

	private long fencing;

	private long changes;

	/**
	 * Creates a setup.
	 * @param initial the setup at the start, not null
	 * @param checksFencing whether orders with an old fencing number or another expected
	 * setup are refused; if false, every order is acted upon
	 * @param loadTime the time of one load, not negative
	 * @param served receives each new setup when its load has ended, not null
	 */
	public OrderedSetup(EngineSetup initial, boolean checksFencing, Duration loadTime, Consumer<EngineSetup> served) {
		this.current = Objects.requireNonNull(initial, "initial");
		this.target = initial;
		this.checksFencing = checksFencing;
		this.afterLoad = CompletableFuture.delayedExecutor(loadTime.toMillis(), TimeUnit.MILLISECONDS);
		this.served = Objects.requireNonNull(served, "served");
	}

	/**
	 * Returns the state.
	 * @return the state; its fencing number is 0 if the engine ignores the number
	 */
	public synchronized EngineReport report() {
		return new EngineReport(this.current, this.target, this.fencing);
	}

	/**
	 * Takes an order.
	 * @param order the order, not null
	 * @return the reply
	 */
	public synchronized OrderReply order(EngineOrder order) {
		if (this.checksFencing && order.fencing() < this.fencing) {
			return new OrderReply(false, "fencing number is below " + this.fencing, report());
		}
		if (this.checksFencing && !order.expected().equals(this.current)) {
			return new OrderReply(false, "current setup is not the expected one", report());
		}
		if (this.checksFencing) {
			this.fencing = order.fencing();
		}
		if (order.desired().equals(this.target)) {
			return new OrderReply(true, "", report());
		}
		this.target = order.desired();
		this.changes++;
		if (this.target.sameWeights(this.current)) {
			serve(this.target);
		}
		else {
			long change = this.changes;
			this.afterLoad.execute(() -> loaded(change));
		}
		return new OrderReply(true, "", report());
	}

	private synchronized void loaded(long change) {
		if (change == this.changes) {
			serve(this.target);
		}
	}

	private void serve(EngineSetup setup) {
		this.current = setup;
		this.served.accept(setup);
	}

}
