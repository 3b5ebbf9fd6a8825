package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;

import org.mulberrycross.caller.ClientCall;
import org.mulberrycross.caller.RouteKind;
import org.mulberrycross.caller.RouteRule;
import org.mulberrycross.caller.WeightedService;
import org.mulberrycross.http.Headers;
import org.mulberrycross.http.RelayRequest;

import static com.google.common.truth.Truth.assertThat;

/**
 * Requests that compete for too few slots, with times set by the test. The upstreams have
 * room while fewer than {@code slots} requests run.
 */
class WaitingRequestsTest {

	private static final long MILLI = 1_000_000;

	private static final WaitingSettings SETTINGS = new WaitingSettings(true, true, true, true, 8);

	private final Deque<RelayExchange> running = new ArrayDeque<>();

	private final List<String> started = new ArrayList<>();

	private final List<String> attempted = new ArrayList<>();

	private final Map<String, Duration> refused = new HashMap<>();

	private int slots = 1;

	private Room roomWithoutSlots = Room.BUSY;

	private long nowNanos;

	private final WaitingRequests waiting = new WaitingRequests(SETTINGS,
			new WaitingRequests.Upstreams(this::room, this::start),
			(exchange, reason, retryAfter) -> this.refused.put(exchange.call().id(), retryAfter),
			new RelayMetrics(new MetricRegistry()), () -> this.nowNanos, new SplittableRandom(1));

	private Room room(RelayExchange exchange, long checkNanos) {
		return (this.running.size() < this.slots) ? Room.FREE : this.roomWithoutSlots;
	}

	private boolean start(RelayExchange exchange) {
		this.attempted.add(exchange.call().id());
		if (exchange.call().id().startsWith("broken")) {
			throw new IllegalStateException("cannot be encoded");
		}
		if (this.roomWithoutSlots == Room.UNKNOWN && this.running.size() >= this.slots) {
			return false;
		}
		this.running.add(exchange);
		this.started.add(exchange.call().id());
		this.waiting.recordStart(exchange);
		return true;
	}

	private void submit(String id, int priority, String team, long timeoutMillis) {
		RouteRule rule = new RouteRule("route-" + priority, "host", "/", RouteKind.STREAM, Duration.ofSeconds(20),
				Duration.ofMillis(800), 2, priority, false, true, List.of(new WeightedService("model", 1)));
		RelayExchange exchange = new RelayExchange(new RelayRequest("POST", "/", Headers.of(List.of()), new byte[0]),
				new ClientCall(id, "host", "/", Optional.empty(), Optional.of(Duration.ofMillis(timeoutMillis)), 100,
						100, OptionalLong.empty(), List.of()),
				new RecordingWriter(), new ClockReading(this.nowNanos, 0));
		exchange.admit(rule, Optional.of(team));
		this.waiting.submit(exchange);
	}

	private void submit(String id, int priority) {
		submit(id, priority, "team", 20_000);
	}

	private void endOldest(long millis) {
		endOldest(millis, true);
	}

	private void endOldest(long millis, boolean isComplete) {
		this.nowNanos += millis * MILLI;
		this.waiting.recordEnd(this.running.remove(), isComplete);
	}

	/** Fails if a burst of the least urgent requests delays a steady urgent load. */
	@Test
	void burstOfLeastUrgentRequestsWaitsBehindUrgentOnes() {
		submit("first", 2);
		for (int i = 0; i < 4; i++) {
			submit("quote" + i, 2);
		}
		submit("fault0", 0);
		submit("fault1", 0);
		endOldest(1);
		endOldest(1);
		assertThat(this.started).containsExactly("first", "fault0", "fault1").inOrder();
	}

	/** Fails if a burst of the most urgent requests starves those of other ranks. */
	@Test
	void burstOfUrgentRequestsLeavesShareForOthers() {
		submit("first", 0);
		submit("quote", 2);
		for (int i = 0; i < 6; i++) {
			submit("fault" + i, 0);
		}
		for (int i = 0; i < 4; i++) {
			endOldest(1);
		}
		assertThat(this.started).contains("quote");
		assertThat(this.started.indexOf("quote")).isAtLeast(3);
	}

	/** Fails if a team that floods a service delays the single request of another. */
	@Test
	void floodOfOneTeamDoesNotDelayOthers() {
		submit("first", 1, "flood", 20_000);
		for (int i = 0; i < 6; i++) {
			submit("flood" + i, 1, "flood", 20_000);
		}
		submit("single", 1, "other", 20_000);
		endOldest(1);
		endOldest(1);
		assertThat(this.started).contains("single");
	}

	/** Fails if a client that was refused once waits behind clients that were not. */
	@Test
	void returningClientsGoFirst() {
		submit("first", 1);
		submit("new", 1);
		submit("returning", 1, "team", 19_600);
		endOldest(1);
		assertThat(this.started).containsExactly("first", "returning").inOrder();
	}

	/**
	 * Fails if a request is refused because engines seem busy. The expected load is an
	 * estimate, so that the engines may have room.
	 */
	@Test
	void expectedLoadAloneRefusesNobody() {
		submit("first", 1);
		submit("second", 1);
		this.nowNanos += 99 * MILLI;
		this.waiting.check();
		assertThat(this.started).containsExactly("first");
		this.nowNanos += 2 * MILLI;
		this.waiting.check();
		assertThat(this.started).containsExactly("first", "second").inOrder();
		assertThat(this.refused).isEmpty();
	}

	/**
	 * Fails if a request that cannot be served in time is held, or is sent to engines
	 * that have just turned others away, or is refused a second time.
	 */
	@Test
	void refusesAtOnceIfFullEnginesFreeTooLate() {
		submit("first", 1);
		endOldest(2000);
		submit("second", 1);
		this.roomWithoutSlots = Room.FULL;
		submit("third", 1);
		assertThat(this.refused.keySet()).containsExactly("third");
		submit("returning", 1, "team", 19_000);
		assertThat(this.refused.keySet()).containsExactly("third");
		assertThat(this.started).containsExactly("first", "second", "returning").inOrder();
	}

	/** Fails if a flood fills the memory of the daemon or is held without a chance. */
	@Test
	void fullQueueRefusesFurtherRequests() {
		this.roomWithoutSlots = Room.FULL;
		submit("first", 1);
		for (int i = 0; i < 10; i++) {
			submit("more" + i, 1);
		}
		assertThat(this.waiting.size()).isEqualTo(8);
		assertThat(this.refused.keySet()).containsExactly("more8", "more9");
	}

	/**
	 * Fails if callers that return together after all daemons have restarted are held
	 * beyond a fraction of their target latency, or are told to return at the same time.
	 */
	@Test
	void returnsAreSpreadAfterLossOfAllUpstreams() {
		this.slots = 0;
		this.roomWithoutSlots = Room.UNKNOWN;
		for (int i = 0; i < 8; i++) {
			submit("caller" + i, 1);
		}
		assertThat(this.refused).isEmpty();
		this.nowNanos += 101 * MILLI;
		this.waiting.check();
		assertThat(this.refused).hasSize(8);
		assertThat(this.refused.values().stream().collect(Collectors.toSet())).hasSize(8);
	}

	/**
	 * Fails if requests are ranked, limited in number, held behind others or started
	 * between two checks although the queue is off.
	 */
	@Test
	void withoutQueueEachRequestIsTriedAtEachCheckInOrderOfArrival() {
		this.waiting.reload(new WaitingSettings(false, false, false, false, 1));
		this.roomWithoutSlots = Room.UNKNOWN;
		submit("first", 1);
		submit("second", 9);
		submit("third", 0);
		submit("fourth", 5);
		endOldest(1);
		assertThat(this.refused).isEmpty();
		assertThat(this.started).containsExactly("first");
		this.attempted.clear();
		this.waiting.check();
		assertThat(this.attempted).containsExactly("second", "third", "fourth").inOrder();
		assertThat(this.started).containsExactly("first", "second").inOrder();
		this.nowNanos += 101 * MILLI;
		this.waiting.check();
		assertThat(this.refused).containsExactly("third", Duration.ofSeconds(1), "fourth", Duration.ofSeconds(1));
	}

	/** Fails if a request whose start throws an exception holds up those behind it. */
	@Test
	void requestThatCannotBeStartedLeavesQueue() {
		submit("first", 1);
		submit("broken0", 0);
		submit("second", 1);
		submit("broken1", 2);
		submit("third", 2);
		endOldest(1);
		assertThat(this.refused.keySet()).containsExactly("broken0");
		this.nowNanos += 101 * MILLI;
		this.waiting.check();
		assertThat(this.refused.keySet()).containsExactly("broken0", "broken1");
		assertThat(this.started).containsExactly("first", "second", "third").inOrder();
		assertThat(this.waiting.size()).isEqualTo(0);
	}

	/**
	 * Fails if rejections, or the time before a request is sent, count as time that
	 * requests run: requests that are served in time are then refused, or others wait in
	 * vain.
	 */
	@Test
	void onlyCompletedRequestsTellHowLongRequestsRun() {
		submit("first", 1);
		submit("second", 1);
		endOldest(90, false);
		endOldest(60);
		this.roomWithoutSlots = Room.FULL;
		submit("third", 1);
		for (int i = 0; i < 50; i++) {
			endOldest(1, false);
			submit("rejected" + i, 1);
		}
		submit("waiting", 1);
		assertThat(this.refused).isEmpty();
		submit("too late", 1);
		assertThat(this.refused.keySet()).containsExactly("too late");
	}

	/**
	 * Fails if requests with a long expected wait are sent to busy upstreams at once,
	 * ahead of more urgent ones that wait.
	 */
	@Test
	void longExpectedWaitOvertakesNobodyWhileBusy() {
		submit("first", 1);
		endOldest(2000);
		submit("second", 1);
		submit("fault", 0);
		submit("quote", 2);
		submit("returning quote", 2, "team", 19_000);
		assertThat(this.started).containsExactly("first", "second").inOrder();
		endOldest(1);
		endOldest(1);
		assertThat(this.started).containsExactly("first", "second", "fault", "returning quote").inOrder();
	}

	/** Fails if a newcomer beyond the limit starts ahead of those that wait. */
	@Test
	void fullQueueStartsItsFirstRequest() {
		submit("first", 1);
		for (int i = 0; i < 9; i++) {
			submit("order" + i, 1);
		}
		assertThat(this.started).containsExactly("first", "order0").inOrder();
		submit("quote", 2);
		submit("fault", 0);
		assertThat(this.started).containsExactly("first", "order0", "order1", "fault").inOrder();
		this.roomWithoutSlots = Room.FULL;
		submit("returning quote", 2, "team", 19_000);
		assertThat(this.refused.keySet()).containsExactly("returning quote");
		assertThat(this.waiting.size()).isEqualTo(8);
	}

}
