package org.mulberrycross.service;

import java.util.Objects;

/**
 * Progress of one attempt to run a call that must not be repeated. Immutable and
 * thread-safe.
 *
 * @param phase the action whose result the attempt waits for, not null
 * @param recordName the name of the intent record in the store, not null
 * @param claim the claimed record that this attempt creates, not null
 * @param startNanos the time of arrival on the daemon's monotonic clock
 * @param createCount the number of creates requested so far
 * @param createUnconfirmed whether a create got no response and may still take effect
 * @param version the version of the record in the store, 0 until it is known
 * @param outcome the outcome of the attempt; "not run" until the call was sent
 */
public record CallState(Phase phase, String recordName, IntentRecord claim, long startNanos, int createCount,
		boolean createUnconfirmed, long version, CallOutcome outcome) {

	/**
	 * Creates a state.
	 * @param phase the action whose result the attempt waits for, not null
	 * @param recordName the name of the intent record in the store, not null
	 * @param claim the claimed record that this attempt creates, not null
	 * @param startNanos the time of arrival on the daemon's monotonic clock
	 * @param createCount the number of creates requested so far
	 * @param createUnconfirmed whether a create got no response and may still take effect
	 * @param version the version of the record in the store, 0 until it is known
	 * @param outcome the outcome of the attempt, not null
	 */
	public CallState {
		Objects.requireNonNull(phase, "phase");
		Objects.requireNonNull(recordName, "recordName");
		Objects.requireNonNull(claim, "claim");
		Objects.requireNonNull(outcome, "outcome");
	}

	CallState withPhase(Phase newPhase) {
		return new CallState(newPhase, this.recordName, this.claim, this.startNanos, this.createCount,
				this.createUnconfirmed, this.version, this.outcome);
	}

	CallState withRetriedCreate() {
		return new CallState(Phase.CLAIMING, this.recordName, this.claim, this.startNanos, this.createCount + 1,
				this.createUnconfirmed, this.version, this.outcome);
	}

	CallState withUnconfirmedCreate() {
		return new CallState(Phase.RESOLVING, this.recordName, this.claim, this.startNanos, this.createCount, true,
				this.version, this.outcome);
	}

	CallState withVersion(Phase newPhase, long newVersion) {
		return new CallState(newPhase, this.recordName, this.claim, this.startNanos, this.createCount,
				this.createUnconfirmed, newVersion, this.outcome);
	}

	CallState withOutcome(Phase newPhase, CallOutcome newOutcome) {
		return new CallState(newPhase, this.recordName, this.claim, this.startNanos, this.createCount,
				this.createUnconfirmed, this.version, newOutcome);
	}

	/**
	 * The action whose result an attempt waits for.
	 */
	public enum Phase {

		/** Creation of the intent record. */
		CLAIMING,

		/** Read of the record, to find out which attempt created it. */
		RESOLVING,

		/** Response of the service. */
		SENDING,

		/** Deletion of the record after a call that did not run. */
		RELEASING,

		/** Write of the outcome to the record. */
		SETTLING,

		/** None; the attempt has ended and only its final actions remain. */
		DONE

	}

}
