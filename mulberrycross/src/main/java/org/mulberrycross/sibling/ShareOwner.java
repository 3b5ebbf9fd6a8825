package org.mulberrycross.sibling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.ToIntFunction;

/**
 * Lends the limits of the teams that this daemon owns. Not thread-safe; owned by the
 * control thread.
 */
final class ShareOwner {

	/**
	 * Part of the lease time that is added on the owner's side, for clocks whose rates
	 * differ. Quartz clocks differ by less than 0.1%; 5% also covers slewing.
	 */
	private static final int MARGIN_DIVISOR = 20;

	private final String self;

	private final ToIntFunction<String> limits;

	private final long leaseNanos;

	private final Map<String, Team> teams = new HashMap<>();

	/** The views of the last lease time, the newest last. */
	private final Deque<View> views = new ArrayDeque<>();

	private long startNanos;

	ShareOwner(String self, ToIntFunction<String> limits, long leaseNanos, long nanos) {
		this.self = self;
		this.limits = limits;
		this.leaseNanos = leaseNanos + leaseNanos / MARGIN_DIVISOR;
		this.startNanos = nanos;
	}

	/**
	 * Notes which members decide from now on, and forgets teams that now have another
	 * owner.
	 * @param members the names of the members, not null
	 * @param nanos the time on the daemon's monotonic clock
	 */
	void view(List<String> members, long nanos) {
		if (!this.views.isEmpty()) {
			View last = this.views.removeLast();
			this.views.add(new View(last.members, nanos));
		}
		this.views.add(new View(members, Long.MAX_VALUE));
		this.teams.keySet().removeIf((team) -> !owns(team));
	}

	/**
	 * Forgets everything, since this daemon was not running for so long that others may
	 * have lent the same limits.
	 * @param nanos the time on the daemon's monotonic clock
	 */
	void restart(long nanos) {
		this.startNanos = nanos;
		this.teams.clear();
	}

	/**
	 * Removes grants that ended and teams without any.
	 * @param nanos the time on the daemon's monotonic clock
	 */
	void tick(long nanos) {
		while (this.views.size() > 1 && nanos - this.views.peek().endNanos > this.leaseNanos) {
			this.views.remove();
		}
		this.teams.values().removeIf((team) -> {
			team.borrowers.values().removeIf((borrower) -> nanos - borrower.endNanos >= 0);
			return team.borrowers.isEmpty() && nanos - team.openNanos >= 0;
		});
	}

	boolean owns(String team) {
		return Rendezvous.owner(team, this.views.getLast().members).filter(this.self::equals).isPresent();
	}

	int activeTeams() {
		return this.teams.size();
	}

	/**
	 * Answers one item.
	 * @param sender the borrower, not null
	 * @param sequence the number of the request
	 * @param item the item, not null
	 * @param nanos the time on the daemon's monotonic clock
	 * @return the part, or empty for an item that is not newer than the last one of the
	 * borrower, which a network can deliver late or twice; it changes nothing
	 */
	OptionalInt lend(Member sender, long sequence, ShareRequest.Item item, long nanos) {
		Team team = this.teams.computeIfAbsent(item.team(), (name) -> new Team(openNanos(name)));
		team.borrowers.values().removeIf((borrower) -> nanos - borrower.endNanos >= 0);
		Borrower known = team.borrowers.get(sender.name());
		if (known != null && (sender.incarnation() < known.incarnation
				|| (sender.incarnation() == known.incarnation && sequence <= known.sequence))) {
			return OptionalInt.empty();
		}
		team.borrowers.remove(sender.name());
		int limit = Math.max(0, this.limits.applyAsInt(item.team()));
		int free = Math.max(0, limit - team.counted());
		long servedNanos = (known != null) ? known.servedNanos : nanos;
		boolean waiting = nanos - team.openNanos < 0;
		int amount = Math.min(free,
				waiting ? Math.min(item.held(), item.wanted()) : fair(team, item, limit, servedNanos));
		int lent = (known != null && known.incarnation == sender.incarnation()) ? known.counted : 0;
		// The borrower uses what it holds until the reply comes, which may be lost.
		int stillUsed = Math.min(item.held(), lent);
		int counted = Math.max(amount, stillUsed);
		if (counted > 0 || item.wanted() > 0) {
			team.borrowers.put(sender.name(), new Borrower(sender.incarnation(), sequence, counted, item.wanted(),
					(amount > 0) ? nanos : servedNanos, nanos + this.leaseNanos));
		}
		if (counted > stillUsed && team.counted() > limit) {
			throw new IllegalStateException(
					"team " + item.team() + " has " + team.counted() + " of " + limit + " lent");
		}
		return OptionalInt.of(amount);
	}

	// The max-min fair part of a borrower, but not less than what it runs. Units that do
	// not divide evenly go to the borrowers that were served longest ago.
	private int fair(Team team, ShareRequest.Item item, int limit, long servedNanos) {
		List<Integer> wants = new ArrayList<>(team.borrowers.values().stream().map(Borrower::wanted).toList());
		wants.add(item.wanted());
		wants.sort(Comparator.naturalOrder());
		int left = limit;
		int level = Integer.MAX_VALUE;
		for (int i = 0; i < wants.size(); i++) {
			int equal = left / (wants.size() - i);
			if (wants.get(i) > equal) {
				int remainder = left % (wants.size() - i);
				long before = team.borrowers.values()
					.stream()
					.filter((other) -> other.wanted > equal && other.servedNanos - servedNanos < 0)
					.count();
				level = (before < remainder) ? equal + 1 : equal;
				break;
			}
			left -= wants.get(i);
		}
		return Math.min(item.wanted(), Math.max(level, Math.min(item.running(), item.held())));
	}

	// A team's limit may be lent freely one lease time after this daemon last started,
	// and after the last view in which another daemon owned the team.
	private long openNanos(String team) {
		long open = this.startNanos + this.leaseNanos;
		for (View view : this.views) {
			if (view.endNanos != Long.MAX_VALUE
					&& !Rendezvous.owner(team, view.members).filter(this.self::equals).isPresent()) {
				open = Math.max(open, view.endNanos + this.leaseNanos);
			}
		}
		return open;
	}

	private record View(List<String> members, long endNanos) {

	}

	private record Borrower(long incarnation, long sequence, int counted, int wanted, long servedNanos, long endNanos) {

	}

	private static final class Team {

		private final long openNanos;

		private final Map<String, Borrower> borrowers = new HashMap<>();

		private Team(long openNanos) {
			this.openNanos = openNanos;
		}

		private int counted() {
			return this.borrowers.values().stream().mapToInt(Borrower::counted).sum();
		}

	}

}
