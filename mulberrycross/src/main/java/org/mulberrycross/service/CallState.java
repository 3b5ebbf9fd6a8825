package org.mulberrycross.service;

import java.util.Objects;

/**
 * Progress of one attempt to run a call that must not be repeated. Immutable and
 * thread-safe.
 *
 * @param phase what is being waited for, not null
 * @param name the name of the record, not null
 * @param claim the record of this attempt, not null
 * @param startNanos the time of arrival on the daemon's monotonic clock
 * @param creates the number of times the record was to be created
 * @param createLost whether a create may still take effect
 * @param version the version of the record, 0 before it is known
 * @param outcome the outcome of the attempt; one that did not run before it was sent
 */
public record CallState(Phase phase, String name, IntentRecord claim, long startNanos, int creates, boolean createLost,
		long version, CallOutcome outcome) {

	/**
	 * Creates a state.
	 * @param phase what is being waited for, not null
	 * @param name the name of the record, not null
	 * @param claim the record of this attempt, not null
	 * @param startNanos the time of arrival on the daemon's monotonic clock
	 * @param creates the number of times the record was to be created
	 * @param createLost whether a create may still take effect
	 * @param version the version of the record, 0 before it is known
	 * @param outcome the outcome of the attempt
	 */
	public CallState {
		Objects.requireNonNull(phase, "phase");
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(claim, "claim");
		Objects.requireNonNull(outcome, "outcome");
	}

	CallState in(Phase next) {
		return new CallState(next, this.name, this.claim, this.startNanos, this.creates, this.createLost, this.version,
				this.outcome);
	}

	CallState creatingAgain() {
		return new CallState(Phase.CLAIMING, this.name, this.claim, this.startNanos, this.creates + 1, this.createLost,
				this.version, this.outcome);
	}

	CallState withLostCreate() {
		return new CallState(Phase.RESOLVING, this.name, this.claim, this.startNanos, this.creates, true, this.version,
				this.outcome);
	}

	CallState owning(Phase next, long owned) {
		return new CallState(next, this.name, this.claim, this.startNanos, this.creates, this.createLost, owned,
				this.outcome);
	}

	CallState ended(Phase next, CallOutcome result) {
		return new CallState(next, this.name, this.claim, this.startNanos, this.creates, this.createLost, this.version,
				result);
	}

	/**
	 * What an attempt waits for.
	 */
	public enum Phase {

		/** The answer to a create. */
		CLAIMING,

		/** The answer to the read that shows whose record it is. */
		RESOLVING,

		/** The answer of the service. */
		SENDING,

		/** The answer to the deletion of the record. */
		RELEASING,

		/** The answer to the write of the outcome. */
		SETTLING,

		/** Nothing; the caller has its answer. */
		DONE

	}

}
