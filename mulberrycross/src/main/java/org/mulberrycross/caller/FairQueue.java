package org.mulberrycross.caller;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Start-time fair queue over teams. Each team has a queue in order of arrival, and the
 * team that received the least work relative to its weight is served next. A team gains
 * no credit while its queue is empty. Not thread-safe; owned by the control thread.
 *
 * @param <T> the type of the items
 */
final class FairQueue<T> {

	private final Map<String, TeamQueue<T>> queues = new HashMap<>();

	private final TreeSet<TeamQueue<T>> eligible = new TreeSet<>(
			Comparator.comparingDouble((TeamQueue<T> queue) -> queue.startTag).thenComparing((queue) -> queue.team));

	/** Teams with queued items that are at their limit; skipped until unblocked. */
	private final Set<String> blocked = new HashSet<>();

	private double virtualTime;

	private int size;

	/** Sum of the weights of the teams with queued items. */
	private long activeWeight;

	void add(String team, int weight, T item) {
		TeamQueue<T> queue = this.queues.computeIfAbsent(team, TeamQueue::new);
		if (queue.items.isEmpty()) {
			queue.weight = Math.max(1, weight);
			queue.startTag = Math.max(queue.startTag, this.virtualTime);
			this.activeWeight += queue.weight;
			this.eligible.add(queue);
		}
		queue.items.add(item);
		this.size++;
	}

	/**
	 * Returns the next item without removing it. Teams that may not start an item are
	 * blocked until {@link #unblock} or {@link #unblockAndPrune}.
	 * @param mayStart returns whether a team may start an item; may acquire a slot for it
	 * @return the item, or empty if no team with queued items may start one
	 */
	Optional<T> peek(Predicate<String> mayStart) {
		while (!this.eligible.isEmpty()) {
			TeamQueue<T> queue = this.eligible.first();
			if (mayStart.test(queue.team)) {
				return Optional.of(queue.items.peek());
			}
			this.eligible.remove(queue);
			this.blocked.add(queue.team);
		}
		return Optional.empty();
	}

	/**
	 * Removes an item that starts, advances the virtual time and charges the team.
	 * @param team the name of the team
	 * @param item the item, the first of its team
	 * @param cost the estimated work of the item
	 */
	void dequeue(String team, T item, double cost) {
		TeamQueue<T> queue = this.queues.get(team);
		this.virtualTime = Math.max(this.virtualTime, queue.startTag);
		remove(team, item);
		charge(team, cost);
	}

	boolean remove(String team, T item) {
		TeamQueue<T> queue = this.queues.get(team);
		if (queue == null || !queue.items.removeFirstOccurrence(item)) {
			return false;
		}
		this.size--;
		if (queue.items.isEmpty()) {
			this.eligible.remove(queue);
			this.blocked.remove(team);
			this.activeWeight -= queue.weight;
		}
		return true;
	}

	/**
	 * Charges a team for work, or credits it if the cost is negative. A credit never
	 * moves the team's start tag before the virtual time.
	 * @param team the name of the team; unknown teams are ignored
	 * @param cost the work
	 */
	void charge(String team, double cost) {
		TeamQueue<T> queue = this.queues.get(team);
		if (queue == null) {
			return;
		}
		boolean wasEligible = this.eligible.remove(queue);
		queue.startTag = Math.max(this.virtualTime, queue.startTag + cost / queue.weight);
		if (wasEligible) {
			this.eligible.add(queue);
		}
	}

	void unblock(String team) {
		if (this.blocked.remove(team)) {
			this.eligible.add(this.queues.get(team));
		}
	}

	/**
	 * Unblocks all teams and removes those without queued items or outstanding charges.
	 */
	void unblockAndPrune() {
		this.blocked.forEach((team) -> this.eligible.add(this.queues.get(team)));
		this.blocked.clear();
		this.queues.values().removeIf((queue) -> queue.items.isEmpty() && queue.startTag <= this.virtualTime);
	}

	int size() {
		return this.size;
	}

	int size(String team) {
		return this.queues.containsKey(team) ? this.queues.get(team).items.size() : 0;
	}

	/**
	 * Estimates the position of a team's last item in the fair order.
	 * @param team the name of a team with queued items
	 * @return the number of items up to and including that item
	 */
	double estimatedPosition(String team) {
		TeamQueue<T> queue = this.queues.get(team);
		return Math.min(this.size, (double) queue.items.size() * this.activeWeight / queue.weight);
	}

	/**
	 * Returns the newest item of the team with the longest queue relative to its weight.
	 * @return the item, or empty if the queue is empty
	 */
	Optional<T> newestOfLongestQueue() {
		return this.queues.values()
			.stream()
			.max(Comparator.comparingDouble((queue) -> (double) queue.items.size() / queue.weight))
			.map((queue) -> queue.items.peekLast());
	}

	/**
	 * Queue of one team. The start tag is the virtual time at which its next item is due.
	 *
	 * @param <T> the type of the items
	 */
	private static final class TeamQueue<T> {

		private final String team;

		private final Deque<T> items = new ArrayDeque<>();

		private int weight = 1;

		private double startTag;

		private TeamQueue(String team) {
			this.team = team;
		}

	}

}
