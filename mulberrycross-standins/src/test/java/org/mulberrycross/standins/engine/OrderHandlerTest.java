package org.mulberrycross.standins.engine;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mulberrycross.Address;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.engine.EngineOrder;
import org.mulberrycross.engine.EngineRole;
import org.mulberrycross.engine.EngineSetup;
import org.mulberrycross.engine.EngineSetupReport;
import org.mulberrycross.engine.KvCache;
import org.mulberrycross.engine.LayerRange;
import org.mulberrycross.engine.LeaseActionExecutor;
import org.mulberrycross.engine.ManagedEngine;
import org.mulberrycross.engine.OrderLease;
import org.mulberrycross.engine.OrderPlanner;
import org.mulberrycross.engine.OrderReconciler;
import org.mulberrycross.engine.OrderReply;
import org.mulberrycross.engine.OrderSender;
import org.mulberrycross.engine.http.HttpOrderClient;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpListener;
import org.mulberrycross.router.ObjectLeaseStore;
import org.mulberrycross.standins.platform.ObjectTable;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests the order calls between the router's client and the engine stand-in.
 */
class OrderHandlerTest {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final EngineSetup OLD_SETUP = new EngineSetup("model", "v1", "", EngineRole.BOTH);

	private static final EngineSetup NEW_SETUP = new EngineSetup("model", "v2", "a1", EngineRole.DECODE);

	private final BlockingQueue<EngineSetup> served = new LinkedBlockingQueue<>();

	/**
	 * Fails if an engine that checks fencing accepts a lower number or another expected
	 * setup, if one that ignores it refuses an order, or if a field is lost in encoding.
	 * Each order follows one with the fencing number 5.
	 */
	@ParameterizedTest
	@CsvSource({ "true, 5, v1, true, 5", "true, 6, v1, true, 6", "true, 4, v1, false, 5", "true, 6, v9, false, 5",
			"false, 4, v9, true, 0" })
	void acceptsOrRefusesOrders(boolean checksFencing, long fencing, String expectedVersion, boolean accepted,
			long highestFencing) throws Exception {
		OrderedSetup setup = new OrderedSetup(OLD_SETUP, checksFencing, Duration.ofHours(1), this.served::add);
		try (HttpListener listener = listener(setup); HttpClient http = new HttpClient(1)) {
			HttpOrderClient client = new HttpOrderClient(http);
			Address address = new Address("127.0.0.1", listener.port());
			client.sendOrder("engine", address, new EngineOrder(5, OLD_SETUP, OLD_SETUP), TIMEOUT);
			EngineSetup expectedSetup = new EngineSetup("model", expectedVersion, "", EngineRole.BOTH);
			OrderReply reply = client.sendOrder("engine", address, new EngineOrder(fencing, expectedSetup, NEW_SETUP),
					TIMEOUT);
			EngineSetupReport report = new EngineSetupReport(OLD_SETUP, accepted ? NEW_SETUP : OLD_SETUP,
					highestFencing);
			assertThat(reply.accepted()).isEqualTo(accepted);
			assertThat(reply.report()).isEqualTo(report);
			assertThat(client.readReport("engine", address, TIMEOUT)).isEqualTo(report);
			assertThat(this.served).isEmpty();
		}
	}

	/** Fails if a setup is not served once its load has finished. */
	@ParameterizedTest
	@CsvSource({ "true", "false" })
	void servesSetupAfterLoad(boolean checksFencing) throws Exception {
		OrderedSetup setup = new OrderedSetup(OLD_SETUP, checksFencing, Duration.ZERO, this.served::add);
		setup.applyOrder(new EngineOrder(1, OLD_SETUP, NEW_SETUP));
		assertThat(this.served.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isEqualTo(NEW_SETUP);
		assertThat(setup.report().current()).isEqualTo(NEW_SETUP);
	}

	/**
	 * Fails if the second daemon sends an order before the lease of the first one has
	 * expired, or afterwards does not send it with the next fencing number. The lease is
	 * kept in an object store.
	 */
	@Test
	void secondDaemonOrdersAfterLeaseExpiry() throws Exception {
		OrderedSetup setup = new OrderedSetup(OLD_SETUP, true, Duration.ofHours(1), this.served::add);
		AtomicLong nowSeconds = new AtomicLong();
		ObjectTable table = new ObjectTable();
		try (HttpListener listener = listener(setup); HttpClient http = new HttpClient(1)) {
			Address address = new Address("127.0.0.1", listener.port());
			OrderReconciler first = newReconciler("first", table, http, nowSeconds);
			OrderReconciler second = newReconciler("second", table, http, nowSeconds);
			first.reconcile(List.of(new ManagedEngine("engine", address, NEW_SETUP, true)), (weights, now) -> true);
			assertThat(setup.report()).isEqualTo(new EngineSetupReport(OLD_SETUP, NEW_SETUP, 1));
			List<ManagedEngine> enginesWithOldSetup = List.of(new ManagedEngine("engine", address, OLD_SETUP, true));
			second.reconcile(enginesWithOldSetup, (weights, now) -> true);
			assertThat(second.grant()).isEqualTo(Optional.empty());
			nowSeconds.set(11);
			second.reconcile(enginesWithOldSetup, (weights, now) -> true);
			assertThat(setup.report()).isEqualTo(new EngineSetupReport(OLD_SETUP, OLD_SETUP, 2));
		}
	}

	/**
	 * Fails if a cache that was computed with the old version is exported as one of the
	 * new version.
	 */
	@Test
	void newVersionDropsCaches() {
		try (EngineStandin engine = new EngineStandin(new LayerRange(0, 1), 1, "v1", 1, 0)) {
			KvCache cache = new KvCache("stream", 1, "v1", new LayerRange(0, 1), 1, new byte[Long.BYTES]);
			assertThat(engine.importCache(cache)).isTrue();
			engine.serveVersion("v1");
			assertThat(engine.exportCache("stream").isPresent()).isTrue();
			engine.serveVersion("v2");
			assertThat(engine.exportCache("stream").isPresent()).isFalse();
		}
	}

	private static OrderReconciler newReconciler(String holder, ObjectTable table, HttpClient http,
			AtomicLong nowSeconds) {
		HttpOrderClient client = new HttpOrderClient(http);
		MonotonicClock clock = () -> TimeUnit.SECONDS.toNanos(nowSeconds.get());
		return new OrderReconciler(new OrderLease(holder, Duration.ofSeconds(10)),
				new LeaseActionExecutor(new ObjectLeaseStore(table), "engine"), new OrderPlanner(Duration.ofSeconds(5)),
				client, new OrderSender(client, clock, Duration.ofSeconds(5)), clock,
				() -> UUID.randomUUID().toString());
	}

	private static HttpListener listener(OrderedSetup setup) throws Exception {
		HttpListener listener = new HttpListener("127.0.0.1", 0, 2);
		listener.route(new OrderHandler(setup), HttpOrderClient.ORDERS_PATH, HttpOrderClient.STATE_PATH);
		listener.start();
		return listener;
	}

}
