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

class MembershipTest {

	private static final long SUSPECT = Membership.SUSPECT_AFTER.toNanos();

	private static final long EXPIRE = Membership.EXPIRE_AFTER.toNanos();

	private final Membership membership = new Membership(member("a", 1, 0), new Random(1));

	/**
	 * Fails if an old or repeated description counts as a sign of life, or a restarted
	 * daemon is not accepted.
	 */
	@ParameterizedTest
	@CsvSource({ "5, 10, false", "5, 9, false", "4, 99, false", "5, 11, true", "6, 0, true" })
	void onlyANewerDescriptionIsASignOfLife(long incarnation, long heartbeat, boolean alive) {
		this.membership.heard(member("b", 5, 10), 0);
		this.membership.tick(SUSPECT);
		assertThat(this.membership.alive()).containsExactly("a");
		this.membership.heard(member("b", incarnation, heartbeat), SUSPECT);
		assertThat(this.membership.alive().contains("b")).isEqualTo(alive);
	}

	/** Fails if a silent daemon is not suspected or expired at the stated times. */
	@ParameterizedTest
	@CsvSource({ "-1, true, true", "0, false, true" })
	void suspicionFollowsTheLocalClock(long offset, boolean alive, boolean known) {
		this.membership.heard(member("b", 5, 10), 0);
		this.membership.tick(SUSPECT + offset);
		assertThat(this.membership.alive().contains("b")).isEqualTo(alive);
		assertThat(this.membership.member("b").isPresent()).isEqualTo(known);
		this.membership.tick(EXPIRE);
		assertThat(this.membership.member("b").isPresent()).isFalse();
	}

	/** Fails if an expired daemon comes back by an old message. */
	@Test
	void expiredDaemonNeedsAHigherHeartbeat() {
		this.membership.heard(member("b", 5, 10), 0);
		this.membership.tick(EXPIRE);
		this.membership.heard(member("b", 5, 10), EXPIRE + 1);
		assertThat(this.membership.member("b").isPresent()).isFalse();
		this.membership.heard(member("b", 5, 11), EXPIRE + 2);
		assertThat(this.membership.alive()).containsExactly("a", "b");
	}

	/** Fails if one lost message makes a daemon suspected, or two in a row do not. */
	@Test
	void twoFailedExchangesInARowRaiseSuspicion() {
		this.membership.heard(member("b", 5, 10), 0);
		this.membership.unreachable(address("b"), 1);
		this.membership.reached("b", 2);
		this.membership.unreachable(address("b"), 3);
		assertThat(this.membership.alive()).contains("b");
		assertThat(this.membership.target()).hasValue(address("b"));
		this.membership.unreachable(address("b"), 4);
		assertThat(this.membership.alive()).doesNotContain("b");
		this.membership.heard(member("b", 6, 0), 5);
		assertThat(this.membership.alive()).contains("b");
	}

	/** Fails if the two sides of a healed partition never talk again. */
	@Test
	void suspectedDaemonsAndSeedsAreTriedAgain() {
		this.membership.seeds(List.of(address("s")));
		this.membership.heard(member("b", 5, 10), 0);
		this.membership.heard(member("c", 5, 10), Duration.ofSeconds(1).toNanos());
		this.membership.tick(SUSPECT);
		List<Address> targets = IntStream.range(0, 100)
			.mapToObj((i) -> this.membership.target().orElseThrow())
			.distinct()
			.toList();
		assertThat(targets).containsExactly(address("b"), address("c"), address("s"));
	}

	private static Member member(String name, long incarnation, long heartbeat) {
		return new Member(name, address(name), incarnation, heartbeat);
	}

	private static Address address(String name) {
		return new Address("10.0.0.1", 1000 + name.charAt(0));
	}

}
