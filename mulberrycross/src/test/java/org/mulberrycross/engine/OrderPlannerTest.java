package org.mulberrycross.engine;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mulberrycross.Address;
import org.mulberrycross.NotRunException;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Verifies which orders are sent, and that none is sent if the lease may expire during
 * the exchange.
 */
class OrderPlannerTest {

	private static final Duration SEND_TIMEOUT = Duration.ofSeconds(1);

	private static final LeaseGrant GRANT = new LeaseGrant(4, Duration.ofSeconds(5).toNanos());

	/**
	 * Fails if an order is missing or unnecessary, if it requests a load permit without
	 * need, or if it loads weights without a permit. Setups are given as version and
	 * role; the last column is the number of requested permits.
	 */
	@ParameterizedTest
	@CsvSource({ "v1/BOTH, v1/BOTH, 4, true, true, false, 0", "v1/BOTH, v1/BOTH, 3, true, true, true, 0",
			"v1/BOTH, v1/BOTH, 0, false, true, false, 0", "v1/BOTH, v1/BOTH, 5, true, true, false, 0",
			"v2/BOTH, v2/BOTH, 4, true, true, true, 1", "v2/BOTH, v2/BOTH, 4, true, false, false, 1",
			"v2/BOTH, v2/BOTH, 5, true, true, false, 0", "v2/BOTH, v2/BOTH, 0, false, true, true, 1",
			"v1/DECODE, v1/DECODE, 4, true, false, true, 0", "v2/BOTH, v1/BOTH, 4, true, false, false, 0",
			"v2/BOTH, v1/BOTH, 3, true, false, true, 0", "v1/BOTH, v2/BOTH, 4, true, true, true, 1" })
	void decidesOrderFromReport(String current, String target, long fencing, boolean checksFencing, boolean permitted,
			boolean ordered, int expectedRequests) {
		AtomicInteger permitRequests = new AtomicInteger();
		EngineSetupReport report = new EngineSetupReport(parseSetup(current), parseSetup(target), fencing);
		Optional<EngineOrder> order = new OrderPlanner(SEND_TIMEOUT).nextOrder(GRANT, parseSetup("v1/BOTH"), report,
				checksFencing, (setup, now) -> permitRequests.getAndIncrement() < (permitted ? 1 : 0), 0);
		Optional<EngineOrder> expected = Optional.of(new EngineOrder(4, parseSetup(current), parseSetup("v1/BOTH")));
		assertThat(order).isEqualTo(ordered ? expected : Optional.empty());
		assertThat(permitRequests.get()).isEqualTo(expectedRequests);
	}

	/**
	 * Fails if an order is decided or sent although its exchange may outlast the lease.
	 */
	@ParameterizedTest
	@CsvSource({ "3999, true", "4000, false", "5000, false", "9000, false" })
	void requiresLeaseToOutlastExchange(long millis, boolean allowed) throws Exception {
		long nowNanos = Duration.ofMillis(millis).toNanos();
		EngineSetupReport report = new EngineSetupReport(parseSetup("v2/BOTH"), parseSetup("v2/BOTH"), 0);
		Optional<EngineOrder> order = new OrderPlanner(SEND_TIMEOUT).nextOrder(GRANT, parseSetup("v1/BOTH"), report,
				true, (setup, time) -> true, nowNanos);
		assertThat(order.isPresent()).isEqualTo(allowed);
		AtomicInteger sentCount = new AtomicInteger();
		OrderSender sender = new OrderSender((engine, address, sentOrder, timeout) -> {
			sentCount.getAndIncrement();
			return new OrderReply(true, "", report);
		}, () -> nowNanos, SEND_TIMEOUT);
		EngineOrder decided = new EngineOrder(4, parseSetup("v2/BOTH"), parseSetup("v1/BOTH"));
		if (allowed) {
			sender.send("engine", new Address("127.0.0.1", 1), decided, GRANT);
		}
		else {
			assertThrows(NotRunException.class,
					() -> sender.send("engine", new Address("127.0.0.1", 1), decided, GRANT));
		}
		assertThat(sentCount.get()).isEqualTo(allowed ? 1 : 0);
	}

	private static EngineSetup parseSetup(String text) {
		String[] parts = text.split("/");
		return new EngineSetup("model", parts[0], "", EngineRole.valueOf(parts[1]));
	}

}
