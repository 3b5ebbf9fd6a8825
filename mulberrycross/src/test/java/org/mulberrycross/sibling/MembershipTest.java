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

	private static final long SUSPECT_NANOS = Membership.SUSPECT_AFTER.toNanos();

	private static final long EXPIRE_NANOS = Membership.EXPIRE_AFTER.toNanos();

	private final Membership membership = new Membership(member("a", 1, 0), new Random(1));

	/**
	 * Fails if an old or repeated description revives a suspected daemon, or a newer
	 * heartbeat or incarnation does not.
	 */
	@ParameterizedTest
	@CsvSource({ "5, 10, false", "5, 9, false", "4, 99, false", "5, 11, true", "6, 0, true" })
	void onlyANewerDescriptionRevivesASuspectedDaemon(long incarnation, long heartbeat, boolean alive) {
		this.membership.mergeMember(member("b", 5, 10), 0);
		this.membership.tick(SUSPECT_NANOS);
		assertThat(this.membership.aliveNames()).containsExactly("a");
		this.membership.mergeMember(member("b", incarnation, heartbeat), SUSPECT_NANOS);
		assertThat(this.membership.aliveNames().contains("b")).isEqualTo(alive);
	}

	/**
	 * Fails if a daemon without new heartbeats is suspected or expires too early or late.
	 */
	@ParameterizedTest
	@CsvSource({ "-1, true, true", "0, false, true" })
	void daemonWithoutNewHeartbeatsIsSuspectedAndExpiresOnTheLocalClock(long offsetNanos, boolean alive,
			boolean known) {
		this.membership.mergeMember(member("b", 5, 10), 0);
		this.membership.tick(SUSPECT_NANOS + offsetNanos);
		assertThat(this.membership.aliveNames().contains("b")).isEqualTo(alive);
		assertThat(this.membership.member("b").isPresent()).isEqualTo(known);
		this.membership.tick(EXPIRE_NANOS);
		assertThat(this.membership.member("b").isPresent()).isFalse();
	}

	/** Fails if a late message with an old heartbeat revives an expired daemon. */
	@Test
	void oldMessageDoesNotReviveAnExpiredDaemon() {
		this.membership.mergeMember(member("b", 5, 10), 0);
		this.membership.tick(EXPIRE_NANOS);
		this.membership.mergeMember(member("b", 5, 10), EXPIRE_NANOS + 1);
		assertThat(this.membership.member("b").isPresent()).isFalse();
		this.membership.mergeMember(member("b", 5, 11), EXPIRE_NANOS + 2);
		assertThat(this.membership.aliveNames()).containsExactly("a", "b");
	}

	/**
	 * Fails if a daemon is suspected after a single failed exchange, or is not suspected
	 * after two consecutive ones.
	 */
	@Test
	void daemonIsSuspectedAfterTwoConsecutiveFailedExchanges() {
		this.membership.mergeMember(member("b", 5, 10), 0);
		this.membership.recordFailure(address("b"), 1);
		this.membership.recordSuccess("b", 2);
		this.membership.recordFailure(address("b"), 3);
		assertThat(this.membership.aliveNames()).contains("b");
		assertThat(this.membership.chooseTarget()).hasValue(address("b"));
		this.membership.recordFailure(address("b"), 4);
		assertThat(this.membership.aliveNames()).doesNotContain("b");
		this.membership.mergeMember(member("b", 6, 0), 5);
		assertThat(this.membership.aliveNames()).contains("b");
	}

	/** Fails if both sides of a healed partition never contact each other again. */
	@Test
	void suspectedDaemonsAndSeedsAreRetried() {
		this.membership.updateSeeds(List.of(address("s")));
		this.membership.mergeMember(member("b", 5, 10), 0);
		this.membership.mergeMember(member("c", 5, 10), Duration.ofSeconds(1).toNanos());
		this.membership.tick(SUSPECT_NANOS);
		List<Address> targets = IntStream.range(0, 100)
			.mapToObj((i) -> this.membership.chooseTarget().orElseThrow())
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
