package org.mulberrycross.standins.engine;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.mulberrycross.engine.EngineOrder;
import org.mulberrycross.engine.EngineSetup;
import org.mulberrycross.engine.EngineSetupReport;
import org.mulberrycross.engine.OrderReply;

/**
 * Setup of an engine that is changed by orders. The current setup is served until the
 * load of the next one has finished. Thread-safe.
 */
public final class OrderedSetup {

	private final boolean checksFencing;

	private final Executor loadExecutor;

	private final Consumer<EngineSetup> servedListener;

	private EngineSetup current;

	private EngineSetup target;

	private long highestFencing;

	private long changeCount;

	/**
	 * Creates the state of an engine that serves a setup.
	 * @param initial the setup at the start, not null
	 * @param checksFencing whether to refuse orders with a fencing number below the
	 * highest one or with another expected setup than the current one
	 * @param loadTime the duration of one load, not negative
	 * @param servedListener receives each new setup once it is served, not null; called
	 * with the lock of this object held
	 */
	public OrderedSetup(EngineSetup initial, boolean checksFencing, Duration loadTime,
			Consumer<EngineSetup> servedListener) {
		this.current = Objects.requireNonNull(initial, "initial");
		this.target = initial;
		this.checksFencing = checksFencing;
		this.loadExecutor = CompletableFuture.delayedExecutor(loadTime.toMillis(), TimeUnit.MILLISECONDS);
		this.servedListener = Objects.requireNonNull(servedListener, "servedListener");
	}

	/**
	 * Returns the current and the target setup with the highest fencing number.
	 * @return the report; its fencing number is 0 if the engine ignores the numbers
	 */
	public synchronized EngineSetupReport report() {
		return new EngineSetupReport(this.current, this.target, this.highestFencing);
	}

	/**
	 * Accepts or refuses an order. An accepted order takes effect at once if the weights
	 * stay the same, otherwise after the load; a later order replaces it during the load.
	 * @param order the order, not null
	 * @return the reply, with the state after the order
	 */
	public synchronized OrderReply applyOrder(EngineOrder order) {
		if (this.checksFencing && order.fencing() < this.highestFencing) {
			return new OrderReply(false, "fencing number is below " + this.highestFencing, report());
		}
		if (this.checksFencing && !order.expected().equals(this.current)) {
			return new OrderReply(false, "current setup is not the expected one", report());
		}
		if (this.checksFencing) {
			this.highestFencing = order.fencing();
		}
		if (order.desired().equals(this.target)) {
			return new OrderReply(true, "", report());
		}
		this.target = order.desired();
		this.changeCount++;
		if (this.target.hasSameWeights(this.current)) {
			serve(this.target);
		}
		else {
			long changeNumber = this.changeCount;
			this.loadExecutor.execute(() -> finishLoad(changeNumber));
		}
		return new OrderReply(true, "", report());
	}

	private synchronized void finishLoad(long changeNumber) {
		if (changeNumber == this.changeCount) {
			serve(this.target);
		}
	}

	private void serve(EngineSetup setup) {
		this.current = setup;
		this.servedListener.accept(setup);
	}

}
