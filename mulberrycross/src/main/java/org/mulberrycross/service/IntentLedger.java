package org.mulberrycross.service;

import java.time.Duration;
import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;

import org.apache.commons.codec.digest.DigestUtils;

import org.mulberrycross.NotRunException;
import org.mulberrycross.PeerException;

/**
 * Ledger of the calls that must not be repeated, one record in the store for each key.
 * Does the actions of {@link CallProtocol}, and in the background retries writes that
 * were not confirmed and deletes records at the end of their retention. Thread-safe; all
 * methods that reach the store block.
 */
public final class IntentLedger {

	private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);

	/** At about 200 bytes for each task this is 20 MB. */
	private static final int MAX_TASKS = 100_000;

	private static final int SWEEP_PAGE = 200;

	private final IntentStore store;

	private final Duration retention;

	private final PriorityQueue<Due> tasks = new PriorityQueue<>(Comparator.comparingLong(Due::nanos));

	/**
	 * Creates a ledger.
	 * @param store the store, not null
	 * @param retention the time for which a settled record is kept, positive
	 */
	public IntentLedger(IntentStore store, Duration retention) {
		this.store = Objects.requireNonNull(store, "store");
		this.retention = Objects.requireNonNull(retention, "retention");
	}

	/**
	 * Returns the name of the record of a key.
	 * @param team the team, not null
	 * @param key the caller's idempotency key, not null
	 * @return the name
	 */
	public static String name(String team, String key) {
		return DigestUtils.sha256Hex(team.length() + ":" + team + key);
	}

	/**
	 * Returns the digest by which a reused key is recognised.
	 * @param call the call, not null
	 * @return the digest of the service, method, target and body
	 */
	public static String digest(ServiceCall call) {
		return DigestUtils.sha256Hex(String.join("\n", call.service(), call.method(), call.target(), call.contentType(),
				DigestUtils.sha256Hex(call.body())));
	}

	/**
	 * Does an action of the store.
	 * @param action a create, read, settle or release, not null
	 * @return the result
	 * @throws IllegalArgumentException if the action is not one of the store
	 */
	public CallEvent perform(CallAction action) {
		try {
			if (action instanceof CallAction.Create create) {
				return written(this.store.create(create.name(), create.intent()));
			}
			if (action instanceof CallAction.Settle settle) {
				return written(this.store.replace(settle.name(), settle.intent(), settle.version()));
			}
			if (action instanceof CallAction.Release release) {
				boolean deleted = this.store.delete(release.name(), release.version());
				return deleted ? new CallEvent.Written(0) : new CallEvent.Refused();
			}
			if (action instanceof CallAction.Read read) {
				return new CallEvent.Found(this.store.read(read.name()));
			}
		}
		catch (NotRunException ex) {
			return new CallEvent.Unavailable(ex.getMessage());
		}
		catch (PeerException ex) {
			boolean read = action instanceof CallAction.Read;
			return read ? new CallEvent.Unavailable(ex.getMessage()) : new CallEvent.WriteLost();
		}
		throw new IllegalArgumentException(action + " is not an action of the store");
	}

	private static CallEvent written(OptionalLong version) {
		return version.isPresent() ? new CallEvent.Written(version.getAsLong()) : new CallEvent.Refused();
	}

	/**
	 * Takes work for the background. When too much waits, the work is dropped: the record
	 * then stays as it is, or is found by a sweep.
	 * @param task the work, not null
	 * @param nowNanos the daemon's monotonic clock
	 */
	public void defer(IntentTask task, long nowNanos) {
		Duration wait = (task instanceof IntentTask.Expire) ? this.retention : RETRY_INTERVAL;
		add(new Due(nowNanos + wait.toNanos(), task));
	}

	private synchronized void add(Due due) {
		if (this.tasks.size() < MAX_TASKS) {
			this.tasks.add(due);
		}
	}

	/**
	 * Does one piece of background work that is due.
	 * @param now the time, not null
	 * @return whether any was due
	 */
	public boolean maintain(CallProtocol.Now now) {
		Optional<IntentTask> task = due(now.nanos());
		task.ifPresent((found) -> {
			try {
				run(found, now);
			}
			catch (PeerException ex) {
				add(new Due(now.nanos() + RETRY_INTERVAL.toNanos(), found));
			}
		});
		return task.isPresent();
	}

	private synchronized Optional<IntentTask> due(long nowNanos) {
		if (this.tasks.isEmpty() || this.tasks.peek().nanos() - nowNanos > 0) {
			return Optional.empty();
		}
		return Optional.of(this.tasks.remove().task());
	}

	private void run(IntentTask task, CallProtocol.Now now) throws PeerException {
		if (task instanceof IntentTask.Settle settle) {
			OptionalLong version = this.store.replace(settle.name(), settle.intent(), settle.version());
			version.ifPresent((found) -> defer(new IntentTask.Expire(settle.name(), found), now.nanos()));
		}
		else if (task instanceof IntentTask.Abandon abandon) {
			Optional<StoredIntent> found = this.store.read(abandon.name());
			if (found.isPresent() && found.get().intent().token().equals(abandon.token())) {
				this.store.delete(abandon.name(), found.get().version());
			}
		}
		else if (task instanceof IntentTask.Expire expire) {
			this.store.delete(expire.name(), expire.version());
		}
	}

	/**
	 * Deletes settled records on one page that are past their retention. Daemons need no
	 * agreement on who sweeps, since each deletion names the version that it saw. A
	 * claimed record is never deleted: its creator may be paused and send later.
	 * @param after the name after which the page starts, empty for the first
	 * @param nowMillis the wall clock
	 * @return the number of records that were deleted
	 * @throws PeerException if the store does not answer
	 */
	public int sweep(String after, long nowMillis) throws PeerException {
		int deleted = 0;
		for (StoredIntent found : this.store.list(after, SWEEP_PAGE)) {
			boolean settled = found.intent().state() != IntentRecord.State.CLAIMED;
			boolean old = nowMillis - found.intent().changedMillis() > this.retention.toMillis();
			if (settled && old && this.store.delete(found.name(), found.version())) {
				deleted++;
			}
		}
		return deleted;
	}

	/**
	 * Work with the time at which it is due.
	 *
	 * @param nanos the time on the daemon's monotonic clock
	 * @param task the work
	 */
	private record Due(long nanos, IntentTask task) {

	}

}
