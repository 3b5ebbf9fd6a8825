package org.mulberrycross.caller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Admission control for completion requests: decides when each request starts and which
 * requests are rejected. Requests wait in weighted fair queues by team, with separate
 * queues for each pipeline and {@link WorkClass}.
 *
 * <p>
 * Short work has priority. While long work is queued on a pipeline, it gets each free
 * slot until {@code longShare} of the pipeline's running requests, but at least one, is
 * long. Let {@code k} be that number of slots, {@code s} the maximum running time of a
 * short request and {@code l} that of a long one. A long request with {@code n} long
 * requests ahead of it in the fair order starts within {@code s + l * ceil((n + 1) / k)},
 * provided that the capacity of the pipeline does not shrink and its team is below its
 * limit. Beyond its share, long work may only use slots that leave {@code shortReserve}
 * of the capacity free, so that short work can start immediately.
 *
 * <p>
 * A request that has to wait is rejected immediately if its expected wait exceeds its
 * deadline. The expected wait is the number of requests ahead of it in the fair order
 * divided by the current service rate of its class, which is the number of running
 * requests divided by their mean service time.
 *
 * <p>
 * Not thread-safe; owned by the control thread.
 */
public final class Admission {

	private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);

	private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(30);

	/** Enough for 20,000 teams with two pipelines each (design, section 2.7). */
	private static final int MAX_LENGTH_HISTORIES = 40_000;

	/**
	 * Short work may exceed the stream limits because engines run its steps before those
	 * of long work. Without the excess, long work that was admitted as short occupies too
	 * many slots: in the served-system model at capacity, the p95 wait is 452 ms instead
	 * of 210 ms.
	 */
	private static final double SHORT_WORK_LIMIT_SHARE = 1.5;

	private final AdmissionSettings settings;

	private final AdmissionInputs inputs;

	private final LengthEstimator estimator = new LengthEstimator(MAX_LENGTH_HISTORIES);

	private final Map<String, PipelineState> pipelineStates = new LinkedHashMap<>();

	private final Map<String, Entry> queued = new HashMap<>();

	private final Map<String, Entry> running = new HashMap<>();

	private final Map<String, Integer> runningByTeam = new HashMap<>();

	/**
	 * Creates an admission control without requests.
	 * @param settings the limits and shares, not null
	 * @param inputs the lookups by team and pipeline, and the capacity, not null
	 */
	public Admission(AdmissionSettings settings, AdmissionInputs inputs) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.inputs = Objects.requireNonNull(inputs, "inputs");
	}

	/**
	 * Queues a new request and starts all requests that are now eligible.
	 * @param request the request, not null
	 * @param now the time on the daemon's monotonic clock, in nanoseconds
	 * @return the resulting grants and rejections, in order
	 * @throws IllegalArgumentException if a request with the same identifier is active
	 */
	public List<AdmissionAction> submit(CallerRequest request, long now) {
		if (this.queued.containsKey(request.id()) || this.running.containsKey(request.id())) {
			throw new IllegalArgumentException("request " + request.id() + " is already queued or running");
		}
		int estimatedTokens = this.settings.fair() ? this.estimator.estimate(request) : request.maxTokens();
		boolean isLong = this.settings.fair()
				&& estimatedTokens >= this.inputs.longTokens().applyAsInt(request.pipeline());
		Entry entry = new Entry(request, pipelineState(request), estimatedTokens,
				isLong ? WorkClass.LONG : WorkClass.SHORT);
		entry.ticket = entry.queue()
			.add(entry.rank(), queueName(request), teamWeight(request), request.deadlineNanos(), entry);
		this.queued.put(request.id(), entry);
		List<AdmissionAction> actions = new ArrayList<>();
		dispatch(now, actions);
		if (this.queued.containsKey(request.id())) {
			enforceQueueLimits(entry, now, actions);
		}
		return actions;
	}

	/**
	 * Releases the slot of a request that ended, updates the statistics and starts
	 * requests that are now eligible.
	 * @param id the identifier of the request, not null
	 * @param tokens the number of tokens that it generated
	 * @param complete whether the output is complete, so that its length is recorded
	 * @param now the time on the daemon's monotonic clock, in nanoseconds
	 * @return the resulting grants and rejections, in order
	 * @throws IllegalArgumentException if the request is not running
	 */
	public List<AdmissionAction> release(String id, int tokens, boolean complete, long now) {
		Entry entry = runningEntry(id);
		this.running.remove(id);
		String team = entry.request.team();
		this.runningByTeam.merge(team, -1, (count, delta) -> (count > 1) ? Integer.valueOf(count - 1) : null);
		releaseTeamSlot(entry);
		entry.pipelineState.rate(entry.workClass).recordServiceTime(now - entry.startNanos);
		entry.pipelineState.rate(entry.workClass).adjustRunning(-1);
		entry.queue().charge(entry.ticket, tokens - entry.estimatedTokens);
		if (complete) {
			this.estimator.recordLength(entry.request, tokens);
		}
		this.pipelineStates.values().forEach((state) -> state.queue.unblock(team));
		List<AdmissionAction> actions = new ArrayList<>();
		dispatch(now, actions);
		return actions;
	}

	/**
	 * Reclassifies a running request whose output exceeds its estimate as long work.
	 * @param id the identifier of the request, not null
	 * @param now the time on the daemon's monotonic clock, in nanoseconds
	 * @return the resulting grants and rejections, in order
	 * @throws IllegalArgumentException if the request is not running
	 */
	public List<AdmissionAction> reclassifyAsLong(String id, long now) {
		Entry entry = runningEntry(id);
		List<AdmissionAction> actions = new ArrayList<>();
		if (this.settings.fair() && entry.workClass == WorkClass.SHORT) {
			entry.pipelineState.rate(WorkClass.SHORT).adjustRunning(-1);
			entry.workClass = WorkClass.LONG;
			entry.pipelineState.rate(WorkClass.LONG).adjustRunning(1);
			dispatch(now, actions);
		}
		return actions;
	}

	/**
	 * Rejects queued requests whose deadline has passed and starts requests for which
	 * capacity has become available. Called periodically.
	 * @param now the time on the daemon's monotonic clock, in nanoseconds
	 * @return the resulting grants and rejections, in order
	 */
	public List<AdmissionAction> tick(long now) {
		this.pipelineStates.values().forEach((state) -> state.queue.unblockAndPrune());
		List<AdmissionAction> actions = new ArrayList<>();
		dispatch(now, actions);
		return actions;
	}

	/**
	 * Returns the number of queued requests over all pipelines and teams.
	 * @return the number, 0 or more
	 */
	public int queuedCount() {
		return this.queued.size();
	}

	/**
	 * Returns the number of running requests over all pipelines and teams.
	 * @return the number, 0 or more
	 */
	public int runningCount() {
		return this.running.size();
	}

	private void enforceQueueLimits(Entry entry, long now, List<AdmissionAction> actions) {
		if (this.settings.fair()) {
			long waitNanos = expectedWaitNanos(entry);
			if (waitNanos > entry.request.deadlineNanos() - now) {
				reject(entry, "the expected wait exceeds the deadline",
						waitNanos - (entry.request.deadlineNanos() - now), actions);
			}
		}
		if (this.queued.size() > this.settings.maxQueued()) {
			// Drops a request of the team with the longest queue, so that one team cannot
			// fill the queue for the others.
			Entry dropped = this.settings.fair()
					? entry.queue().newestOfLongestQueue(entry.rank()).map(RankedQueue.Ticket::item).orElse(entry)
					: entry;
			reject(dropped, "the queue is full", expectedWaitNanos(dropped), actions);
		}
	}

	private long expectedWaitNanos(Entry entry) {
		ServiceRate rate = entry.pipelineState.rate(entry.workClass);
		double waitNanos = rate.waitNanos(entry.queue().estimatedPosition(entry.ticket));
		int teamRunning = this.runningByTeam.getOrDefault(entry.request.team(), 0);
		if (this.settings.fair() && teamRunning >= this.inputs.teamLimits().availableSlots(entry.request.team())) {
			int teamQueued = entry.queue().size(entry.rank(), queueName(entry.request));
			waitNanos = Math.max(waitNanos, rate.waitNanos(teamQueued, teamRunning));
		}
		return (long) waitNanos;
	}

	private void dispatch(long now, List<AdmissionAction> actions) {
		this.pipelineStates.values().forEach((state) -> rejectExpired(state, now, actions));
		boolean granted = true;
		while (granted) {
			granted = false;
			for (PipelineState state : this.pipelineStates.values()) {
				granted |= tryGrantNext(state, now, actions);
			}
		}
	}

	private void rejectExpired(PipelineState state, long now, List<AdmissionAction> actions) {
		Optional<RankedQueue.Ticket<Entry>> expired = state.queue.peekExpired(now);
		while (expired.isPresent()) {
			Entry entry = expired.get().item();
			reject(entry, "the deadline passed before the request could start", expectedWaitNanos(entry), actions);
			expired = state.queue.peekExpired(now);
		}
	}

	private boolean tryGrantNext(PipelineState state, long now, List<AdmissionAction> actions) {
		if (this.running.size() >= this.settings.maxRunning()) {
			return false;
		}
		int longRunning = state.rate(WorkClass.LONG).running();
		int runningAfterGrant = state.rate(WorkClass.SHORT).running() + longRunning + 1;
		if (longRunning < Math.max(1, (int) (this.settings.longShare() * runningAfterGrant))) {
			Optional<Entry> longEntry = acquireNextEligible(state.queue, WorkClass.LONG);
			if (longEntry.isPresent()) {
				return tryGrant(longEntry.get(), 1, now, actions);
			}
		}
		Optional<Entry> shortEntry = acquireNextEligible(state.queue, WorkClass.SHORT);
		if (shortEntry.isPresent()) {
			return tryGrant(shortEntry.get(), SHORT_WORK_LIMIT_SHARE, now, actions);
		}
		double unreservedShare = 1 - this.settings.shortReserve();
		if (this.running.size() + 1 > unreservedShare * this.settings.maxRunning()) {
			return false;
		}
		return acquireNextEligible(state.queue, WorkClass.LONG)
			.map((entry) -> tryGrant(entry, unreservedShare, now, actions))
			.orElse(false);
	}

	/**
	 * Acquires a team slot for the next entry that may start.
	 * @param queue the queue to take the entry from; the entry stays in it
	 * @param workClass the class of the entry
	 * @return the entry, or empty if no queued team has a free slot
	 */
	private Optional<Entry> acquireNextEligible(RankedQueue<Entry> queue, WorkClass workClass) {
		return queue
			.peek(workClass.ordinal(),
					(team) -> !this.settings.fair()
							|| this.inputs.teamLimits().tryAcquire(team, this.runningByTeam.getOrDefault(team, 0)))
			.map(RankedQueue.Ticket::item);
	}

	private boolean tryGrant(Entry entry, double limitShare, long now, List<AdmissionAction> actions) {
		if (!this.inputs.capacity().reserve(entry.request, limitShare)) {
			releaseTeamSlot(entry);
			return false;
		}
		if (this.queued.remove(entry.request.id()) != entry || this.running.put(entry.request.id(), entry) != null) {
			throw new IllegalStateException("request " + entry.request.id() + " granted while not queued");
		}
		entry.queue().start(entry.ticket, entry.estimatedTokens);
		entry.startNanos = now;
		entry.pipelineState.rate(entry.workClass).adjustRunning(1);
		this.runningByTeam.merge(entry.request.team(), 1, Integer::sum);
		actions.add(new AdmissionAction.Grant(entry.request, entry.workClass, entry.estimatedTokens));
		return true;
	}

	private void releaseTeamSlot(Entry entry) {
		if (this.settings.fair()) {
			this.inputs.teamLimits().release(entry.request.team());
		}
	}

	private void reject(Entry entry, String reason, long waitNanos, List<AdmissionAction> actions) {
		if (this.queued.remove(entry.request.id()) != entry || !entry.queue().remove(entry.ticket)) {
			throw new IllegalStateException("request " + entry.request.id() + " rejected while not queued");
		}
		Duration retryAfter = Duration.ofNanos(waitNanos);
		Duration capped = (retryAfter.compareTo(MAX_RETRY_AFTER) > 0) ? MAX_RETRY_AFTER : retryAfter;
		actions.add(new AdmissionAction.Reject(entry.request, reason,
				(capped.compareTo(MIN_RETRY_AFTER) < 0) ? MIN_RETRY_AFTER : capped));
	}

	private Entry runningEntry(String id) {
		Entry entry = this.running.get(id);
		if (entry == null) {
			throw new IllegalArgumentException("request " + id + " is not running");
		}
		return entry;
	}

	private PipelineState pipelineState(CallerRequest request) {
		return this.pipelineStates.computeIfAbsent(this.settings.fair() ? request.pipeline() : "",
				(name) -> new PipelineState());
	}

	private String queueName(CallerRequest request) {
		return this.settings.fair() ? request.team() : "";
	}

	private int teamWeight(CallerRequest request) {
		return this.settings.fair() ? this.inputs.weight().applyAsInt(request.team()) : 1;
	}

	/**
	 * A queued or running request. It stays assigned to the queue of its initial class
	 * when it is reclassified as long.
	 */
	private static final class Entry {

		private final CallerRequest request;

		private final PipelineState pipelineState;

		private final int estimatedTokens;

		private final WorkClass queueClass;

		private WorkClass workClass;

		private RankedQueue.Ticket<Entry> ticket;

		private long startNanos;

		private Entry(CallerRequest request, PipelineState pipelineState, int estimatedTokens, WorkClass workClass) {
			this.request = request;
			this.pipelineState = pipelineState;
			this.estimatedTokens = estimatedTokens;
			this.queueClass = workClass;
			this.workClass = workClass;
		}

		private RankedQueue<Entry> queue() {
			return this.pipelineState.queue;
		}

		private int rank() {
			return this.queueClass.ordinal();
		}

	}

	/**
	 * Queue and service rates of one pipeline, with a rank and a rate for each class.
	 * Without fair queues, all pipelines share one state.
	 */
	private static final class PipelineState {

		private final RankedQueue<Entry> queue = new RankedQueue<>(WorkClass.values().length);

		private final ServiceRate shortRate = new ServiceRate();

		private final ServiceRate longRate = new ServiceRate();

		private ServiceRate rate(WorkClass workClass) {
			return (workClass == WorkClass.SHORT) ? this.shortRate : this.longRate;
		}

	}

}
