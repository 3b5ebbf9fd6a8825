package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.caller.CallerLimits;
import org.mulberrycross.caller.ClientCall;
import org.mulberrycross.caller.RouteKind;
import org.mulberrycross.caller.RouteRule;
import org.mulberrycross.caller.RouteTable;
import org.mulberrycross.caller.WeightedService;
import org.mulberrycross.http.Headers;
import org.mulberrycross.http.RelayRequest;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against wrong admission of requests and against outdated configurations.
 */
class RequestAdmissionTest {

	private static final RelaySettings SETTINGS = new RelaySettings("router-1", "dc-1", new Address("127.0.0.1", 1),
			new Address("127.0.0.1", 2), new Address("127.0.0.1", 3), Duration.ofSeconds(5),
			new PropagationLimits(Duration.ofSeconds(2), Duration.ofSeconds(2), Duration.ofSeconds(3)),
			Duration.ofSeconds(8), 0.2, 200, Duration.ofSeconds(10), RelayFeatures.NONE);

	private final RequestAdmission admission = new RequestAdmission(SETTINGS, MonotonicClock.system());

	private static ServingConfiguration configuration(long version, String prefix) {
		RouteRule rule = new RouteRule("route-" + version, "host", prefix, RouteKind.IDEMPOTENT, Duration.ofSeconds(1),
				Duration.ofSeconds(1), 2, 0, false, false, List.of(new WeightedService("service", 1)));
		return new ServingConfiguration(version, RouteTable.of(List.of(rule)), Optional.empty(), Map.of(),
				Map.of("service", "/"), new CallerLimits(1000, Duration.ofSeconds(1), Duration.ofSeconds(1)));
	}

	private Optional<Integer> rejectionStatus(String path) {
		return rejectionStatus(path, System.nanoTime());
	}

	private Optional<Integer> rejectionStatus(String path, long arrivalNanos) {
		return this.admission.admit(exchange("id", path, arrivalNanos)).map(LocalResponse::status);
	}

	private static RelayExchange exchange(String id, String path, long arrivalNanos) {
		return new RelayExchange(
				new RelayRequest("GET", path, Headers.of(List.of()), new byte[0]), new ClientCall(id, "host", path,
						Optional.empty(), Optional.empty(), 0, 0, OptionalLong.empty(), List.of()),
				new RecordingWriter(), new ClockReading(arrivalNanos, System.currentTimeMillis()));
	}

	/**
	 * Fails if a daemon without a configuration responds that a route does not exist.
	 */
	@Test
	void missingConfigurationIsTemporaryError() {
		assertThat(rejectionStatus("/a/")).isEqualTo(Optional.of(503));
	}

	/** Fails if a version that arrives late replaces a newer one. */
	@Test
	void olderVersionsAreIgnored() {
		assertThat(this.admission.apply(configuration(7, "/new/"))).isTrue();
		assertThat(this.admission.apply(configuration(6, "/old/"))).isFalse();
		assertThat(this.admission.apply(configuration(7, "/old/"))).isFalse();
		assertThat(rejectionStatus("/new/")).isEqualTo(Optional.empty());
		assertThat(rejectionStatus("/old/")).isEqualTo(Optional.of(404));
	}

	/**
	 * Fails if a daemon accepts a request that it would abort when it exits. A request
	 * that arrived late in the grace period was accepted until the thread of the shutdown
	 * had run, later than planned on a busy machine.
	 */
	@Test
	void refusesRequestsThatArriveLateInShutdown() {
		this.admission.apply(configuration(1, "/a/"));
		long refuseFromNanos = System.nanoTime();
		this.admission.startDraining(refuseFromNanos);
		assertThat(rejectionStatus("/a/", refuseFromNanos - 1)).isEqualTo(Optional.empty());
		assertThat(rejectionStatus("/a/", refuseFromNanos)).isEqualTo(Optional.of(503));
	}

	/**
	 * Fails if the clients of a daemon that stops return to the others as one wave, or
	 * too late for their target latency.
	 */
	@Test
	void spreadsReturnsToOtherDaemons() {
		this.admission.apply(configuration(1, "/a/"));
		spreadReturns();
		this.admission.updateDaemonCount(2);
		this.admission.startDraining(System.nanoTime());
		Set<Duration> returns = new HashSet<>();
		for (int i = 0; i < 20; i++) {
			Duration retryAfter = this.admission.admit(exchange("id-" + i, "/a/", System.nanoTime()))
				.orElseThrow()
				.retryAfter();
			assertThat(retryAfter).isAtMost(Duration.ofMillis(30));
			returns.add(retryAfter);
		}
		assertThat(returns.size()).isAtLeast(5);
	}

	private void spreadReturns() {
		this.admission.reload(new RelaySettings(SETTINGS.name(), SETTINGS.dataCentre(), SETTINGS.callerAddress(),
				SETTINGS.readinessAddress(), SETTINGS.platformAddress(), SETTINGS.revocationLimit(),
				SETTINGS.propagationLimits(), SETTINGS.shutdownGrace(), SETTINGS.retryRatio(), SETTINGS.retryBurst(),
				SETTINGS.retryWindow(),
				new RelayFeatures(SiblingSettings.NONE, false, false, new WaitingSettings(true, true, true, true, 1))));
	}

	/**
	 * Fails if clients return every 20 ms while no daemon can serve them: the keys of all
	 * daemons are old, or the last daemon stops.
	 */
	@Test
	void returnsAreNotShortIfNoOtherDaemonServes() {
		ServingConfiguration open = configuration(1, "/a/");
		this.admission.apply(new ServingConfiguration(2, open.routes(), Optional.of(Map.of("key", "team")), Map.of(),
				open.healthPathsByService(), open.limits()));
		spreadReturns();
		this.admission.updateDaemonCount(2);
		RelayExchange exchange = exchange("id", "/a/", System.nanoTime());
		assertThat(this.admission.admit(exchange).orElseThrow().retryAfter()).isEqualTo(Duration.ofMillis(300));
		this.admission.updateDaemonCount(1);
		this.admission.startDraining(exchange.arrivedAt().monotonicNanos());
		assertThat(this.admission.admit(exchange).orElseThrow().retryAfter()).isAtLeast(Duration.ofMillis(300));
	}

}
