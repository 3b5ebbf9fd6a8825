package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import org.mulberrycross.StorePosition;
import org.mulberrycross.platform.ObjectChange;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.platform.WatchResult;
import org.mulberrycross.sibling.ChangesQuery;
import org.mulberrycross.sibling.ChangesReply;
import org.mulberrycross.sibling.ChangesReply.Status;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against siblings that wait in vain, or learn what was not read from the store.
 */
class ChangeFeedTest {

	private static final Duration WAIT = Duration.ofMillis(1000);

	private static final WatchResult CHANGE = new WatchResult(12,
			List.of(new ObjectChange("servers/a", 12, Optional.empty())), false);

	private long nowNanos;

	private final ChangeFeed feed = new ChangeFeed(() -> this.nowNanos);

	private final List<ChangesReply> replies = new ArrayList<>();

	private ClockReading now() {
		return ClockReading.now(() -> this.nowNanos);
	}

	private Runnable ask(long after) {
		return ask(StorePosition.of(after));
	}

	private Runnable ask(StorePosition after) {
		return this.feed.request(new ChangesQuery("servers", after, WAIT), this.replies::add);
	}

	private List<Status> statuses() {
		return this.replies.stream().map(ChangesReply::status).toList();
	}

	/** Fails if a change reaches those that wait only at the end of their wait. */
	@Test
	void changeAnswersAllThatWait() {
		this.feed.restart(StorePosition.of(10), now());
		ask(10);
		ask(11);
		assertThat(this.replies).isEmpty();
		this.feed.append(StorePosition.of(10), CHANGE, now());
		assertThat(statuses()).containsExactly(Status.KNOWN, Status.KNOWN);
		assertThat(this.replies.get(0).changes()).hasSize(1);
		assertThat(this.feed.followerCount()).isEqualTo(2);
	}

	/**
	 * Fails if a sibling whose own list is newer is set back, or never confirmed: all
	 * changes before the confirmation are in the older revision.
	 */
	@Test
	void confirmsToSiblingWithLaterRevision() {
		this.feed.restart(StorePosition.of(10), now());
		ask(15);
		this.feed.append(StorePosition.of(10), CHANGE, now());
		assertThat(this.replies.get(0).position().revision()).isEqualTo(15);
		assertThat(this.replies.get(0).changes()).isEmpty();
	}

	/** Fails if a sibling waits for a watch that ends after it has gone to the store. */
	@Test
	void laterConfirmationIsRefusedAtOnce() {
		this.feed.restart(StorePosition.of(10), now());
		this.feed.startWatch(now(), WAIT.plusMillis(1));
		ask(10);
		assertThat(statuses()).containsExactly(Status.BUSY);
		assertThat(this.feed.followerCount()).isEqualTo(1);
	}

	/**
	 * Pattern: a daemon that follows a hub is asked as if it were the hub. Fails if it
	 * passes on what it heard, so that ages of several daemons would add up.
	 */
	@Test
	void whatWasHeardIsNotPassedOn() {
		this.feed.restart(StorePosition.of(10), now());
		ask(10);
		this.feed.stopFollowingStore();
		ask(10);
		assertThat(statuses()).containsExactly(Status.NOT_FOLLOWED, Status.NOT_FOLLOWED);
	}

	/**
	 * Pattern: the platform turns the hub away and not its followers. Fails if they are
	 * left waiting until the store answers the hub again.
	 */
	@Test
	void outageAtHubSendsSiblingsToTheStore() {
		this.feed.restart(StorePosition.of(10), now());
		ask(10);
		this.feed.markStoreUnavailable();
		ask(10);
		this.feed.append(StorePosition.of(10), CHANGE, now());
		ask(9);
		ask(10);
		assertThat(statuses()).containsExactly(Status.STORE_UNAVAILABLE, Status.STORE_UNAVAILABLE, Status.NOT_COVERED,
				Status.KNOWN);
	}

	/**
	 * Pattern: a configuration of a megabyte changes. Fails if the hub sends it to all
	 * siblings, which fills its link for seconds.
	 */
	@Test
	void largeObjectsAreLeftToTheStore() {
		this.feed.restart(StorePosition.of(10), now());
		ask(10);
		StoredObject large = new StoredObject("servers/a", 12, new byte[1 << 20]);
		this.feed.append(StorePosition.of(10),
				new WatchResult(12, List.of(new ObjectChange("servers/a", 12, Optional.of(large))), false), now());
		assertThat(statuses()).containsExactly(Status.NOT_COVERED);
	}

	/**
	 * The store confirms 200 ms after a query arrived, and 300 ms before the next one.
	 * Fails if the age does not count from the arrival, or is rounded down.
	 */
	@Test
	void ageCountsFromArrivalOfQuery() {
		this.feed.restart(StorePosition.of(10), now());
		this.nowNanos = Duration.ofMillis(300).toNanos();
		ask(10);
		this.feed.append(StorePosition.of(10), CHANGE, steadyTime(500));
		this.nowNanos = Duration.ofMillis(800).toNanos();
		ask(11);
		assertThat(this.replies.stream().map(ChangesReply::ageMillis)).containsExactly(-199L, 301L).inOrder();
	}

	// Returns a reading whose age is that by the steady clock.
	private static ClockReading steadyTime(long millis) {
		return new ClockReading(Duration.ofMillis(millis).toNanos(), Long.MAX_VALUE / 2);
	}

	/**
	 * Pattern: the store came back from an older copy, and a sibling is still at a higher
	 * revision of the era before. Fails if it is confirmed as up to date, in place of
	 * being told at once (incident 49).
	 */
	@Test
	void siblingOfAnotherEraIsNotConfirmed() {
		this.feed.restart(StorePosition.of(1, 20), now());
		ask(StorePosition.of(1, 20));
		assertThat(this.replies).isEmpty();
		this.feed.restart(StorePosition.of(2, 10), now());
		ask(StorePosition.of(1, 20));
		ask(StorePosition.of(3, 5));
		assertThat(statuses()).containsExactly(Status.OTHER_ERA, Status.OTHER_ERA, Status.OTHER_ERA);
		assertThat(this.replies.get(0).position()).isEqualTo(StorePosition.of(2, 10));
	}

	/**
	 * Pattern: an upgrade is under way, and a sibling of the former build asks without an
	 * era. Fails if its position is believed, or if it gets a status that it does not
	 * know.
	 */
	@Test
	void siblingOfFormerBuildIsSentToTheStore() {
		this.feed.restart(StorePosition.of(2, 10), now());
		ask(StorePosition.of(10));
		assertThat(statuses()).containsExactly(Status.NOT_COVERED);
	}

	/** Fails if a withdrawn query is kept, or a daemon without followers calls often. */
	@Test
	void forgetsSiblingsThatLeft() {
		this.feed.restart(StorePosition.of(10), now());
		ask(10).run();
		this.nowNanos += Duration.ofSeconds(9).toNanos();
		this.feed.append(StorePosition.of(10), CHANGE, now());
		assertThat(this.replies).isEmpty();
		assertThat(this.feed.followerCount()).isEqualTo(0);
	}

}
