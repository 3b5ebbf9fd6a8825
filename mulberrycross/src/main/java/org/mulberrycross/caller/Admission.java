package org.mulberrycross.caller;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Decides when requests run: in order of arrival, up to a number of running requests, and
 * refuses those that waited past their deadline. Not thread-safe; owned by the control
 * thread.
 */
public final class Admission {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final int maxRunning;

	private final int maxQueued;

	private final Deque<CallerRequest> queue = new ArrayDeque<>();

	private int running;

	/**
	 * Creates an empty admission.
	 * @param maxRunning the number of requests that may run at the same time, at least 1
	 * @param maxQueued the number of requests that may wait, 0 or more
	 */
	public Admission(int maxRunning, int maxQueued) {
		this.maxRunning = maxRunning;
		this.maxQueued = maxQueued;
	}

	/**
	 * Takes in a request.
	 * @param request the request, not null
	 * @param now the time on the daemon's monotonic clock
	 * @return the actions, in order
	 */
	public List<AdmissionAction> arrived(CallerRequest request, long now) {
		if (this.queue.size() >= this.maxQueued && this.running >= this.maxRunning) {
			return List.of(new AdmissionAction.Refuse(request, "the queue is full", RETRY_AFTER));
		}
		this.queue.add(request);
		return dispatch(now);
	}

	/**
	 * Notes that a granted request ended.
	 * @param now the time on the daemon's monotonic clock
	 * @return the actions, in order
	 */
	public List<AdmissionAction> finished(long now) {
		this.running--;
		return dispatch(now);
	}

	/**
	 * Refuses requests whose deadline has passed.
	 * @param now the time on the daemon's monotonic clock
	 * @return the actions, in order
	 */
	public List<AdmissionAction> tick(long now) {
		return dispatch(now);
	}

	private List<AdmissionAction> dispatch(long now) {
		List<AdmissionAction> actions = new ArrayList<>();
		while (!this.queue.isEmpty()) {
			CallerRequest next = this.queue.peek();
			if (next.deadlineNanos() - now < 0) {
				actions
					.add(new AdmissionAction.Refuse(this.queue.remove(), "the wait passed the deadline", RETRY_AFTER));
			}
			else if (this.running < this.maxRunning) {
				this.running++;
				actions.add(new AdmissionAction.Grant(this.queue.remove()));
			}
			else {
				break;
			}
		}
		return actions;
	}

}
