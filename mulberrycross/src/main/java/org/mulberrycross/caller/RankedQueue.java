package org.mulberrycross.caller;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * Requests that wait until they may start: by rank, within a rank fairly by team, and
 * with the time at which each one has waited long enough. The caller decides from which
 * rank the next request starts. Not thread-safe; owned by the control thread.
 *
 * @param <T> the type of the requests
 */
public final class RankedQueue<T> {

	private final List<FairQueue<Ticket<T>>> ranks = new ArrayList<>();

	private final PriorityQueue<Ticket<T>> byDeadline = new PriorityQueue<>(
			Comparator.comparingLong((Ticket<T> ticket) -> ticket.deadlineNanos));

	/**
	 * Creates an empty queue.
	 * @param rankCount the number of ranks, at least 1; 0 is the most urgent one
	 */
	public RankedQueue(int rankCount) {
		for (int rank = 0; rank < rankCount; rank++) {
			this.ranks.add(new FairQueue<>());
		}
	}

	/**
	 * Adds a request.
	 * @param rank the rank of the request, 0 for the most urgent
	 * @param team the name of its team, not null
	 * @param weight the share of the team within the rank, at least 1
	 * @param deadlineNanos the time at which it has waited long enough
	 * @param item the request, not null
	 * @return its place in the queue
	 */
	public Ticket<T> add(int rank, String team, int weight, long deadlineNanos, T item) {
		Ticket<T> ticket = new Ticket<>(rank, team, deadlineNanos, item);
		this.ranks.get(rank).add(team, weight, ticket);
		this.byDeadline.add(ticket);
		return ticket;
	}

	/**
	 * Returns the next request of a rank without removing it. Teams that may not start a
	 * request are skipped until {@link #unblock} or {@link #unblockAndPrune}.
	 * @param rank the rank
	 * @param mayStart returns whether a team may start a request, not null
	 * @return the request, or empty if no team with waiting requests may start one
	 */
	public Optional<Ticket<T>> peek(int rank, Predicate<String> mayStart) {
		return this.ranks.get(rank).peek(mayStart);
	}

	/**
	 * Removes a request that starts and charges its team.
	 * @param ticket its place, the first one of its team, not null
	 * @param cost the estimated work of the request
	 */
	public void start(Ticket<T> ticket, double cost) {
		ticket.waiting = false;
		this.ranks.get(ticket.rank).dequeue(ticket.team, ticket, cost);
	}

	/**
	 * Removes a request that does not start.
	 * @param ticket its place, not null
	 * @return whether it was waiting
	 */
	public boolean remove(Ticket<T> ticket) {
		ticket.waiting = false;
		return this.ranks.get(ticket.rank).remove(ticket.team, ticket);
	}

	/**
	 * Charges a team for work that was not known when its request started.
	 * @param ticket the place that the request had, not null
	 * @param cost the work, negative for a credit
	 */
	public void charge(Ticket<T> ticket, double cost) {
		this.ranks.get(ticket.rank).charge(ticket.team, cost);
	}

	/**
	 * Returns the request that has waited too long by the most, without removing it.
	 * @param now the time on the daemon's monotonic clock, in nanoseconds
	 * @return the request, or empty if none has waited long enough
	 */
	public Optional<Ticket<T>> peekExpired(long now) {
		while (!this.byDeadline.isEmpty() && !this.byDeadline.peek().waiting) {
			this.byDeadline.remove();
		}
		return Optional.ofNullable(this.byDeadline.peek()).filter((ticket) -> ticket.deadlineNanos - now < 0);
	}

	/**
	 * Returns how many requests start up to and including the last one of a team, by the
	 * fair order within its rank.
	 * @param ticket a waiting request of the team, not null
	 * @return the number, without the requests of other ranks
	 */
	public double estimatedPosition(Ticket<T> ticket) {
		return this.ranks.get(ticket.rank).estimatedPosition(ticket.team);
	}

	/**
	 * Returns the newest request of the team that waits with most requests of a rank,
	 * relative to its weight.
	 * @param rank the rank
	 * @return the request, or empty if none waits
	 */
	public Optional<Ticket<T>> newestOfLongestQueue(int rank) {
		return this.ranks.get(rank).newestOfLongestQueue();
	}

	/**
	 * Lets a team start requests again.
	 * @param team the name of the team, not null
	 */
	public void unblock(String team) {
		this.ranks.forEach((queue) -> queue.unblock(team));
	}

	/** Lets all teams start requests again and forgets those without any. */
	public void unblockAndPrune() {
		this.ranks.forEach(FairQueue::unblockAndPrune);
	}

	/**
	 * Returns how many requests of a rank wait.
	 * @param rank the rank
	 * @return the number, 0 or more
	 */
	public int size(int rank) {
		return this.ranks.get(rank).size();
	}

	/**
	 * Returns how many requests of a rank and a team wait.
	 * @param rank the rank
	 * @param team the name of the team, not null
	 * @return the number, 0 or more
	 */
	public int size(int rank, String team) {
		return this.ranks.get(rank).size(team);
	}

	/**
	 * Returns how many requests wait that are as urgent as a rank, or more.
	 * @param rank the rank
	 * @return the number, 0 or more
	 */
	public int sizeUpTo(int rank) {
		return this.ranks.subList(0, rank + 1).stream().mapToInt(FairQueue::size).sum();
	}

	/**
	 * Returns the number of ranks.
	 * @return the number, at least 1
	 */
	public int rankCount() {
		return this.ranks.size();
	}

	/**
	 * The place of a request in the queue.
	 *
	 * @param <T> the type of the requests
	 */
	public static final class Ticket<T> {

		private final int rank;

		private final String team;

		private final long deadlineNanos;

		private final T item;

		private boolean waiting = true;

		private Ticket(int rank, String team, long deadlineNanos, T item) {
			this.rank = rank;
			this.team = team;
			this.deadlineNanos = deadlineNanos;
			this.item = item;
		}

		/**
		 * Returns the request.
		 * @return the request
		 */
		public T item() {
			return this.item;
		}

		/**
		 * Returns the rank of the request.
		 * @return the rank, 0 for the most urgent
		 */
		public int rank() {
			return this.rank;
		}

	}

}
