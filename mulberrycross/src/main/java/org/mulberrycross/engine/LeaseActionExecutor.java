package org.mulberrycross.engine;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.mulberrycross.NotRunException;
import org.mulberrycross.PeerException;

/**
 * Performs the actions of {@link OrderLease} on the store for one lease. Thread-safe;
 * blocks until the store responds.
 */
public final class LeaseActionExecutor {

	/**
	 * Fencing numbers that are reserved for each era. Terms end at most once in a lease
	 * duration, so that an era would have to last for weeks to need more.
	 */
	private static final long FENCING_NUMBERS_PER_ERA = 1_000_000;

	private final LeaseStore store;

	private final String name;

	/** The era in which the last result was read, empty if the store names none. */
	private volatile OptionalLong era = OptionalLong.empty();

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
	 * @return the result of the action, or that the store came back from an older copy
	 */
	public LeaseEvent execute(LeaseAction action) {
		LeaseEvent result = perform(action);
		return checkEra().orElse(result);
	}

	/**
	 * Returns whether the store came back from an older copy since the last call of this
	 * method or the last action.
	 * @return the event, empty if the store is in the same era or names none
	 */
	public Optional<LeaseEvent> checkEra() {
		OptionalLong before = this.era;
		this.era = this.store.era();
		return (before.isPresent() && !this.era.equals(before)) ? Optional.of(new LeaseEvent.StoreRestored())
				: Optional.empty();
	}

	/**
	 * Returns whether the last result is from the latest era of the store.
	 * @return false if the store came back from an older copy since then
	 */
	public boolean isEraCurrent() {
		return this.era.equals(this.store.era());
	}

	/**
	 * Returns the number above which the fencing numbers of this era are. All those of
	 * former eras are lower, also where their records are lost.
	 * @return the number, 0 if the store names no era
	 */
	public long fencingFloor() {
		return this.era.orElse(0) * FENCING_NUMBERS_PER_ERA;
	}

	private LeaseEvent perform(LeaseAction action) {
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
