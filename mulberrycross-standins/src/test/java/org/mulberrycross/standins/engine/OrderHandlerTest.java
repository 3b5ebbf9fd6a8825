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
import org.mulberrycross.engine.EngineOrders;
import org.mulberrycross.engine.EngineReport;
import org.mulberrycross.engine.EngineRole;
import org.mulberrycross.engine.EngineSetup;
import org.mulberrycross.engine.KvCache;
import org.mulberrycross.engine.LayerRange;
import org.mulberrycross.engine.LeaseWriter;
import org.mulberrycross.engine.LeasedOrders;
import org.mulberrycross.engine.OrderLease;
import org.mulberrycross.engine.OrderReply;
import org.mulberrycross.engine.OrderSender;
import org.mulberrycross.engine.OrderedEngine;
import org.mulberrycross.engine.http.HttpOrderClient;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpListener;
import org.mulberrycross.router.ObjectLeaseStore;
import org.mulberrycross.standins.platform.ObjectTable;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards the order calls between the router's client and the engine stand-in.
 */
class OrderHandlerTest {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final EngineSetup OLD = new EngineSetup("model", "v1", "", EngineRole.BOTH);

	private static final EngineSetup NEW = new EngineSetup("model", "v2", "a1", EngineRole.DECODE);

	private final BlockingQueue<EngineSetup> served = new LinkedBlockingQueue<>();

	/**
	 * Fails if an engine that checks fencing obeys an old number or another expected
	 * setup, one that ignores it refuses anything, or a field is lost on the way. Each
	 * order follows one with the number 5.
	 */
	@ParameterizedTest
	@CsvSource({ "true, 5, v1, true, 5", "true, 6, v1, true, 6", "true, 4, v1, false, 5", "true, 6, v9, false, 5",
			"false, 4, v9, true, 0" })
	void ordersAreObeyedOrRefused(boolean checks, long number, String expected, boolean accepted, long known)
			throws Exception {
		OrderedSetup setup = new OrderedSetup(OLD, checks, Duration.ofHours(1), this.served::add);
		try (HttpListener listener = listener(setup); HttpClient http = new HttpClient(1)) {
			HttpOrderClient client = new HttpOrderClient(http);
			Address address = new Address("127.0.0.1", listener.port());
			client.order("engine", address, new EngineOrder(5, OLD, OLD), TIMEOUT);
			EngineSetup assumed = new EngineSetup("model", expected, "", EngineRole.BOTH);
			OrderReply reply = client.order("engine", address, new EngineOrder(number, assumed, NEW), TIMEOUT);
			EngineReport report = new EngineReport(OLD, accepted ? NEW : OLD, known);
			assertThat(reply.accepted()).isEqualTo(accepted);
			assertThat(reply.report()).isEqualTo(report);
			assertThat(client.report("engine", address, TIMEOUT)).isEqualTo(report);
			assertThat(this.served).isEmpty();
		}
	}

	/** Fails if the engine does not serve a setup whose load has ended. */
	@ParameterizedTest
	@CsvSource({ "true", "false" })
	void loadedSetupIsServed(boolean checks) throws Exception {
		OrderedSetup setup = new OrderedSetup(OLD, checks, Duration.ZERO, this.served::add);
		setup.order(new EngineOrder(1, OLD, NEW));
		assertThat(this.served.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isEqualTo(NEW);
		assertThat(setup.report().current()).isEqualTo(NEW);
	}

	/**
	 * Fails if the parts do not work together over the object API: the second daemon
	 * waits out the lease of the first one and then orders with the next number.
	 */
	@Test
	void daemonsOrderOneAfterTheOther() throws Exception {
		OrderedSetup setup = new OrderedSetup(OLD, true, Duration.ofHours(1), this.served::add);
		AtomicLong seconds = new AtomicLong();
		ObjectTable table = new ObjectTable();
		try (HttpListener listener = listener(setup); HttpClient http = new HttpClient(1)) {
			Address address = new Address("127.0.0.1", listener.port());
			LeasedOrders first = orders("first", table, http, seconds);
			LeasedOrders second = orders("second", table, http, seconds);
			first.round(List.of(new OrderedEngine("engine", address, NEW, true)), (weights, now) -> true);
			assertThat(setup.report()).isEqualTo(new EngineReport(OLD, NEW, 1));
			List<OrderedEngine> back = List.of(new OrderedEngine("engine", address, OLD, true));
			second.round(back, (weights, now) -> true);
			assertThat(second.grant()).isEqualTo(Optional.empty());
			seconds.set(11);
			second.round(back, (weights, now) -> true);
			assertThat(setup.report()).isEqualTo(new EngineReport(OLD, OLD, 2));
		}
	}

	/** Fails if a cache of the old version is exported as one of the new version. */
	@Test
	void newVersionDropsCaches() {
		try (EngineStandin engine = new EngineStandin(new LayerRange(0, 1), 1, "v1", 1, 0)) {
			KvCache cache = new KvCache("stream", 1, "v1", new LayerRange(0, 1), 1, new byte[Long.BYTES]);
			assertThat(engine.importCache(cache)).isTrue();
			engine.serve("v1");
			assertThat(engine.exportCache("stream").isPresent()).isTrue();
			engine.serve("v2");
			assertThat(engine.exportCache("stream").isPresent()).isFalse();
		}
	}

	private static LeasedOrders orders(String holder, ObjectTable table, HttpClient http, AtomicLong seconds) {
		HttpOrderClient client = new HttpOrderClient(http);
		MonotonicClock clock = () -> TimeUnit.SECONDS.toNanos(seconds.get());
		return new LeasedOrders(new OrderLease(holder, Duration.ofSeconds(10)),
				new LeaseWriter(new ObjectLeaseStore(table), "engine"), new EngineOrders(Duration.ofSeconds(5)), client,
				new OrderSender(client, clock, Duration.ofSeconds(5)), clock, () -> UUID.randomUUID().toString());
	}

	private static HttpListener listener(OrderedSetup setup) throws Exception {
		HttpListener listener = new HttpListener("127.0.0.1", 0, 2);
		listener.route(new OrderHandler(setup), HttpOrderClient.ORDERS_PATH, HttpOrderClient.STATE_PATH);
		listener.start();
		return listener;
	}

}
