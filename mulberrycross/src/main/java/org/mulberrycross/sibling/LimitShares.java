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
 * Shares the teams' limits of running requests among the daemons. The owner of a team,
 * chosen by rendezvous hashing over the members, lends parts of the limit to the daemons
 * that have requests of the team. A part ends one lease time after its borrower sent the
 * request for it, on the borrower's clock; the owner counts it 5% longer, from when it
 * got the request. A daemon that becomes the owner of a team first waits one lease time,
 * in which it grants no more than what borrowers report to hold. State is kept for active
 * teams only.
 * <p>
 * Bound on over-admission: one owner never has more than the limit lent at one time. So
 * the parts that are valid at one time over all daemons are at most the limit times the
 * number of daemons that acted as the team's owner within the last lease time:
 * <ul>
 * <li>1 while all daemons see the same members, and when an owner fails for good, since
 * the next owner waits until the parts of the failed one have ended;</li>
 * <li>1 when a borrower fails or is paused, since its part ends on its own clock before
 * the owner lends it again;</li>
 * <li>2 when an owner is paused or wrongly suspected and another takes over, until the
 * views agree and one lease time has passed. An owner that was paused for half a lease
 * time or more waits like a new one;</li>
 * <li>2 when a daemon that joined becomes the owner and its news needs longer than its
 * wait to reach the former owner;</li>
 * <li>the number of sides during a partition and one lease time after it.</li>
 * </ul>
 * A request that runs is never cut off when its part ends. Those that run past the end of
 * a part come on top; they are at most as many as ran at the daemons that lost contact,
 * and end one by one. The bound assumes that clock rates differ by less than 5% and that
 * no two processes run with one daemon name at the same time.
 * <p>
 * Not thread-safe; owned by the control thread. The exchanges that {@link #tick} asks for
 * run on traffic threads.
 */
public final class LimitShares {

	/**
	 * Lease time. It bounds how long a team waits for a new owner and how long a wrong
	 * grant lasts; renewals cost messages in inverse proportion to it.
	 */
	public static final Duration LEASE = Duration.ofSeconds(5);

	/**
	 * Time without a running request after which a part is given back.
	 */
	private static final Duration IDLE_AFTER = Duration.ofSeconds(1);

	/**
	 * Time between two requests for more of one team's limit.
	 */
	private static final Duration ASK_INTERVAL = Duration.ofMillis(200);

	/**
	 * Time after which an exchange without a result counts as failed.
	 */
	private static final Duration EXCHANGE_TIMEOUT = Duration.ofSeconds(2);

	/**
	 * Bound on the teams in one request, about 50 bytes each.
	 */
	private static final int MAX_ITEMS = 200;

	private final Membership membership;

	private final ShareOwner owner;

	private final Map<String, Part> parts = new TreeMap<>();

	private final Map<String, Ask> pending = new HashMap<>();

	private long sequence;

	private long lastTickNanos;

	private long viewNumber;

	/**
	 * Creates shares without active teams.
	 * @param membership the daemons, not null
	 * @param limits returns the limit of a team that the configuration in force gives, 0
	 * for an unknown team; not null
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public LimitShares(Membership membership, ToIntFunction<String> limits, long nanos) {
		this.membership = Objects.requireNonNull(membership, "membership");
		this.owner = new ShareOwner(membership.self().name(), limits, LEASE.toNanos(), nanos);
		this.owner.view(membership.alive(), nanos);
		this.viewNumber = membership.viewNumber();
		this.lastTickNanos = nanos;
	}

	/**
	 * Takes a place for a request, if this daemon has one.
	 * @param team the name of the team, not null
	 * @param maxConcurrent the limit of the team
	 * @param nanos the time on the daemon's monotonic clock
	 * @return whether the request may run; if not, a part is asked for at the next tick
	 */
	public boolean tryAcquire(String team, int maxConcurrent, long nanos) {
		Part part = this.parts.computeIfAbsent(team, (name) -> new Part());
		if (part.running >= Math.min(part.valid(nanos), maxConcurrent)) {
			part.refused++;
			part.usedNanos = nanos;
			renewOwn(team, part, maxConcurrent, nanos);
		}
		if (part.running >= Math.min(part.valid(nanos), maxConcurrent)) {
			return false;
		}
		part.running++;
		part.peak = Math.max(part.peak, part.running);
		part.refused = 0;
		part.usedNanos = nanos;
		return true;
	}

	/**
	 * Gives back the place of a request that ended.
	 * @param team the name of the team, not null
	 * @param nanos the time on the daemon's monotonic clock
	 * @throws IllegalStateException if the team has no running request
	 */
	public void release(String team, long nanos) {
		Part part = this.parts.get(team);
		if (part == null || part.running == 0) {
			throw new IllegalStateException("team " + team + " has no running request");
		}
		part.running--;
		part.usedNanos = nanos;
	}

	/**
	 * Lets leases end, and says which requests to send. Called about ten times a second.
	 * @param nanos the time on the daemon's monotonic clock
	 * @return the requests, at most one for each owner
	 */
	public List<Ask> tick(long nanos) {
		if (nanos - this.lastTickNanos >= LEASE.toNanos() / 2) {
			this.owner.restart(nanos);
		}
		this.lastTickNanos = nanos;
		refreshView(nanos);
		this.owner.tick(nanos);
		List.copyOf(this.pending.values())
			.stream()
			.filter((ask) -> nanos - ask.sentNanos() >= EXCHANGE_TIMEOUT.toNanos())
			.forEach((ask) -> failed(ask, nanos));
		// Renewals that are not urgent go along with urgent items to the same owner.
		Set<String> urgent = new HashSet<>();
		this.parts.forEach((team, part) -> {
			if (part.urgent(nanos)) {
				urgent.add(ownerOf(team, part));
			}
		});
		Map<String, List<ShareRequest.Item>> wanted = new TreeMap<>();
		this.parts.forEach((team, part) -> {
			String name = ownerOf(team, part);
			if (urgent.contains(name) && part.due(nanos)) {
				List<ShareRequest.Item> items = wanted.computeIfAbsent(name, (key) -> new ArrayList<>());
				if (items.size() < MAX_ITEMS) {
					items.add(part.item(team, nanos));
				}
			}
		});
		List<Ask> asks = new ArrayList<>();
		wanted.forEach((name, items) -> ask(name, items, nanos).ifPresent(asks::add));
		this.parts.values().removeIf((part) -> part.idle(nanos) && part.valid(nanos) == 0);
		return asks;
	}

	/**
	 * Answers a request of another daemon.
	 * @param request the request, not null
	 * @param nanos the time on the daemon's monotonic clock
	 * @return the parts of the teams that this daemon owns
	 */
	public ShareReply requested(ShareRequest request, long nanos) {
		refreshView(nanos);
		List<ShareReply.Grant> grants = new ArrayList<>();
		for (ShareRequest.Item item : request.items()) {
			if (this.owner.owns(item.team())) {
				this.owner.lend(request.sender(), request.sequence(), item, nanos)
					.ifPresent((amount) -> grants.add(new ShareReply.Grant(item.team(), amount)));
			}
			else {
				// The borrower may have found that the owner does not answer.
				Rendezvous.owner(item.team(), this.membership.alive()).ifPresent(this.membership::verify);
			}
		}
		return new ShareReply(Digest.PROTOCOL, this.membership.self(), LEASE.toMillis(), grants);
	}

	/**
	 * Takes in the reply to a request. One that comes after its request counted as failed
	 * is ignored.
	 * @param ask the request, not null
	 * @param reply the reply, not null
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public void replied(Ask ask, ShareReply reply, long nanos) {
		if (!this.pending.remove(ask.owner().name(), ask)) {
			return;
		}
		this.membership.reached(ask.owner().name(), nanos);
		Set<String> asked = new HashSet<>();
		ask.request().items().forEach((item) -> asked.add(item.team()));
		for (ShareReply.Grant grant : reply.grants()) {
			Part part = this.parts.get(grant.team());
			if (part != null && asked.contains(grant.team())) {
				part.amount = grant.amount();
				part.endNanos = ask.sentNanos() + Duration.ofMillis(reply.leaseMillis()).toNanos();
			}
		}
	}

	/**
	 * Notes that a request got no reply.
	 * @param ask the request, not null
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public void failed(Ask ask, long nanos) {
		if (this.pending.remove(ask.owner().name(), ask)) {
			this.membership.unreachable(ask.owner().address(), nanos);
		}
	}

	/**
	 * Returns the part of a team's limit that this daemon holds.
	 * @param team the name of the team, not null
	 * @param nanos the time on the daemon's monotonic clock
	 * @return the number of requests that may run
	 */
	public int held(String team, long nanos) {
		return Optional.ofNullable(this.parts.get(team)).map((part) -> part.valid(nanos)).orElse(0);
	}

	/**
	 * Returns the number of teams that state is kept for, as a borrower and as an owner.
	 * @return the number
	 */
	public int activeTeams() {
		return this.parts.size() + this.owner.activeTeams();
	}

	private void refreshView(long nanos) {
		if (this.viewNumber != this.membership.viewNumber()) {
			this.viewNumber = this.membership.viewNumber();
			this.owner.view(this.membership.alive(), nanos);
			this.parts.values().forEach((part) -> part.ownerView = -1);
		}
	}

	private String ownerOf(String team, Part part) {
		if (part.ownerView != this.viewNumber) {
			part.owner = Rendezvous.owner(team, this.membership.alive()).orElse(this.membership.self().name());
			part.ownerView = this.viewNumber;
		}
		return part.owner;
	}

	private Optional<Ask> ask(String name, List<ShareRequest.Item> items, long nanos) {
		Optional<Member> target = this.membership.member(name);
		if (target.isEmpty() || this.pending.containsKey(name)) {
			return Optional.empty();
		}
		ShareRequest request = new ShareRequest(Digest.PROTOCOL, this.membership.self(), ++this.sequence, items);
		for (ShareRequest.Item item : items) {
			Part part = this.parts.get(item.team());
			// What is not wanted is given up before the owner hears of it.
			part.amount = item.held();
			part.asked = true;
			part.askedNanos = nanos;
			part.peak = part.running;
			part.refused = 0;
		}
		Ask ask = new Ask(target.get(), request, nanos);
		this.pending.put(name, ask);
		if (name.equals(this.membership.self().name())) {
			replied(ask, requested(request, nanos), nanos);
			return Optional.empty();
		}
		return Optional.of(ask);
	}

	private void renewOwn(String team, Part part, int maxConcurrent, long nanos) {
		refreshView(nanos);
		if (part.running < maxConcurrent && ownerOf(team, part).equals(this.membership.self().name())) {
			ask(part.owner, List.of(part.item(team, nanos)), nanos);
		}
	}

	/**
	 * A request to send. Immutable and thread-safe.
	 *
	 * @param owner the daemon to send it to
	 * @param request the request
	 * @param sentNanos the time from which leases count, on the monotonic clock of this
	 * daemon
	 */
	public record Ask(Member owner, ShareRequest request, long sentNanos) {

	}

	private static final class Part {

		private int amount;

		private long endNanos;

		private int running;

		private int peak;

		private int refused;

		private long usedNanos;

		private boolean asked;

		private long askedNanos;

		private String owner = "";

		private long ownerView = -1;

		private int valid(long nanos) {
			return (this.endNanos - nanos > 0) ? this.amount : 0;
		}

		private boolean idle(long nanos) {
			return this.running == 0 && nanos - this.usedNanos >= IDLE_AFTER.toNanos();
		}

		private boolean urgent(long nanos) {
			int wanted = wanted(nanos);
			int valid = valid(nanos);
			boolean more = wanted > valid && nanos - this.askedNanos >= ASK_INTERVAL.toNanos();
			boolean renew = wanted > 0 && nanos - this.askedNanos >= LEASE.toNanos() / 2;
			boolean giveBack = wanted == 0 && valid > 0;
			return !this.asked || more || renew || giveBack;
		}

		private boolean due(long nanos) {
			return urgent(nanos) || (wanted(nanos) > 0 && nanos - this.askedNanos >= LEASE.toNanos() / 4);
		}

		private ShareRequest.Item item(String team, long nanos) {
			int wanted = wanted(nanos);
			return new ShareRequest.Item(team, Math.min(valid(nanos), wanted), this.running, wanted);
		}

		private int wanted(long nanos) {
			return idle(nanos) ? 0 : Math.max(1, Math.max(this.peak, this.running + this.refused));
		}

	}

}
