package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.NotRunException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.StorePosition;
import org.mulberrycross.sibling.ChangesQuery;
import org.mulberrycross.sibling.ChangesReply;
import org.mulberrycross.sibling.ChangesReply.Status;
import org.mulberrycross.sibling.DataCentreHub;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a daemon that trusts a hub for too long, or leaves a sound one.
 */
class HubWatchTest {

	private static final Duration TRUST = Duration.ofMillis(1400);

	private final List<String> events = new ArrayList<>();

	private final Deque<Address> hubs = new ArrayDeque<>(
			List.of(Address.parse("10.0.0.1:1"), Address.parse("10.0.0.2:1")));

	private long nowNanos = Duration.ofSeconds(10).toNanos();

	private ChangesReply reply = new ChangesReply(Status.KNOWN, StorePosition.of(7), 0, List.of());

	private final HubWatch watch = new HubWatch("servers", new FakeHub(), this::answer, () -> this.nowNanos);

	private ChangesReply answer(Address address, ChangesQuery query, Duration timeout) throws PeerException {
		this.events
			.add("ask " + address.host() + " after " + query.after().revision() + " within " + timeout.toMillis());
		if (this.reply.position().revision() < 0) {
			throw new NotRunException(Step.WATCH, new Peer(Peer.Kind.SIBLING, ""), "no reply");
		}
		return this.reply;
	}

	private Optional<SiblingChanges> ask(StorePosition after) {
		return this.watch.changesAfter(after, ClockReading.now(() -> this.nowNanos), TRUST);
	}

	private boolean hears(Duration age) {
		ClockReading confirmedAsOf = ClockReading.now(() -> this.nowNanos - age.toNanos());
		return this.watch.changesAfter(StorePosition.of(7), confirmedAsOf, TRUST).isPresent();
	}

	/** Fails if a query outlasts the age by which the store must be asked. */
	@Test
	void queryEndsBeforeTrustDoes() {
		assertThat(hears(Duration.ofMillis(600))).isTrue();
		assertThat(hears(Duration.ofMillis(1300))).isFalse();
		assertThat(this.events).containsExactly("ask 10.0.0.1 after 7 within 800");
	}

	/**
	 * Pattern: the hub dies, and another one at another address takes its place. Fails if
	 * the daemon does not go on there at the revision that it knows.
	 */
	@Test
	void goesOnAtNextHub() {
		this.reply = new ChangesReply(Status.KNOWN, StorePosition.of(-1), 0, List.of());
		assertThat(hears(Duration.ZERO)).isFalse();
		this.reply = new ChangesReply(Status.KNOWN, StorePosition.of(7), 0, List.of());
		assertThat(hears(Duration.ZERO)).isTrue();
		assertThat(this.events)
			.containsExactly("ask 10.0.0.1 after 7 within 1400", "avoid 10.0.0.1", "ask 10.0.0.2 after 7 within 1400")
			.inOrder();
	}

	/** Fails if a hub is avoided that only lacks a few changes or has just started. */
	@Test
	void soundHubIsKept() {
		for (Status status : List.of(Status.NOT_COVERED, Status.BUSY, Status.NOT_FOLLOWED)) {
			this.reply = ChangesReply.of(status);
			assertThat(hears(Duration.ZERO)).isFalse();
		}
		assertThat(this.events).doesNotContain("avoid 10.0.0.1");
	}

	/**
	 * Fails if a hub goes on being asked that the store does not answer, or whose reply
	 * is from before what this daemon has read.
	 */
	@Test
	void cutOffOrStaleHubIsAvoided() {
		this.reply = ChangesReply.of(Status.STORE_UNAVAILABLE);
		assertThat(hears(Duration.ZERO)).isFalse();
		this.reply = new ChangesReply(Status.KNOWN, StorePosition.of(6), 0, List.of());
		assertThat(hears(Duration.ZERO)).isFalse();
		assertThat(hears(Duration.ZERO)).isFalse();
		assertThat(this.events).containsAtLeast("avoid 10.0.0.1", "avoid 10.0.0.2");
		assertThat(this.events).hasSize(4);
	}

	/**
	 * Pattern: the hub has learned that the store came back from a copy. Fails if the
	 * daemon does not list again, or lists without end while the store names the former
	 * era.
	 */
	@Test
	void listsOnceIfHubIsInLaterEra() {
		this.reply = ChangesReply.otherEra(StorePosition.of(2, 3));
		Optional<SiblingChanges> heard = ask(StorePosition.of(1, 7));
		assertThat(heard.orElseThrow().result().compacted()).isTrue();
		assertThat(this.events).doesNotContain("avoid 10.0.0.1");
		assertThat(ask(StorePosition.of(1, 7))).isEmpty();
		assertThat(this.events).contains("avoid 10.0.0.1");
	}

	/** Fails if a hub that is still in an earlier era sets this daemon back. */
	@Test
	void hubInEarlierEraIsNotBelieved() {
		this.reply = ChangesReply.otherEra(StorePosition.of(1, 900));
		assertThat(ask(StorePosition.of(2, 7))).isEmpty();
		this.reply = new ChangesReply(Status.KNOWN, StorePosition.of(1, 900), 0, List.of());
		assertThat(ask(StorePosition.of(2, 7))).isEmpty();
	}

	/**
	 * Pattern: an upgrade is under way, and the hub is of the former build, which names
	 * no era. Fails if it is believed more than the store.
	 */
	@Test
	void hubOfFormerBuildIsAvoided() {
		this.reply = new ChangesReply(Status.KNOWN, StorePosition.of(900), 0, List.of());
		assertThat(ask(StorePosition.of(2, 7))).isEmpty();
		assertThat(this.events).contains("avoid 10.0.0.1");
	}

	/** Names the next address after each failure, and none in the end. */
	private final class FakeHub implements DataCentreHub {

		@Override
		public Optional<Address> address(long now) {
			return Optional.ofNullable(HubWatchTest.this.hubs.peek());
		}

		@Override
		public void recordFailure(Address hub, long now) {
			HubWatchTest.this.events.add("avoid " + hub.host());
			HubWatchTest.this.hubs.remove(hub);
		}

	}

}
