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
 * Intent records of calls that must not be repeated, one for each idempotency key.
 * Performs the store actions of {@link AtMostOnceProtocol}, and in the background retries
 * writes that were not confirmed and deletes records at the end of their retention.
 * Thread-safe; methods that access the store block.
 */
public final class IntentLedger {

	private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);

	/** About 20 MB of memory at about 200 bytes per task. */
	private static final int MAX_QUEUED_TASKS = 100_000;

	private static final int SWEEP_PAGE_RECORDS = 200;

	private final IntentStore store;

	private final Duration retention;

	private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
			Comparator.comparingLong(ScheduledTask::dueNanos));

	/**
	 * Creates a ledger.
	 * @param store the store of the records, not null
	 * @param retention the time for which a settled record is kept, positive
	 */
	public IntentLedger(IntentStore store, Duration retention) {
		this.store = Objects.requireNonNull(store, "store");
		this.retention = Objects.requireNonNull(retention, "retention");
	}

	/**
	 * Returns the name of the record for an idempotency key. Teams have separate keys.
	 * @param team the name of the team, not null
	 * @param key the caller's idempotency key, not null
	 * @return the SHA-256 hash of team and key in hexadecimal
	 */
	public static String recordName(String team, String key) {
		return DigestUtils.sha256Hex(team.length() + ":" + team + key);
	}

	/**
	 * Returns the digest by which the reuse of a key for another request is detected.
	 * @param call the call, not null
	 * @return the SHA-256 hash of service, method, target, content type and body, in
	 * hexadecimal digits
	 */
	public static String requestDigest(ServiceCall call) {
		return DigestUtils.sha256Hex(String.join("\n", call.service(), call.method(), call.target(), call.contentType(),
				DigestUtils.sha256Hex(call.body())));
	}

	/**
	 * Performs an action on the store. Errors of the store become events.
	 * @param action a create, read, settle or release, not null
	 * @return the result of the action
	 * @throws IllegalArgumentException if the action does not concern the store
	 */
	public CallEvent perform(CallAction action) {
		try {
			if (action instanceof CallAction.Create create) {
				return toWriteEvent(this.store.create(create.name(), create.intent()));
			}
			if (action instanceof CallAction.Settle settle) {
				return toWriteEvent(this.store.replace(settle.name(), settle.intent(), settle.version()));
			}
			if (action instanceof CallAction.Release release) {
				boolean deleted = this.store.delete(release.name(), release.version());
				return deleted ? new CallEvent.WriteConfirmed(0) : new CallEvent.WriteConflict();
			}
			if (action instanceof CallAction.Read read) {
				return new CallEvent.ReadCompleted(this.store.read(read.name()));
			}
		}
		catch (NotRunException ex) {
			return new CallEvent.StoreUnavailable(ex.getMessage());
		}
		catch (PeerException ex) {
			boolean isRead = action instanceof CallAction.Read;
			return isRead ? new CallEvent.StoreUnavailable(ex.getMessage()) : new CallEvent.WriteUnconfirmed();
		}
		throw new IllegalArgumentException(action + " is not an action on the store");
	}

	private static CallEvent toWriteEvent(OptionalLong version) {
		return version.isPresent() ? new CallEvent.WriteConfirmed(version.getAsLong()) : new CallEvent.WriteConflict();
	}

	/**
	 * Queues a task for the background. A task is dropped when the queue is full; its
	 * record then stays as it is, or a sweep deletes it.
	 * @param task the task, not null
	 * @param nowNanos the current time on the daemon's monotonic clock
	 */
	public void defer(IntentTask task, long nowNanos) {
		Duration delay = (task instanceof IntentTask.Expire) ? this.retention : RETRY_INTERVAL;
		enqueue(new ScheduledTask(nowNanos + delay.toNanos(), task));
	}

	private synchronized void enqueue(ScheduledTask scheduled) {
		if (this.tasks.size() < MAX_QUEUED_TASKS) {
			this.tasks.add(scheduled);
		}
	}

	/**
	 * Runs one queued task that is due, and queues it again if the store fails.
	 * @param now the current time on both clocks, not null
	 * @return whether a task was due
	 */
	public boolean runDueTask(AtMostOnceProtocol.ClockReading now) {
		Optional<IntentTask> dueTask = pollDueTask(now.monotonicNanos());
		dueTask.ifPresent((task) -> {
			try {
				runTask(task, now);
			}
			catch (PeerException ex) {
				enqueue(new ScheduledTask(now.monotonicNanos() + RETRY_INTERVAL.toNanos(), task));
			}
		});
		return dueTask.isPresent();
	}

	private synchronized Optional<IntentTask> pollDueTask(long nowNanos) {
		if (this.tasks.isEmpty() || this.tasks.peek().dueNanos() - nowNanos > 0) {
			return Optional.empty();
		}
		return Optional.of(this.tasks.remove().task());
	}

	private void runTask(IntentTask task, AtMostOnceProtocol.ClockReading now) throws PeerException {
		if (task instanceof IntentTask.Settle settle) {
			OptionalLong version = this.store.replace(settle.name(), settle.intent(), settle.version());
			version.ifPresent((settledVersion) -> defer(new IntentTask.Expire(settle.name(), settledVersion),
					now.monotonicNanos()));
		}
		else if (task instanceof IntentTask.Abandon abandon) {
			Optional<StoredIntent> stored = this.store.read(abandon.name());
			if (stored.isPresent() && stored.get().intent().token().equals(abandon.token())) {
				this.store.delete(abandon.name(), stored.get().version());
			}
		}
		else if (task instanceof IntentTask.Expire expire) {
			this.store.delete(expire.name(), expire.version());
		}
	}

	/**
	 * Deletes the settled records of one page that are past their retention. Daemons can
	 * sweep at the same time without coordination, since each deletion is conditional on
	 * the version that was listed. A claimed record is never deleted: its creator may be
	 * paused and send later.
	 * @param afterName the name after which the page starts, empty for the first page
	 * @param nowMillis the wall clock, in epoch milliseconds
	 * @return the number of deleted records
	 * @throws PeerException if the store does not respond
	 */
	public int sweep(String afterName, long nowMillis) throws PeerException {
		int deletedCount = 0;
		for (StoredIntent stored : this.store.list(afterName, SWEEP_PAGE_RECORDS)) {
			boolean settled = stored.intent().state() != IntentRecord.State.CLAIMED;
			boolean expired = nowMillis - stored.intent().changedMillis() > this.retention.toMillis();
			if (settled && expired && this.store.delete(stored.name(), stored.version())) {
				deletedCount++;
			}
		}
		return deletedCount;
	}

	/**
	 * A background task with the time at which it is due.
	 *
	 * @param dueNanos the due time on the daemon's monotonic clock
	 * @param task the task to run
	 */
	private record ScheduledTask(long dueNanos, IntentTask task) {

	}

}
