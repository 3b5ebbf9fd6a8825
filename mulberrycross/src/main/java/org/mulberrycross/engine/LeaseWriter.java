package org.mulberrycross.engine;

import java.util.Objects;
import java.util.OptionalLong;

import org.mulberrycross.NotRunException;
import org.mulberrycross.PeerException;

/**
 * Does the actions of {@link OrderLease} for one lease. Thread-safe; blocks.
 */
public final class LeaseWriter {

	private final LeaseStore store;

	private final String name;

	/**
	 * Creates a writer.
	 * @param store the store, not null
	 * @param name the name of the lease, that of an engine or of a group of engines, not
	 * null
	 */
	public LeaseWriter(LeaseStore store, String name) {
		this.store = Objects.requireNonNull(store, "store");
		this.name = Objects.requireNonNull(name, "name");
	}

	/**
	 * Does one action.
	 * @param action the action, not null
	 * @return its result
	 */
	public LeaseEvent perform(LeaseAction action) {
		try {
			if (action instanceof LeaseAction.Write write) {
				OptionalLong version = this.store.write(this.name, write.lease(), write.version());
				return version.isPresent() ? new LeaseEvent.Written(version.getAsLong()) : new LeaseEvent.Refused();
			}
			return new LeaseEvent.Found(this.store.read(this.name));
		}
		catch (NotRunException ex) {
			return new LeaseEvent.Unavailable();
		}
		catch (PeerException ex) {
			return (action instanceof LeaseAction.Write) ? new LeaseEvent.WriteLost() : new LeaseEvent.Unavailable();
		}
	}

}
