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
 * Start-time fair queue over teams: each team has a queue in order of arrival, and the
 * team that received the least work relative to its weight is next. An idle team gains no
 * credit. Not thread-safe; owned by the control thread.
 *
 * @param <T> the type of the items
 */
final class FairQueue<T> {

	private final Map<String, Team<T>> teams = new HashMap<>();

	private final TreeSet<Team<T>> ready = new TreeSet<>(
			Comparator.comparingDouble((Team<T> team) -> team.tag).thenComparing((team) -> team.name));

	/** Teams with work that reached their limit; they return on the next change. */
	private final Set<String> parked = new HashSet<>();

	private double virtualTime;

	private int size;

	private long activeWeight;

	void add(String name, int weight, T item) {
		Team<T> team = this.teams.computeIfAbsent(name, Team::new);
		if (team.items.isEmpty()) {
			team.weight = Math.max(1, weight);
			team.tag = Math.max(team.tag, this.virtualTime);
			this.activeWeight += team.weight;
			this.ready.add(team);
		}
		team.items.add(item);
		this.size++;
	}

	/**
	 * Returns the next item of a team that may start, and leaves it in the queue.
	 * @param mayStart says whether a team may start one more request
	 * @return the item, or empty if no team with work may start one
	 */
	Optional<T> peek(Predicate<String> mayStart) {
		while (!this.ready.isEmpty()) {
			Team<T> team = this.ready.first();
			if (mayStart.test(team.name)) {
				return Optional.of(team.items.peek());
			}
			this.ready.remove(team);
			this.parked.add(team.name);
		}
		return Optional.empty();
	}

	/**
	 * Removes an item that starts and charges its team.
	 * @param name the name of the team
	 * @param item the item, the first of its team
	 * @param cost the work that the item brings
	 */
	void start(String name, T item, double cost) {
		Team<T> team = this.teams.get(name);
		this.virtualTime = Math.max(this.virtualTime, team.tag);
		remove(name, item);
		charge(name, cost);
	}

	boolean remove(String name, T item) {
		Team<T> team = this.teams.get(name);
		if (team == null || !team.items.removeFirstOccurrence(item)) {
			return false;
		}
		this.size--;
		if (team.items.isEmpty()) {
			this.ready.remove(team);
			this.parked.remove(name);
			this.activeWeight -= team.weight;
		}
		return true;
	}

	/**
	 * Charges a team for work, or credits it if the work is negative. The credit never
	 * moves a team before the virtual time.
	 * @param name the name of the team
	 * @param cost the work
	 */
	void charge(String name, double cost) {
		Team<T> team = this.teams.get(name);
		if (team == null) {
			return;
		}
		boolean queued = this.ready.remove(team);
		team.tag = Math.max(this.virtualTime, team.tag + cost / team.weight);
		if (queued) {
			this.ready.add(team);
		}
	}

	void unpark(String name) {
		if (this.parked.remove(name)) {
			this.ready.add(this.teams.get(name));
		}
	}

	/** Makes all parked teams ready and forgets idle teams that owe nothing. */
	void refresh() {
		this.parked.forEach((name) -> this.ready.add(this.teams.get(name)));
		this.parked.clear();
		this.teams.values().removeIf((team) -> team.items.isEmpty() && team.tag <= this.virtualTime);
	}

	int size() {
		return this.size;
	}

	int size(String name) {
		return this.teams.containsKey(name) ? this.teams.get(name).items.size() : 0;
	}

	/**
	 * Returns about how many items start before the last item of a team.
	 * @param name the name of a team with items
	 * @return the number of items, including that item
	 */
	double position(String name) {
		Team<T> team = this.teams.get(name);
		return Math.min(this.size, (double) team.items.size() * this.activeWeight / team.weight);
	}

	/**
	 * Returns the newest item of the team with the longest queue relative to its weight.
	 * @return the item, or empty if the queue is empty
	 */
	Optional<T> newestOfLongest() {
		return this.teams.values()
			.stream()
			.max(Comparator.comparingDouble((team) -> (double) team.items.size() / team.weight))
			.map((team) -> team.items.peekLast());
	}

	/**
	 * The queue of one team.
	 *
	 * @param <T> the type of the items
	 */
	private static final class Team<T> {

		private final String name;

		private final Deque<T> items = new ArrayDeque<>();

		private int weight = 1;

		private double tag;

		private Team(String name) {
			this.name = name;
		}

	}

}
