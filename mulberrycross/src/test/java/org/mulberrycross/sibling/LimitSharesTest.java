package org.mulberrycross.sibling;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mulberrycross.Address;

import static com.google.common.truth.Truth.assertThat;

class LimitSharesTest {

	private static final long LEASE_NANOS = LimitShares.LEASE.toNanos();

	/** The lease time counted by the owner, with the margin for differing clock rates. */
	private static final long OWNER_LEASE_NANOS = LEASE_NANOS + LEASE_NANOS / 20;

	private static final long NANOS_PER_MILLI = Duration.ofMillis(1).toNanos();

	private final Membership membership = new Membership(member("owner", 1), new Random(1));

	private final LimitShares owner = new LimitShares(this.membership, (team) -> 10, 0);

	/**
	 * Fails if a new owner grants more than what borrowers report to hold, or its grace
	 * period ends too early.
	 */
	@ParameterizedTest
	@CsvSource({ "0, 4, 6, 4", "5249, 4, 6, 4", "5249, 0, 6, 0", "5249, 20, 20, 10", "5250, 0, 6, 6" })
	void newOwnerGrantsOnlyHeldSharesForOneLease(long offsetMillis, int held, int wanted, int granted) {
		tickUntil(offsetMillis * NANOS_PER_MILLI);
		assertThat(requestShare("b", 1, 1, held, 0, wanted, offsetMillis * NANOS_PER_MILLI)).isEqualTo(granted);
	}

	/**
	 * Fails if the leased shares exceed the limit, or the limit is not divided fairly.
	 */
	@Test
	void sharesAreFairAndWithinTheLimit() {
		long now = OWNER_LEASE_NANOS;
		tickUntil(now);
		assertThat(requestShare("b", 1, 1, 0, 0, 20, now)).isEqualTo(10);
		assertThat(requestShare("c", 1, 1, 0, 0, 4, now)).isEqualTo(0);
		assertThat(requestShare("b", 1, 2, 10, 3, 20, now)).isEqualTo(6);
		assertThat(requestShare("c", 1, 2, 0, 0, 4, now)).isEqualTo(0);
		assertThat(requestShare("b", 1, 3, 6, 3, 20, now)).isEqualTo(6);
		assertThat(requestShare("c", 1, 3, 0, 0, 4, now)).isEqualTo(4);
	}

	/**
	 * Fails if a share is granted to another borrower while the first one may still use
	 * it, which is until the lease expires or the borrower returns it or restarts.
	 */
	@ParameterizedTest
	@CsvSource({ "5249, 0, 1, 2, 0", "5250, 0, 1, 2, 10", "1, 1, 1, 2, 10", "1, 1, 2, 1, 10", "1, 1, 1, 1, 0",
			"1, 1, 0, 9, 0" })
	void shareIsGrantedAgainOnlyAfterItsLeaseEnds(long offsetMillis, int requestCount, long incarnation, long sequence,
			int granted) {
		long now = OWNER_LEASE_NANOS;
		tickUntil(now);
		requestShare("b", 1, 1, 0, 0, 10, now);
		tickUntil(now + offsetMillis * NANOS_PER_MILLI);
		for (int i = 0; i < requestCount; i++) {
			this.owner.handleRequest(request("b", incarnation, sequence, 0, 0, 0),
					now + offsetMillis * NANOS_PER_MILLI);
		}
		assertThat(requestShare("c", 1, 1, 0, 0, 10, now + offsetMillis * NANOS_PER_MILLI)).isEqualTo(granted);
	}

	/**
	 * Fails if one daemon with continuous demand keeps the only slot of a team forever.
	 */
	@Test
	void singleSlotRotatesAmongBorrowers() {
		LimitShares singleSlot = new LimitShares(this.membership, (team) -> 1, 0);
		long now = 0;
		for (; now < OWNER_LEASE_NANOS; now += 100 * NANOS_PER_MILLI) {
			singleSlot.tick(now);
		}
		int[] grantedSlots = new int[2];
		for (int round = 1; round < 40; round++) {
			singleSlot.tick(now);
			for (int i = 0; i < 2; i++) {
				ShareReply reply = singleSlot.handleRequest(request("b" + i, 1, round, 0, 0, 1), now);
				grantedSlots[i] += reply.grants().get(0).amount();
			}
			now += 100 * NANOS_PER_MILLI;
		}
		assertThat(Math.abs(grantedSlots[0] - grantedSlots[1])).isAtMost(1);
		// Handing over the slot takes one round in which no borrower holds it.
		assertThat(grantedSlots[0] + grantedSlots[1]).isAtLeast(20);
	}

	/** Fails if an owner grants shares right after a pause in which another took over. */
	@Test
	void pausedOwnerWaitsOneLeaseLikeANewOwner() {
		long now = OWNER_LEASE_NANOS;
		tickUntil(now);
		assertThat(requestShare("b", 1, 1, 0, 0, 10, now)).isEqualTo(10);
		now += 2 * LEASE_NANOS;
		this.owner.tick(now);
		assertThat(requestShare("c", 1, 1, 0, 0, 10, now)).isEqualTo(0);
	}

	/** Fails if a borrower counts its lease from the reply instead of the request. */
	@Test
	void borrowerCountsLeaseFromRequestTime() {
		Membership twoMembers = new Membership(member("borrower", 1), new Random(1));
		twoMembers.mergeMember(member("z", 1), 0);
		LimitShares borrower = new LimitShares(twoMembers, (team) -> 10, 0);
		String team = findTeamOwnedBy("z", twoMembers);
		assertThat(borrower.tryAcquire(team, 10, 0)).isFalse();
		LimitShares.Exchange exchange = borrower.tick(0).get(0);
		borrower.applyReply(exchange, new ShareReply(Digest.PROTOCOL, member("z", 1), LimitShares.LEASE.toMillis(),
				List.of(new ShareReply.Grant(team, 3))), Duration.ofSeconds(1).toNanos());
		assertThat(borrower.heldSlots(team, LEASE_NANOS - 1)).isEqualTo(3);
		assertThat(borrower.heldSlots(team, LEASE_NANOS)).isEqualTo(0);
		assertThat(borrower.tryAcquire(team, 10, LEASE_NANOS)).isFalse();
	}

	/** Fails if a reply is applied although its exchange already counts as failed. */
	@Test
	void lateReplyIsIgnored() {
		Membership twoMembers = new Membership(member("borrower", 1), new Random(1));
		twoMembers.mergeMember(member("z", 1), 0);
		LimitShares borrower = new LimitShares(twoMembers, (team) -> 10, 0);
		String team = findTeamOwnedBy("z", twoMembers);
		borrower.tryAcquire(team, 10, 0);
		LimitShares.Exchange exchange = borrower.tick(0).get(0);
		borrower.recordFailure(exchange, 1);
		borrower.applyReply(exchange, new ShareReply(Digest.PROTOCOL, member("z", 1), LimitShares.LEASE.toMillis(),
				List.of(new ShareReply.Grant(team, 3))), 2);
		assertThat(borrower.heldSlots(team, 2)).isEqualTo(0);
	}

	/** Fails if the state of idle teams is never removed. */
	@Test
	void stateOfIdleTeamsIsRemoved() {
		long now = OWNER_LEASE_NANOS;
		tickUntil(now);
		for (int i = 0; i < 100; i++) {
			assertThat(this.owner.tryAcquire("t" + i, 10, now)).isTrue();
			this.owner.release("t" + i, now);
		}
		assertThat(this.owner.activeTeamCount()).isEqualTo(200);
		tickBetween(now, now + 3 * LEASE_NANOS);
		assertThat(this.owner.activeTeamCount()).isEqualTo(0);
	}

	private void tickUntil(long nanos) {
		tickBetween(0, nanos);
	}

	private void tickBetween(long startNanos, long endNanos) {
		for (long nanos = startNanos; nanos < endNanos; nanos += 100 * NANOS_PER_MILLI) {
			this.owner.tick(nanos);
		}
		this.owner.tick(endNanos);
	}

	private int requestShare(String name, long incarnation, long sequence, int held, int running, int wanted,
			long nanos) {
		return this.owner.handleRequest(request(name, incarnation, sequence, held, running, wanted), nanos)
			.grants()
			.get(0)
			.amount();
	}

	private static ShareRequest request(String name, long incarnation, long sequence, int held, int running,
			int wanted) {
		return new ShareRequest(Digest.PROTOCOL, member(name, incarnation), sequence,
				List.of(new ShareRequest.Item("team", held, running, wanted)));
	}

	private static Member member(String name, long incarnation) {
		return new Member(name, new Address("10.0.0.1", 1000 + name.charAt(0)), incarnation, 0);
	}

	private static String findTeamOwnedBy(String name, Membership membership) {
		return IntStream.range(0, 1000)
			.mapToObj((i) -> "team" + i)
			.filter((team) -> Rendezvous.owner(team, membership.aliveNames()).filter(name::equals).isPresent())
			.findFirst()
			.orElseThrow();
	}

}
