package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.mulberrycross.Address;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.sibling.Digest;
import org.mulberrycross.sibling.LimitShares;
import org.mulberrycross.sibling.Member;
import org.mulberrycross.sibling.Membership;
import org.mulberrycross.sibling.ShareReply;
import org.mulberrycross.sibling.ShareRequest;
import org.mulberrycross.sibling.ShareTiming;
import org.mulberrycross.sibling.Sibling;

/**
 * Shares the limits of upstreams with the other daemons. Sends nothing while no upstream
 * has a limit. Confined to the control thread; not thread-safe.
 */
final class LimitSharing {

	/** Period of {@link #exchangeShares()}. */
	static final Duration SHARE_PERIOD = Duration.ofMillis(100);

	/** Period of {@link #updateMembership()}. */
	static final Duration MEMBERSHIP_PERIOD = Duration.ofSeconds(1);

	/**
	 * Time between two requests of a daemon for a larger share. An owner then receives at
	 * most some 100 requests a second for one limit from 61 daemons.
	 */
	private static final ShareTiming TIMING = new ShareTiming(Duration.ofMillis(600), true);

	private final Calls calls;

	private final MonotonicClock clock;

	private final Membership membership;

	private final LimitShares shares;

	private List<Sibling> siblings = List.of();

	private long heartbeat;

	private long probeSequence;

	LimitSharing(Sibling self, UpstreamLimits limits, Calls calls, MonotonicClock clock, RandomGenerator random) {
		this.calls = Objects.requireNonNull(calls, "calls");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.membership = new Membership(new Member(self.name(), self.address(), self.incarnation(), 0), random);
		this.shares = new LimitShares(this.membership, limits::ownedSlots, TIMING, clock.nanos());
		limits.shareWith(this.shares);
	}

	// Replaces the listed daemons, which may include this one.
	void update(List<Sibling> listed) {
		this.siblings = List.copyOf(listed);
		mergeSiblings();
	}

	// A daemon is alive while it is listed and answers. The store tells no heartbeats, so
	// those that keep a listed daemon from being suspected are counted here.
	private void mergeSiblings() {
		this.heartbeat++;
		this.siblings.forEach((sibling) -> this.membership.mergeMember(
				new Member(sibling.name(), sibling.address(), sibling.incarnation(), this.heartbeat),
				this.clock.nanos()));
	}

	// Keeps the listed daemons alive, and finds out whether one of them answers, so that
	// one that was suspected is used again.
	void updateMembership() {
		this.membership.tick(this.clock.nanos());
		mergeSiblings();
		if (this.shares.activeTeamCount() == 0) {
			return;
		}
		ShareRequest probe = new ShareRequest(Digest.PROTOCOL, this.membership.self(), ++this.probeSequence, List.of());
		this.membership.chooseTarget()
			.ifPresent((address) -> this.calls.request(address, probe,
					(reply) -> this.membership.recordSuccess(reply.sender().name(), this.clock.nanos()),
					() -> this.membership.recordFailure(address, this.clock.nanos())));
	}

	// Requests shares and their renewal from the owners of the limits.
	void exchangeShares() {
		for (LimitShares.Exchange exchange : this.shares.tick(this.clock.nanos())) {
			this.calls.request(exchange.owner().address(), exchange.request(),
					(reply) -> this.shares.applyReply(exchange, reply, this.clock.nanos()),
					() -> this.shares.recordFailure(exchange, this.clock.nanos()));
		}
	}

	// Answers a request of another daemon, which is alive since it sent one.
	ShareReply answer(ShareRequest request) {
		long nowNanos = this.clock.nanos();
		this.membership.recordSuccess(request.sender().name(), nowNanos);
		return this.shares.handleRequest(request, nowNanos);
	}

	/** Sends share requests without waiting for the replies. */
	@FunctionalInterface
	interface Calls {

		// The reply, or the failure, is handled later on the control thread.
		void request(Address address, ShareRequest request, Consumer<ShareReply> onReply, Runnable onFailure);

	}

}
