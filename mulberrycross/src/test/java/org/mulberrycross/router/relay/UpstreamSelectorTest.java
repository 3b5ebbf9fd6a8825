package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.UpstreamInstance;
import org.mulberrycross.caller.CallerLimits;
import org.mulberrycross.caller.ClientCall;
import org.mulberrycross.caller.RouteKind;
import org.mulberrycross.caller.RouteRule;
import org.mulberrycross.caller.RouteTable;
import org.mulberrycross.caller.WeightedService;
import org.mulberrycross.engine.AcceleratorKind;
import org.mulberrycross.engine.EngineInstance;
import org.mulberrycross.engine.EngineProfile;
import org.mulberrycross.engine.LayerRange;
import org.mulberrycross.engine.PathStage;
import org.mulberrycross.engine.RequestTokens;
import org.mulberrycross.http.Headers;
import org.mulberrycross.http.RelayRequest;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against sending requests to engines that are unsuitable after failures.
 */
class UpstreamSelectorTest {

	private static final EngineProfile PROFILE = new EngineProfile(10, 100, 1, 1, 100, 100, 100, 1,
			Map.of("kind", new AcceleratorKind("kind", 2000, 1, 1)));

	private static final RouteRule RULE = new RouteRule("route", "host", "/", RouteKind.STREAM, Duration.ofSeconds(9),
			Duration.ofSeconds(1), 3, 0, false, true, List.of(new WeightedService("model", 1)));

	private final UpstreamDirectory directory = new UpstreamDirectory();

	private final UpstreamHealth health = new UpstreamHealth();

	private final EngineSlowdowns slowdowns = new EngineSlowdowns();

	private final UpstreamLimits limits = new UpstreamLimits(1, new RelayMetrics(new MetricRegistry()),
			new SplittableRandom(1));

	private final EligibleUpstreams eligible = new EligibleUpstreams(this.directory, this.health, this.limits);

	private final UpstreamSelector selector = new UpstreamSelector(this.directory, this.eligible, this.health,
			this.slowdowns, "dc", new SplittableRandom(1), (engineId, own, nowNanos) -> own);

	private final RelayExchange exchange = exchange(100);

	@BeforeEach
	void configure() {
		this.selector.configure(
				new ServingConfiguration(1, RouteTable.of(List.of(RULE)), Optional.empty(), Map.of("model", PROFILE),
						Map.of("model", "/"), new CallerLimits(1000, Duration.ofSeconds(1), Duration.ofSeconds(1))));
		put("first", 0, 5, 134);
		put("second", 5, 10, 134);
	}

	private static RelayExchange exchange(int promptTokens) {
		RelayExchange created = new RelayExchange(new RelayRequest("POST", "/", Headers.of(List.of()), new byte[0]),
				new ClientCall("id", "host", "/", Optional.empty(), Optional.empty(), promptTokens, 100,
						OptionalLong.empty(), List.of()),
				new RecordingWriter(), ClockReading.now(MonotonicClock.system()));
		created.admit(RULE, Optional.empty());
		return created;
	}

	private void put(String id, int from, int to, int slots) {
		UpstreamInstance instance = new UpstreamInstance(id, "model", new Address("10.0.0.1", 80), "dc", false, slots,
				1);
		this.directory.put(new DirectoryEntry(instance,
				Optional.of(new EngineInstance(instance, "kind", Optional.of(new LayerRange(from, to)), 1))));
	}

	private Optional<Duration> untilAvailable(long nowNanos) {
		return this.eligible.unavailability(this.exchange, nowNanos).map(EligibleUpstreams.Unavailability::remaining);
	}

	private List<String> selectPath() {
		return this.selector.select(this.exchange, Duration.ofSeconds(5), 0)
			.flatMap(Forwarding::path)
			.map((path) -> path.stages().stream().map(PathStage::engine).map(EngineInstance::id).toList())
			.orElse(List.of());
	}

	/**
	 * Fails if a request is retried on an engine that has just failed it, which exhausts
	 * the retry budget within a few milliseconds.
	 */
	@Test
	void skipsEnginesThatFailedRequest() {
		this.exchange.failedUpstreams().add("second");
		assertThat(selectPath()).isEmpty();
		put("other", 5, 10, 134);
		assertThat(selectPath()).containsExactly("first", "other").inOrder();
	}

	/**
	 * Fails if engines that only took part in a failed attempt are excluded although
	 * there are no others, or used although there are.
	 */
	@Test
	void usesSuspectedEnginesOnlyAsFallback() {
		this.exchange.suspectedUpstreams().addAll(List.of("first", "second"));
		assertThat(selectPath()).containsExactly("first", "second").inOrder();
		put("other", 0, 5, 134);
		put("another", 5, 10, 134);
		assertThat(selectPath()).containsExactly("other", "another").inOrder();
	}

	/**
	 * Fails if requests are sent to engines that turn them away while others would soon
	 * have room, or wait although some engines hold all layers and have room.
	 */
	@Test
	void roomCountsEnginesThatHoldAllLayersTogether() {
		assertThat(this.selector.room(this.exchange, 0)).isEqualTo(Room.FREE);
		this.health.recordSaturation("second", 0);
		assertThat(this.selector.room(this.exchange, 0)).isEqualTo(Room.FULL);
		put("other", 4, 10, 134);
		assertThat(this.selector.room(this.exchange, 0)).isEqualTo(Room.FREE);
		this.health.recordFailure("other", "reset", 0);
		this.health.recordFailure("first", "reset", 0);
		assertThat(this.selector.room(this.exchange, 0)).isEqualTo(Room.UNKNOWN);
	}

	/**
	 * Fails if a service rejects requests because each of its first engines has recently
	 * failed one, or if a stalled engine is preferred to an ejected one.
	 */
	@Test
	void prefersEjectedOverStalledEngines() {
		put("stalled", 0, 5, 134);
		this.health.recordFailure("first", "reset", 0);
		this.health.recordStall("stalled", 0);
		assertThat(selectPath()).containsExactly("first", "second").inOrder();
	}

	/**
	 * Fails if requests queue at an engine without a free slot while another is idle.
	 */
	@Test
	void countsSlotsOfFirstEngineAsLoad() {
		put("narrow", 0, 10, 1);
		RelayAttempt attempt = new RelayAttempt(this.exchange,
				this.selector.select(this.exchange, Duration.ofSeconds(5), 0).orElseThrow(), null, null,
				new RequestTokens(1, 1), new ResponseBuffers());
		assertThat(attempt.upstreamIds()).containsExactly("narrow");
		this.selector.recordSent(attempt);
		assertThat(selectPath()).containsExactly("first", "second").inOrder();
	}

	/**
	 * Pattern: some engines of a model turn slow (trouble-2 of a fleet of four daemons).
	 * Fails if requests still pass through an engine that reported to be slow although
	 * another one holds the same layers, or if its report is used for too long.
	 */
	@Test
	void avoidsSlowEngineWhileItsReportIsRecent() {
		put("other", 5, 10, 134);
		this.slowdowns.record("second", 12, 0);
		for (int i = 0; i < 100; i++) {
			assertThat(selectPath()).containsExactly("first", "other").inOrder();
		}
		this.slowdowns.record("other", 20, 0);
		assertThat(selectPath()).containsExactly("first", "second").inOrder();
		this.slowdowns.record("second", 1, 0);
		assertThat(selectPath()).containsExactly("first", "second").inOrder();
	}

	/**
	 * Fails if an engine that asked for a rest gets requests before its end, as the first
	 * of a path or as a part of one, even as a last resort, or none after it.
	 */
	@Test
	void restingEngineGetsNoRequests() {
		this.health.recordRest("second", Duration.ofSeconds(3), -Duration.ofSeconds(2).toNanos());
		assertThat(selectPath()).isEmpty();
		put("other", 5, 10, 134);
		assertThat(selectPath()).containsExactly("first", "other").inOrder();
		this.health.recordRest("second", Duration.ofSeconds(1), -Duration.ofSeconds(1).toNanos());
		this.exchange.failedUpstreams().add("other");
		assertThat(selectPath()).containsExactly("first", "second").inOrder();
	}

	/**
	 * Pattern: a sound engine that alone holds its layers is silent for a second. Fails
	 * if another path is seen where none is, so that its streams are broken off, or none
	 * where there is one, so that streams wait for an engine that is lost.
	 */
	@Test
	void findsPathWithoutStalledEngine() {
		RelayAttempt attempt = attempt(this.exchange);
		assertThat(hasAlternative(attempt, "second")).isFalse();
		put("other", 5, 10, 134);
		assertThat(hasAlternative(attempt, "second")).isTrue();
		this.health.recordStall("other", 0);
		assertThat(hasAlternative(attempt, "second")).isFalse();
		put("third", 5, 10, 134);
		this.exchange.failedUpstreams().add("third");
		assertThat(hasAlternative(attempt, "second")).isFalse();
	}

	/**
	 * Pattern: the only instance of a plain service is silent for a second, or a request
	 * has no time left for another one. Fails if an instance is seen that cannot serve
	 * the request, so that it is ended instead of going on.
	 */
	@Test
	void findsOtherInstanceOfPlainService() {
		this.selector.configure(new ServingConfiguration(2, RouteTable.of(List.of(RULE)), Optional.empty(), Map.of(),
				Map.of("model", "/"), new CallerLimits(1000, Duration.ofSeconds(1), Duration.ofSeconds(1))));
		RelayAttempt attempt = attempt(this.exchange);
		String silent = attempt.forwarding().upstream().id();
		String other = silent.equals("first") ? "second" : "first";
		assertThat(hasAlternative(attempt, silent)).isTrue();
		long closeToDeadlineNanos = this.exchange.arrivedAt().monotonicNanos()
				+ RULE.timeout().minus(RequestDispatcher.MIN_REMAINING_TIME).toNanos() + 1;
		assertThat(this.selector.hasAlternative(attempt, Set.of(silent), closeToDeadlineNanos)).isFalse();
		this.exchange.failedUpstreams().add(other);
		assertThat(hasAlternative(attempt, silent)).isFalse();
	}

	private boolean hasAlternative(RelayAttempt attempt, String avoidedId) {
		return this.selector.hasAlternative(attempt, Set.of(avoidedId), 0);
	}

	/**
	 * Fails if a request waits, or gets a Retry-After that is too short, although all
	 * engines that it could be sent to rest.
	 */
	@Test
	void tellsEarliestEndOfRest() {
		put("another", 0, 5, 134);
		this.health.recordRest("first", Duration.ofSeconds(7), 0);
		assertThat(untilAvailable(0)).isEqualTo(Optional.empty());
		this.health.recordRest("another", Duration.ofSeconds(4), 0);
		assertThat(untilAvailable(0)).isEqualTo(Optional.of(Duration.ofSeconds(4)));
	}

	/**
	 * Fails if an engine that announced in a response that it leaves gets requests
	 * because its entry in the store still says that it is ready, or if a later start of
	 * it gets none.
	 */
	@Test
	void leavingEngineGetsNoRequests() {
		put("other", 5, 10, 134);
		this.directory.find("second").ifPresent((entry) -> this.directory.markLeaving(entry.instance()));
		put("second", 5, 10, 130);
		assertThat(selectPath()).containsExactly("first", "other").inOrder();
		this.exchange.failedUpstreams().add("other");
		assertThat(selectPath()).isEmpty();
		UpstreamInstance restarted = new UpstreamInstance("second", "model", new Address("10.0.0.1", 80), "dc", false,
				134, 2);
		this.directory.put(new DirectoryEntry(restarted,
				Optional.of(new EngineInstance(restarted, "kind", Optional.of(new LayerRange(5, 10)), 1))));
		assertThat(selectPath()).containsExactly("first", "second").inOrder();
	}

	/**
	 * Pattern: requests larger than the rest of an engine's memory. Fails if a request is
	 * sent over an engine that has no room for it to its end although another engine,
	 * even a slow one, has, or if that engine is not used where there is no other.
	 */
	@Test
	void requestGoesWhereItHasRoomToItsEnd() {
		this.selector.useExpectedCost(true);
		put("first", 0, 5, 134);
		for (int i = 0; i < 13; i++) {
			this.selector.recordSent(attempt(this.exchange));
		}
		put("other", 0, 5, 134);
		put("slow", 5, 10, 134);
		this.slowdowns.record("slow", 12, 0);
		assertThat(attempt(this.exchange).upstreamIds()).containsExactly("other", "second").inOrder();
		RelayExchange large = exchange(500);
		assertThat(attempt(large).upstreamIds()).containsExactly("other", "slow").inOrder();
		large.failedUpstreams().add("slow");
		assertThat(attempt(large).upstreamIds()).containsExactly("other", "second").inOrder();
	}

	/**
	 * Pattern: another daemon has filled an engine in the middle of the paths. Fails if
	 * the next requests go there again or avoid the engine before it as well, or if the
	 * request that was turned away goes back to it.
	 */
	@Test
	void noRoomIsBlamedOnNamedEngineOnly() {
		this.selector.useExpectedCost(true);
		put("other", 5, 10, 134);
		this.slowdowns.record("other", 3, 0);
		RelayAttempt attempt = attempt(this.exchange);
		assertThat(attempt.upstreamIds()).containsExactly("first", "second").inOrder();
		this.selector.recordNoRoom(attempt, "second", 0);
		assertThat(attempt(exchange(100)).upstreamIds()).containsExactly("first", "other").inOrder();
		this.exchange.failedUpstreams().add("other");
		assertThat(selectPath()).containsExactly("first", "second").inOrder();
		assertThat(this.health.isEjected("first", 0)).isFalse();
	}

	private RelayAttempt attempt(RelayExchange sent) {
		Forwarding forwarding = this.selector.select(sent, Duration.ofSeconds(5), 0).orElseThrow();
		return new RelayAttempt(sent, forwarding, null, null, this.selector.requestTokens(sent, "model"),
				new ResponseBuffers());
	}

	/**
	 * Fails if instances of plain services are chosen at random or by their slots without
	 * the setting, or by the number of requests alone with it.
	 */
	@Test
	void slotsCountForPlainServicesOnlyBySetting() {
		this.selector.configure(new ServingConfiguration(2, RouteTable.of(List.of(RULE)), Optional.empty(), Map.of(),
				Map.of("model", "/"), new CallerLimits(1000, Duration.ofSeconds(1), Duration.ofSeconds(1))));
		Forwarding before = this.selector.select(this.exchange, Duration.ofSeconds(5), 0).orElseThrow();
		for (int i = 0; i < 20; i++) {
			assertThat(this.selector.select(this.exchange, Duration.ofSeconds(5), 0)).isEqualTo(Optional.of(before));
		}
		String other = before.upstream().id().equals("first") ? "second" : "first";
		put(other, 0, 5, 1);
		for (int i = 0; i < 3; i++) {
			Forwarding chosen = this.selector.select(this.exchange, Duration.ofSeconds(5), 0).orElseThrow();
			assertThat(chosen.upstream().id()).isEqualTo((i == 1) ? other : before.upstream().id());
			this.selector.recordSent(new RelayAttempt(this.exchange, chosen, null, null, new RequestTokens(1, 1),
					new ResponseBuffers()));
		}
		this.selector.reload(new WaitingSettings(false, false, false, true, 1));
		assertThat(this.selector.select(this.exchange, Duration.ofSeconds(5), 0).orElseThrow().upstream().id())
			.isEqualTo(before.upstream().id());
	}

}
