package org.mulberrycross.standins.engine;

import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mulberrycross.Address;
import org.mulberrycross.engine.EngineOrder;
import org.mulberrycross.engine.EngineReport;
import org.mulberrycross.engine.EngineRole;
import org.mulberrycross.engine.EngineSetup;
import org.mulberrycross.engine.OrderReply;
import org.mulberrycross.engine.http.HttpOrderClient;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpListener;

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

	private static HttpListener listener(OrderedSetup setup) throws Exception {
		HttpListener listener = new HttpListener("127.0.0.1", 0, 2);
		listener.route(new OrderHandler(setup), HttpOrderClient.ORDERS_PATH, HttpOrderClient.STATE_PATH);
		listener.start();
		return listener;
	}

}
