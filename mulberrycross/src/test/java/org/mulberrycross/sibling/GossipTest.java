package org.mulberrycross.sibling;

import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mulberrycross.Address;
import org.mulberrycross.sibling.http.SiblingCodec;

import static com.google.common.truth.Truth.assertThat;

class GossipTest {

	private final Membership membership = new Membership(
			new Member("daemon-a", new Address("10.0.0.1", 8080), 1_764_000_000_000L, 0), new Random(1));

	private final Gossip gossip = new Gossip(this.membership, SiblingCodec::encodedSize);

	/**
	 * Fails if a digest exceeds its maximum size, or one kind of entries crowds out
	 * another when there are more entries of each kind than fit.
	 */
	@Test
	void digestIsBoundedAndContainsEachKindOfEntry() {
		for (int i = 0; i < 1000; i++) {
			this.membership
				.mergeMember(new Member("daemon-" + i, new Address("10.20.30.40", 18080), 1_764_000_000_000L, i), 0);
			this.gossip.recordLeaving(new LeavingNotice("engine-" + i, 1_764_000_000_000L));
			this.gossip.recordHealth("engine-" + i, true, 0);
			this.gossip.recordLoad("engine-" + i, 100, 100, 100, 100_000, 0);
		}
		Digest digest = this.gossip.handleRequest(digest(0, List.of()), 1).reply();
		assertThat(SiblingCodec.encode(digest).length).isAtMost(Gossip.MAX_DIGEST_BYTES);
		assertThat(digest.leaving().size()).isGreaterThan(20);
		assertThat(digest.health()).isNotEmpty();
		assertThat(digest.load()).isNotEmpty();
		assertThat(digest.members().size()).isGreaterThan(10);
	}

	/** Fails if a new leaving notice is queued behind notices that were already sent. */
	@Test
	void unsentNoticeIsSentFirst() {
		for (int i = 0; i < 200; i++) {
			this.gossip.recordLeaving(new LeavingNotice("engine-" + i, 7));
		}
		for (int i = 0; i < 20; i++) {
			this.gossip.handleRequest(digest(0, List.of()), i);
		}
		this.gossip.recordLeaving(new LeavingNotice("engine-new", 7));
		assertThat(this.gossip.handleRequest(digest(0, List.of()), 30).reply().leaving().get(0).upstream())
			.isEqualTo("engine-new");
	}

	/** Fails if the generation decreases, or a sibling's higher one raises no event. */
	@ParameterizedTest
	@CsvSource({ "4, 0", "5, 0", "6, 1" })
	void onlyHigherGenerationsRaiseEvents(long siblingGeneration, int eventCount) {
		this.gossip.updateGeneration(5);
		this.gossip.updateGeneration(3);
		assertThat(this.gossip.generation()).isEqualTo(5);
		assertThat(this.gossip.merge(digest(siblingGeneration, List.of()), 0)).hasSize(eventCount);
	}

	/** Fails if late or duplicate reports replace newer ones. */
	@ParameterizedTest
	@CsvSource({ "x, 10, 0, false", "x, 9, 0, false", "x, 11, 500, true", "y, 1, 50, true", "y, 99, 200, false" })
	void newestReportWins(String origin, long version, long ageMillis, boolean accepted) {
		this.gossip.merge(digest(0, List.of(load("x", 10, 100))), 0);
		List<GossipEvent> events = this.gossip.merge(digest(0, List.of(load(origin, version, ageMillis))), 0);
		assertThat(events.isEmpty()).isEqualTo(!accepted);
	}

	/** Fails if a repeated notice is new, or one of a later incarnation is not. */
	@Test
	void leavingNoticeIsNewOncePerIncarnation() {
		assertThat(this.gossip.recordLeaving(new LeavingNotice("e", 5))).isTrue();
		assertThat(this.gossip.recordLeaving(new LeavingNotice("e", 5))).isFalse();
		assertThat(this.gossip.recordLeaving(new LeavingNotice("e", 4))).isFalse();
		assertThat(this.gossip.recordLeaving(new LeavingNotice("e", 6))).isTrue();
	}

	private static LoadReport load(String origin, long version, long ageMillis) {
		return new LoadReport("e", origin, version, ageMillis, 1, 2, 8, 9000);
	}

	private static Digest digest(long generation, List<LoadReport> load) {
		return new Digest(Digest.PROTOCOL, new Member("daemon-b", new Address("10.0.0.2", 8080), 1, 1), generation,
				List.of(), List.of(), load, List.of());
	}

}
