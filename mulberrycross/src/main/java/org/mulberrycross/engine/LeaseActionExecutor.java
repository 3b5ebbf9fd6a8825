package org.mulberrycross.engine;

import java.util.Objects;
import java.util.OptionalLong;

import org.mulberrycross.NotRunException;
import org.mulberrycross.PeerException;

/**
 * Performs the actions of {@link OrderLease} on the store for one lease. Thread-safe;
 * blocks until the store responds.
 */
public final class LeaseActionExecutor {

	private final LeaseStore store;

	private final String name;

	/**
	 * Creates an instance for one lease.
	 * @param store the store, not null
	 * @param name the name of the lease, which is that of an engine or a group of
	 * engines, not null
	 */
	public LeaseActionExecutor(LeaseStore store, String name) {
		this.store = Objects.requireNonNull(store, "store");
		this.name = Objects.requireNonNull(name, "name");
	}

	/**
	 * Performs one action. Failures of the store are returned as events.
	 * @param action the action, not null
	 * @return the result of the action
	 */
	public LeaseEvent execute(LeaseAction action) {
		try {
			if (action instanceof LeaseAction.Write write) {
				OptionalLong version = this.store.write(this.name, write.lease(), write.expectedVersion());
				return version.isPresent() ? new LeaseEvent.WriteCompleted(version.getAsLong())
						: new LeaseEvent.WriteConflict();
			}
			return new LeaseEvent.ReadCompleted(this.store.read(this.name));
		}
		catch (NotRunException ex) {
			return new LeaseEvent.CallFailed();
		}
		catch (PeerException ex) {
			return (action instanceof LeaseAction.Write) ? new LeaseEvent.WriteOutcomeUnknown()
					: new LeaseEvent.CallFailed();
		}
	}

}
