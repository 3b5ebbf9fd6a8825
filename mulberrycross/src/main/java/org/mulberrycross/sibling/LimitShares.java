package org.mulberrycross.sibling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToIntFunction;

/**
 * Divides each team's concurrency limit among the daemons. The owner of a team, chosen by
 * rendezvous hashing over the live daemons, leases shares of the limit to the daemons
 * that have requests of the team. On the borrower's clock, a lease expires one lease time
 * after the borrower sent the request for it. The owner counts it 5% longer, from when it
 * received the request. A daemon that becomes the owner of a team first observes a grace
 * period of one lease time, in which it grants no more than what borrowers report to
 * hold. State is kept for active teams only.
 * <p>
 * Bound on over-admission: an owner never leases out more than the limit at any time.
 * Therefore the sum of the valid shares over all daemons is at most the limit times the
 * number of daemons that acted as the team's owner within the last lease time, which is
 * <ul>
 * <li>1 while all daemons see the same members, and when an owner fails permanently,
 * since the next owner waits until the leases of the failed one have expired;</li>
 * <li>1 when a borrower fails or is paused, since its lease expires on its own clock
 * before the owner grants the share to another daemon;</li>
 * <li>2 when an owner is paused or wrongly suspected and another daemon takes over, until
 * the views agree and one lease time has passed. An owner that was paused for half a
 * lease time or longer observes the grace period like a new one;</li>
 * <li>2 when a daemon that joined becomes the owner, and the former owner learns of it
 * only after the grace period of the new one;</li>
 * <li>the number of sides of a partition, until one lease time after it heals.</li>
 * </ul>
 * A running request is never aborted when the lease expires. Requests that outlive their
 * lease are not counted in the bound. They are at most as many as were running at the
 * daemons that lost contact with the owner, and finish one by one. The bound assumes that
 * clock rates differ by less than 5% and that no two processes use one daemon name
 * concurrently.
 * <p>
 * Not thread-safe; confined to the control thread. The exchanges that {@link #tick}
 * returns are run by traffic threads.
 */
public final class LimitShares {

	/**
	 * Lease time. It bounds how long a team waits for a new owner and how long an excess
	 * grant remains valid. The rate of renewal messages is inversely proportional to it.
	 */
	public static final Duration LEASE = Duration.ofSeconds(5);

	/**
	 * Time after which an exchange without a reply counts as failed.
	 */
	private static final Duration EXCHANGE_TIMEOUT = Duration.ofSeconds(2);

	private final Membership membership;

	private final ShareOwner owner;

	private final ShareTiming timing;

	private final Map<String, BorrowedShare> shares = new TreeMap<>();

	private final Map<String, Exchange> pending = new HashMap<>();

	private long sequence;

	private long lastTickNanos;

	private long viewNumber;

	/**
	 * Creates an object without active teams.
	 * @param membership the known daemons, not null
	 * @param limits returns the limit of a team in the configuration in force, 0 for an
	 * unknown team; not null
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public LimitShares(Membership membership, ToIntFunction<String> limits, long nanos) {
		this(membership, (team, borrowers) -> limits.applyAsInt(team), ShareTiming.DEFAULT, nanos);
	}

	/**
	 * Creates an object without active limits. If the borrowers report while they are
	 * idle, the owner counts them for one lease time after each report.
	 * @param membership the known daemons, not null
	 * @param limits returns the slots of a limit, not null
	 * @param timing how often borrowers report, not null
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public LimitShares(Membership membership, ShareLimits limits, ShareTiming timing, long nanos) {
		this.timing = Objects.requireNonNull(timing, "timing");
		this.membership = Objects.requireNonNull(membership, "membership");
		this.owner = new ShareOwner(membership.self().name(), limits, timing.reportsIdle(), LEASE.toNanos(), nanos);
		this.owner.updateView(membership.aliveNames(), nanos);
		this.viewNumber = membership.viewNumber();
		this.lastTickNanos = nanos;
	}

	/**
	 * Acquires a slot for a request if this daemon's share has a free one.
	 * @param team the name of the team, not null
	 * @param maxConcurrent the limit of the team over all daemons
	 * @param nanos the time on the daemon's monotonic clock
	 * @return true if the request may run; otherwise {@link #tick} requests a larger
	 * share of the limit
	 */
	public boolean tryAcquire(String team, int maxConcurrent, long nanos) {
		if (!hasFreeSlot(team, maxConcurrent, nanos)) {
			recordUnmetDemand(team, maxConcurrent, nanos);
		}
		if (!hasFreeSlot(team, maxConcurrent, nanos)) {
			return false;
		}
		this.shares.get(team).acquire(nanos);
		return true;
	}

	/**
	 * Returns whether this daemon's share has a free slot.
	 * @param team the name of the team, not null
	 * @param maxConcurrent the limit of the team over all daemons
	 * @param nanos the time on the daemon's monotonic clock
	 * @return true if {@link #tryAcquire} would succeed without a larger share
	 */
	public boolean hasFreeSlot(String team, int maxConcurrent, long nanos) {
		return Optional.ofNullable(this.shares.get(team))
			.map((share) -> share.hasFreeSlot(maxConcurrent, nanos))
			.orElse(false);
	}

	/**
	 * Records that a request could use a slot beyond this daemon's share, which
	 * {@link #tick} then requests.
	 * @param team the name of the team, not null
	 * @param maxConcurrent the limit of the team over all daemons
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public void recordUnmetDemand(String team, int maxConcurrent, long nanos) {
		BorrowedShare share = this.shares.computeIfAbsent(team, (name) -> new BorrowedShare(this.timing));
		share.recordUnmetDemand(nanos);
		renewIfSelfOwned(team, share, maxConcurrent, nanos);
	}

	/**
	 * Starts to report to the owner of a limit, also without demand, if idle borrowers
	 * report.
	 * @param team the name of the team, not null
	 */
	public void open(String team) {
		this.shares.computeIfAbsent(team, (name) -> new BorrowedShare(this.timing)).open();
	}

	/**
	 * Returns the share of a limit that is over. Nothing is reported for it any more once
	 * its slots are released.
	 * @param team the name of the team, not null
	 */
	public void close(String team) {
		Optional.ofNullable(this.shares.get(team)).ifPresent(BorrowedShare::close);
	}

	/**
	 * Returns whether an owner may count this daemon as a borrower of a limit.
	 * @param team the name of the team, not null
	 * @param nanos the time on the daemon's monotonic clock
	 * @return true until one lease time after its last reply
	 */
	public boolean isReported(String team, long nanos) {
		return Optional.ofNullable(this.shares.get(team)).map((share) -> share.isReported(nanos)).orElse(false);
	}

	/**
	 * Releases the slot of a request that ended.
	 * @param team the name of the team, not null
	 * @param nanos the time on the daemon's monotonic clock
	 * @throws IllegalStateException if the team has no running request
	 */
	public void release(String team, long nanos) {
		BorrowedShare share = this.shares.get(team);
		if (share == null || share.running() == 0) {
			throw new IllegalStateException("team " + team + " has no running request");
		}
		share.release(nanos);
	}

	/**
	 * Removes expired state and determines which exchanges with owners are due. Called
	 * about every 100 ms.
	 * @param nanos the time on the daemon's monotonic clock
	 * @return the exchanges to run, at most one for each owner
	 */
	public List<Exchange> tick(long nanos) {
		if (nanos - this.lastTickNanos >= LEASE.toNanos() / 2) {
			this.owner.reset(nanos);
		}
		this.lastTickNanos = nanos;
		updateView(nanos);
		this.owner.removeExpired(nanos);
		List.copyOf(this.pending.values())
			.stream()
			.filter((exchange) -> nanos - exchange.sentNanos() >= EXCHANGE_TIMEOUT.toNanos())
			.forEach((exchange) -> recordFailure(exchange, nanos));
		// Renewals that are due but not urgent are sent only in a batch with urgent items
		// to the same owner.
		Set<String> urgentOwners = new HashSet<>();
		this.shares.forEach((team, share) -> {
			if (share.isRequestUrgent(nanos)) {
				urgentOwners.add(ownerOf(team, share));
			}
		});
		Map<String, List<ShareRequest.Item>> itemsByOwner = new TreeMap<>();
		this.shares.forEach((team, share) -> {
			String ownerName = ownerOf(team, share);
			if (urgentOwners.contains(ownerName) && share.isRequestDue(nanos)) {
				List<ShareRequest.Item> items = itemsByOwner.computeIfAbsent(ownerName, (key) -> new ArrayList<>());
				if (items.size() < ShareRequest.MAX_ITEMS) {
					items.add(share.toItem(team, nanos));
				}
			}
		});
		List<Exchange> exchanges = new ArrayList<>();
		itemsByOwner.forEach((ownerName, items) -> startExchange(ownerName, items, nanos).ifPresent(exchanges::add));
		this.shares.values().removeIf((share) -> share.isRemovable(nanos));
		return exchanges;
	}

	/**
	 * Handles a share request of another daemon. The reply has no grants for teams that
	 * this daemon does not own; a probe of their owner is scheduled instead.
	 * @param request the request, not null
	 * @param nanos the time on the daemon's monotonic clock
	 * @return the grants for the teams that this daemon owns
	 */
	public ShareReply handleRequest(ShareRequest request, long nanos) {
		updateView(nanos);
		List<ShareReply.Grant> grants = new ArrayList<>();
		for (ShareRequest.Item item : request.items()) {
			if (this.owner.owns(item.team())) {
				this.owner.grantShare(request.sender(), request.sequence(), item, nanos)
					.ifPresent((amount) -> grants.add(new ShareReply.Grant(item.team(), amount)));
			}
			else {
				// The borrower may suspect the owner because it does not respond.
				Rendezvous.owner(item.team(), this.membership.aliveNames()).ifPresent(this.membership::scheduleProbe);
			}
		}
		return new ShareReply(Digest.PROTOCOL, this.membership.self(), LEASE.toMillis(), grants);
	}

	/**
	 * Applies the grants in a reply, unless its exchange already counts as failed.
	 * @param exchange the exchange that the reply belongs to, not null
	 * @param reply the received reply, not null
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public void applyReply(Exchange exchange, ShareReply reply, long nanos) {
		if (!this.pending.remove(exchange.owner().name(), exchange)) {
			return;
		}
		this.membership.recordSuccess(exchange.owner().name(), nanos);
		Set<String> requestedTeams = new HashSet<>();
		exchange.request().items().forEach((item) -> requestedTeams.add(item.team()));
		for (ShareReply.Grant grant : reply.grants()) {
			BorrowedShare share = this.shares.get(grant.team());
			if (share != null && requestedTeams.contains(grant.team())) {
				long leaseNanos = Duration.ofMillis(reply.leaseMillis()).toNanos();
				boolean counted = grant.amount() > 0 || !exchange.owner().name().equals(this.membership.self().name());
				share.applyGrant(grant.amount(), exchange.sentNanos() + leaseNanos,
						counted ? nanos + ShareOwner.withClockMargin(leaseNanos) : nanos);
			}
		}
	}

	/**
	 * Records that an exchange received no valid reply. Does nothing if it is no longer
	 * pending.
	 * @param exchange the failed exchange, not null
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public void recordFailure(Exchange exchange, long nanos) {
		if (this.pending.remove(exchange.owner().name(), exchange)) {
			this.membership.recordFailure(exchange.owner().address(), nanos);
		}
	}

	/**
	 * Returns the share of a team's limit that this daemon holds.
	 * @param team the name of the team, not null
	 * @param nanos the time on the daemon's monotonic clock
	 * @return the number of slots for running requests, 0 without a valid lease
	 */
	public int heldSlots(String team, long nanos) {
		return Optional.ofNullable(this.shares.get(team)).map((share) -> share.validAmount(nanos)).orElse(0);
	}

	/**
	 * Returns the number of teams with state. A team for which this daemon is both
	 * borrower and owner counts twice.
	 * @return the number of teams as a borrower plus the number of teams as an owner
	 */
	public int activeTeamCount() {
		return this.shares.size() + this.owner.activeTeamCount();
	}

	private void updateView(long nanos) {
		if (this.viewNumber != this.membership.viewNumber()) {
			this.viewNumber = this.membership.viewNumber();
			this.owner.updateView(this.membership.aliveNames(), nanos);
		}
	}

	private String ownerOf(String team, BorrowedShare share) {
		if (!share.hasOwnerOf(this.viewNumber)) {
			share.setOwner(Rendezvous.owner(team, this.membership.aliveNames()).orElse(this.membership.self().name()),
					this.viewNumber);
		}
		return share.owner();
	}

	private Optional<Exchange> startExchange(String ownerName, List<ShareRequest.Item> items, long nanos) {
		Optional<Member> target = this.membership.member(ownerName);
		if (target.isEmpty() || this.pending.containsKey(ownerName)) {
			return Optional.empty();
		}
		ShareRequest request = new ShareRequest(Digest.PROTOCOL, this.membership.self(), ++this.sequence, items);
		for (ShareRequest.Item item : items) {
			this.shares.get(item.team()).recordRequest(item, nanos);
		}
		Exchange exchange = new Exchange(target.get(), request, nanos);
		this.pending.put(ownerName, exchange);
		if (ownerName.equals(this.membership.self().name())) {
			applyReply(exchange, handleRequest(request, nanos), nanos);
			return Optional.empty();
		}
		return Optional.of(exchange);
	}

	private void renewIfSelfOwned(String team, BorrowedShare share, int maxConcurrent, long nanos) {
		updateView(nanos);
		if (share.running() < maxConcurrent && ownerOf(team, share).equals(this.membership.self().name())) {
			startExchange(share.owner(), List.of(share.toItem(team, nanos)), nanos);
		}
	}

	/**
	 * An exchange with the owner of teams. Immutable and thread-safe.
	 *
	 * @param owner the daemon to send the request to
	 * @param request the request to send
	 * @param sentNanos the start of the leases that it obtains, on this daemon's
	 * monotonic clock, in nanoseconds
	 */
	public record Exchange(Member owner, ShareRequest request, long sentNanos) {

	}

}
