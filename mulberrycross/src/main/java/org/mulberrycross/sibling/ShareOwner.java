package org.mulberrycross.sibling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Leases shares of the limits of the teams that this daemon owns to the borrowing
 * daemons. Not thread-safe; confined to the control thread.
 */
final class ShareOwner {

	/**
	 * Divisor of the lease time that yields the margin added on the owner's side for
	 * differing clock rates. Quartz clocks differ by less than 0.1%; the 5% margin also
	 * covers clock slewing.
	 */
	private static final int CLOCK_MARGIN_DIVISOR = 20;

	private final String selfName;

	private final ShareLimits limits;

	private final boolean countsIdleBorrowers;

	private final long leaseWithMarginNanos;

	private final Map<String, TeamLeases> teams = new HashMap<>();

	/** The views that were current within the last lease time, the newest last. */
	private final Deque<View> views = new ArrayDeque<>();

	private long startNanos;

	ShareOwner(String selfName, ShareLimits limits, boolean countsIdleBorrowers, long leaseNanos, long nanos) {
		this.selfName = selfName;
		this.limits = limits;
		this.countsIdleBorrowers = countsIdleBorrowers;
		this.leaseWithMarginNanos = withClockMargin(leaseNanos);
		this.startNanos = nanos;
	}

	// Returns the lease time as the owner counts it.
	static long withClockMargin(long leaseNanos) {
		return leaseNanos + leaseNanos / CLOCK_MARGIN_DIVISOR;
	}

	/**
	 * Starts a new view of the live daemons and removes the state of teams that this
	 * daemon no longer owns.
	 * @param members the names of the live daemons, not null
	 * @param nanos the time on the daemon's monotonic clock
	 */
	void updateView(List<String> members, long nanos) {
		if (!this.views.isEmpty()) {
			View last = this.views.removeLast();
			this.views.add(new View(last.members, nanos));
		}
		this.views.add(new View(members, Long.MAX_VALUE));
		this.teams.keySet().removeIf((team) -> !owns(team));
	}

	/**
	 * Removes all leases and restarts the grace period. Called when this daemon was
	 * paused for so long that other daemons may have leased out the same limits.
	 * @param nanos the time on the daemon's monotonic clock
	 */
	void reset(long nanos) {
		this.startNanos = nanos;
		this.teams.clear();
	}

	/**
	 * Removes expired views and leases. Teams without leases are removed after their
	 * grace period has ended.
	 * @param nanos the time on the daemon's monotonic clock
	 */
	void removeExpired(long nanos) {
		while (this.views.size() > 1 && nanos - this.views.peek().endNanos > this.leaseWithMarginNanos) {
			this.views.remove();
		}
		this.teams.values().removeIf((team) -> {
			team.borrowers.values().removeIf((borrower) -> nanos - borrower.leaseEndNanos >= 0);
			return team.borrowers.isEmpty() && nanos - team.graceEndNanos >= 0;
		});
	}

	boolean owns(String team) {
		return Rendezvous.owner(team, this.views.getLast().members).filter(this.selfName::equals).isPresent();
	}

	int activeTeamCount() {
		return this.teams.size();
	}

	/**
	 * Grants a share for one item of a request. An item that is not newer than the last
	 * one of the borrower changes nothing, since the network may deliver messages late or
	 * twice.
	 * @param sender the borrower, not null
	 * @param sequence the sequence number of the request
	 * @param item the share that the borrower holds and wants of one team, not null
	 * @param nanos the time on the daemon's monotonic clock
	 * @return the granted number of slots, or empty if the item is not newer than the
	 * last one
	 */
	OptionalInt grantShare(Member sender, long sequence, ShareRequest.Item item, long nanos) {
		TeamLeases team = this.teams.computeIfAbsent(item.team(), (name) -> new TeamLeases(graceEndNanos(name)));
		team.borrowers.values().removeIf((borrower) -> nanos - borrower.leaseEndNanos >= 0);
		Borrower previous = team.borrowers.get(sender.name());
		if (previous != null && (sender.incarnation() < previous.incarnation
				|| (sender.incarnation() == previous.incarnation && sequence <= previous.sequence))) {
			return OptionalInt.empty();
		}
		team.borrowers.remove(sender.name());
		int limit = Math.max(0, this.limits.slots(item.team(), otherBorrowers(team, sender)));
		int available = Math.max(0, limit - team.reservedTotal());
		long servedNanos = (previous != null) ? previous.lastServedNanos : nanos;
		boolean inGracePeriod = nanos - team.graceEndNanos < 0;
		int amount = Math.min(available,
				inGracePeriod ? Math.min(item.held(), item.wanted()) : fairShare(team, item, limit, servedNanos));
		int previouslyReserved = (previous != null && previous.incarnation == sender.incarnation()) ? previous.reserved
				: 0;
		// The borrower uses what it holds until the reply arrives, which may be lost.
		int stillHeld = Math.min(item.held(), previouslyReserved);
		int reserved = Math.max(amount, stillHeld);
		if (reserved > 0 || item.wanted() > 0 || this.countsIdleBorrowers) {
			team.borrowers.put(sender.name(), new Borrower(sender.incarnation(), sequence, reserved, item.wanted(),
					(amount > 0) ? nanos : servedNanos, nanos + this.leaseWithMarginNanos));
		}
		if (reserved > stillHeld && team.reservedTotal() > limit) {
			throw new IllegalStateException(
					"team " + item.team() + " has " + team.reservedTotal() + " of " + limit + " slots leased");
		}
		return OptionalInt.of(amount);
	}

	private int otherBorrowers(TeamLeases team, Member sender) {
		Set<String> names = new HashSet<>(team.borrowers.keySet());
		names.add(sender.name());
		names.remove(this.selfName);
		return names.size();
	}

	// Returns the max-min fair share of a borrower, but at least the part of its held
	// share that running requests use. The remainder of an uneven division goes to the
	// borrowers that were served least recently.
	private int fairShare(TeamLeases team, ShareRequest.Item item, int limit, long servedNanos) {
		List<Integer> demands = new ArrayList<>(team.borrowers.values().stream().map(Borrower::wanted).toList());
		demands.add(item.wanted());
		demands.sort(Comparator.naturalOrder());
		int remaining = limit;
		int fairLevel = Integer.MAX_VALUE;
		for (int i = 0; i < demands.size(); i++) {
			int equalShare = remaining / (demands.size() - i);
			if (demands.get(i) > equalShare) {
				int remainder = remaining % (demands.size() - i);
				long servedEarlier = team.borrowers.values()
					.stream()
					.filter((other) -> other.wanted > equalShare && other.lastServedNanos - servedNanos < 0)
					.count();
				fairLevel = (servedEarlier < remainder) ? equalShare + 1 : equalShare;
				break;
			}
			remaining -= demands.get(i);
		}
		return Math.min(item.wanted(), Math.max(fairLevel, Math.min(item.running(), item.held())));
	}

	// The grace period of a team ends one lease time after this daemon last started or
	// after the end of the last view in which another daemon owned the team, whichever is
	// later.
	private long graceEndNanos(String team) {
		long end = this.startNanos + this.leaseWithMarginNanos;
		for (View view : this.views) {
			if (view.endNanos != Long.MAX_VALUE
					&& !Rendezvous.owner(team, view.members).filter(this.selfName::equals).isPresent()) {
				end = Math.max(end, view.endNanos + this.leaseWithMarginNanos);
			}
		}
		return end;
	}

	/**
	 * A view of the live daemons.
	 *
	 * @param members the names of the live daemons
	 * @param endNanos when the next view replaced it, on the daemon's monotonic clock;
	 * {@link Long#MAX_VALUE} for the current view
	 */
	private record View(List<String> members, long endNanos) {

	}

	private record Borrower(long incarnation, long sequence, int reserved, int wanted, long lastServedNanos,
			long leaseEndNanos) {

	}

	private static final class TeamLeases {

		private final long graceEndNanos;

		private final Map<String, Borrower> borrowers = new HashMap<>();

		private TeamLeases(long graceEndNanos) {
			this.graceEndNanos = graceEndNanos;
		}

		private int reservedTotal() {
			return this.borrowers.values().stream().mapToInt(Borrower::reserved).sum();
		}

	}

}
