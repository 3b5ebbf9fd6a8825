package org.mulberrycross.caller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Decides when requests run. Requests wait in weighted fair queues by team, separately
 * for each pipeline and {@link WorkClass}.
 *
 * <p>
 * Short work goes first. While long work waits on a pipeline, it gets each free place
 * until {@code longShare} of the pipeline's running requests (at least one) is long. Let
 * {@code k} be that number of places, {@code s} the longest time that a short request
 * runs and {@code l} the longest time that a long one does. A long request with {@code n}
 * long requests before it in the fair order starts within
 * {@code s + l * ceil((n + 1) / k)}, provided that the capacity of the pipeline does not
 * shrink and its team is below its limit. Beyond its share, long work may use only places
 * that leave {@code shortReserve} of the capacity free, so that short work finds places
 * at once.
 *
 * <p>
 * A request that must wait is refused at once if its expected wait passes its deadline.
 * The expected wait is the number of requests before it in the fair order, divided by the
 * measured service rate of its class: running requests by mean service time. Not
 * thread-safe; owned by the control thread.
 */
public final class Admission {

	private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);

	private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(30);

	/** Histories of 20,000 teams on two pipelines each (design, section 2.7). */
	private static final int MAX_HISTORIES = 40_000;

	/**
	 * Short work may exceed the stream limits, since engines run its steps before those
	 * of long work. Without this, long work that was admitted as short left too few
	 * places: in the served-system model at capacity the p95 wait was 452 ms against 210.
	 */
	private static final double SHORT_LIMIT_SHARE = 1.5;

	private final AdmissionSettings settings;

	private final AdmissionInputs inputs;

	private final LengthEstimator estimator = new LengthEstimator(MAX_HISTORIES);

	private final Map<String, Lane> lanes = new LinkedHashMap<>();

	private final Map<String, Entry> waiting = new HashMap<>();

	private final Map<String, Entry> running = new HashMap<>();

	private final Map<String, Integer> teamRunning = new HashMap<>();

	private final PriorityQueue<Entry> deadlines = new PriorityQueue<>(
			Comparator.comparingLong((Entry entry) -> entry.request.deadlineNanos()));

	/**
	 * Creates an empty admission.
	 * @param settings the limits and shares, not null
	 * @param inputs what admission asks others for, not null
	 */
	public Admission(AdmissionSettings settings, AdmissionInputs inputs) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.inputs = Objects.requireNonNull(inputs, "inputs");
	}

	/**
	 * Takes in a request.
	 * @param request the request, not null
	 * @param now the time on the daemon's monotonic clock
	 * @return the actions, in order
	 * @throws IllegalArgumentException if a request with the same identifier waits or
	 * runs
	 */
	public List<AdmissionAction> arrived(CallerRequest request, long now) {
		if (this.waiting.containsKey(request.id()) || this.running.containsKey(request.id())) {
			throw new IllegalArgumentException("request " + request.id() + " arrived twice");
		}
		int estimate = this.settings.fair() ? this.estimator.estimate(request) : request.maxTokens();
		boolean isLong = this.settings.fair() && estimate >= this.inputs.longTokens().applyAsInt(request.pipeline());
		Entry entry = new Entry(request, lane(request), estimate, isLong ? WorkClass.LONG : WorkClass.SHORT);
		entry.queue().add(queueName(request), weight(request), entry);
		this.waiting.put(request.id(), entry);
		this.deadlines.add(entry);
		List<AdmissionAction> actions = new ArrayList<>();
		dispatch(now, actions);
		if (this.waiting.containsKey(request.id())) {
			limitWait(entry, now, actions);
		}
		return actions;
	}

	/**
	 * Notes that a granted request ended.
	 * @param id the identifier of the request, not null
	 * @param tokens the number of tokens that it generated
	 * @param complete whether the output is complete, so that its length may be learnt
	 * @param now the time on the daemon's monotonic clock
	 * @return the actions, in order
	 * @throws IllegalArgumentException if the request does not run
	 */
	public List<AdmissionAction> finished(String id, int tokens, boolean complete, long now) {
		Entry entry = running(id);
		this.running.remove(id);
		String team = entry.request.team();
		this.teamRunning.merge(team, -1, (count, change) -> (count > 1) ? Integer.valueOf(count - 1) : null);
		releasePlace(entry);
		entry.lane.serviceTime(entry.workClass).learn(now - entry.startNanos);
		entry.lane.changeRunning(entry.workClass, -1);
		entry.queue().charge(queueName(entry.request), tokens - entry.estimate);
		if (complete) {
			this.estimator.learn(entry.request, tokens);
		}
		for (Lane lane : this.lanes.values()) {
			lane.shortQueue.unpark(team);
			lane.longQueue.unpark(team);
		}
		List<AdmissionAction> actions = new ArrayList<>();
		dispatch(now, actions);
		return actions;
	}

	/**
	 * Notes that a running request generated more tokens than estimated. It counts as
	 * long work from now on.
	 * @param id the identifier of the request, not null
	 * @param now the time on the daemon's monotonic clock
	 * @return the actions, in order
	 * @throws IllegalArgumentException if the request does not run
	 */
	public List<AdmissionAction> exceeded(String id, long now) {
		Entry entry = running(id);
		List<AdmissionAction> actions = new ArrayList<>();
		if (this.settings.fair() && entry.workClass == WorkClass.SHORT) {
			entry.lane.changeRunning(WorkClass.SHORT, -1);
			entry.workClass = WorkClass.LONG;
			entry.lane.changeRunning(WorkClass.LONG, 1);
			dispatch(now, actions);
		}
		return actions;
	}

	/**
	 * Refuses requests whose deadline has passed, and grants requests for which there is
	 * capacity by now.
	 * @param now the time on the daemon's monotonic clock
	 * @return the actions, in order
	 */
	public List<AdmissionAction> tick(long now) {
		this.lanes.values().forEach(Lane::refresh);
		List<AdmissionAction> actions = new ArrayList<>();
		dispatch(now, actions);
		return actions;
	}

	/**
	 * Returns the number of requests that wait.
	 * @return the number
	 */
	public int queued() {
		return this.waiting.size();
	}

	/**
	 * Returns the number of requests that run.
	 * @return the number
	 */
	public int running() {
		return this.running.size();
	}

	private void limitWait(Entry entry, long now, List<AdmissionAction> actions) {
		if (this.settings.fair()) {
			long wait = expectedWaitNanos(entry);
			if (wait > entry.request.deadlineNanos() - now) {
				refuse(entry, "the expected wait passes the deadline", wait - (entry.request.deadlineNanos() - now),
						actions);
			}
		}
		if (this.waiting.size() > this.settings.maxQueued()) {
			// The team with the longest queue gives way, so that it cannot fill the
			// queue for others.
			Entry last = this.settings.fair() ? entry.queue().newestOfLongest().orElse(entry) : entry;
			refuse(last, "the queue is full", expectedWaitNanos(last), actions);
		}
	}

	private long expectedWaitNanos(Entry entry) {
		Lane lane = entry.lane;
		double serviceNanos = lane.serviceTime(entry.workClass).nanos();
		double wait = entry.queue().position(queueName(entry.request)) * serviceNanos
				/ Math.max(1, lane.running(entry.workClass));
		int ownRunning = this.teamRunning.getOrDefault(entry.request.team(), 0);
		if (this.settings.fair() && ownRunning >= this.inputs.teamLimits().places(entry.request.team())) {
			int ownQueued = entry.queue().size(queueName(entry.request));
			wait = Math.max(wait, ownQueued * serviceNanos / Math.max(1, ownRunning));
		}
		return (long) wait;
	}

	private void dispatch(long now, List<AdmissionAction> actions) {
		while (!this.deadlines.isEmpty() && this.deadlines.peek().request.deadlineNanos() - now < 0) {
			Entry expired = this.deadlines.remove();
			if (this.waiting.get(expired.request.id()) == expired) {
				refuse(expired, "the wait passed the deadline", expectedWaitNanos(expired), actions);
			}
		}
		boolean granted = true;
		while (granted) {
			granted = false;
			for (Lane lane : this.lanes.values()) {
				granted |= grantOne(lane, now, actions);
			}
		}
	}

	private boolean grantOne(Lane lane, long now, List<AdmissionAction> actions) {
		if (this.running.size() >= this.settings.maxRunning()) {
			return false;
		}
		int places = lane.shortRunning + lane.longRunning + 1;
		if (lane.longRunning < Math.max(1, (int) (this.settings.longShare() * places))) {
			Optional<Entry> guaranteed = next(lane.longQueue);
			if (guaranteed.isPresent()) {
				return grant(guaranteed.get(), 1, now, actions);
			}
		}
		Optional<Entry> shortWork = next(lane.shortQueue);
		if (shortWork.isPresent()) {
			return grant(shortWork.get(), SHORT_LIMIT_SHARE, now, actions);
		}
		double unreserved = 1 - this.settings.shortReserve();
		if (this.running.size() + 1 > unreserved * this.settings.maxRunning()) {
			return false;
		}
		return next(lane.longQueue).map((entry) -> grant(entry, unreserved, now, actions)).orElse(false);
	}

	private Optional<Entry> next(FairQueue<Entry> queue) {
		if (!this.settings.fair()) {
			return queue.peek((name) -> true);
		}
		return queue.peek((team) -> this.inputs.teamLimits().tryAcquire(team, this.teamRunning.getOrDefault(team, 0)));
	}

	private boolean grant(Entry entry, double limitShare, long now, List<AdmissionAction> actions) {
		if (!this.inputs.capacity().reserve(entry.request, limitShare)) {
			releasePlace(entry);
			return false;
		}
		if (this.waiting.remove(entry.request.id()) != entry || this.running.put(entry.request.id(), entry) != null) {
			throw new IllegalStateException("request " + entry.request.id() + " granted while it does not wait");
		}
		entry.queue().start(queueName(entry.request), entry, entry.estimate);
		entry.startNanos = now;
		entry.lane.changeRunning(entry.workClass, 1);
		this.teamRunning.merge(entry.request.team(), 1, Integer::sum);
		actions.add(new AdmissionAction.Grant(entry.request, entry.workClass, entry.estimate));
		return true;
	}

	private void releasePlace(Entry entry) {
		if (this.settings.fair()) {
			this.inputs.teamLimits().release(entry.request.team());
		}
	}

	private void refuse(Entry entry, String reason, long waitNanos, List<AdmissionAction> actions) {
		if (this.waiting.remove(entry.request.id()) != entry
				|| !entry.queue().remove(queueName(entry.request), entry)) {
			throw new IllegalStateException("request " + entry.request.id() + " refused while it does not wait");
		}
		Duration wait = Duration.ofNanos(waitNanos);
		Duration bounded = (wait.compareTo(MAX_RETRY_AFTER) > 0) ? MAX_RETRY_AFTER : wait;
		actions.add(new AdmissionAction.Refuse(entry.request, reason,
				(bounded.compareTo(MIN_RETRY_AFTER) < 0) ? MIN_RETRY_AFTER : bounded));
	}

	private Entry running(String id) {
		Entry entry = this.running.get(id);
		if (entry == null) {
			throw new IllegalArgumentException("request " + id + " does not run");
		}
		return entry;
	}

	private Lane lane(CallerRequest request) {
		return this.lanes.computeIfAbsent(this.settings.fair() ? request.pipeline() : "", (name) -> new Lane());
	}

	private String queueName(CallerRequest request) {
		return this.settings.fair() ? request.team() : "";
	}

	private int weight(CallerRequest request) {
		return this.settings.fair() ? this.inputs.weight().applyAsInt(request.team()) : 1;
	}

	/**
	 * A request that waits or runs.
	 */
	private static final class Entry {

		private final CallerRequest request;

		private final Lane lane;

		private final int estimate;

		private final WorkClass queuedAs;

		private WorkClass workClass;

		private long startNanos;

		private Entry(CallerRequest request, Lane lane, int estimate, WorkClass workClass) {
			this.request = request;
			this.lane = lane;
			this.estimate = estimate;
			this.queuedAs = workClass;
			this.workClass = workClass;
		}

		private FairQueue<Entry> queue() {
			return (this.queuedAs == WorkClass.SHORT) ? this.lane.shortQueue : this.lane.longQueue;
		}

	}

	/**
	 * The queues of one pipeline.
	 */
	private static final class Lane {

		private final FairQueue<Entry> shortQueue = new FairQueue<>();

		private final FairQueue<Entry> longQueue = new FairQueue<>();

		private final ServiceTime shortTime = new ServiceTime();

		private final ServiceTime longTime = new ServiceTime();

		private int shortRunning;

		private int longRunning;

		private void refresh() {
			this.shortQueue.refresh();
			this.longQueue.refresh();
		}

		private int running(WorkClass workClass) {
			return (workClass == WorkClass.SHORT) ? this.shortRunning : this.longRunning;
		}

		private ServiceTime serviceTime(WorkClass workClass) {
			return (workClass == WorkClass.SHORT) ? this.shortTime : this.longTime;
		}

		private void changeRunning(WorkClass workClass, int change) {
			if (workClass == WorkClass.SHORT) {
				this.shortRunning += change;
			}
			else {
				this.longRunning += change;
			}
		}

	}

	/**
	 * Mean time that a request runs, with more weight on recent requests.
	 */
	private static final class ServiceTime {

		private static final double GAIN = 0.05;

		private double nanos;

		private void learn(long sample) {
			this.nanos += ((this.nanos == 0) ? 1 : GAIN) * (sample - this.nanos);
		}

		private double nanos() {
			return this.nanos;
		}

	}

}
