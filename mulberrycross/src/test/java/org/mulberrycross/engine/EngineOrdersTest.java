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
 * Guards which orders are sent, and that none is sent without a lease that lasts.
 */
class EngineOrdersTest {

	private static final Duration SEND_BOUND = Duration.ofSeconds(1);

	private static final LeaseGrant GRANT = new LeaseGrant(4, Duration.ofSeconds(5).toNanos());

	/**
	 * Fails if an order is missing or superfluous, takes a load permission without need,
	 * or loads without one. Setups are version and role; the last column is the number of
	 * permissions asked for.
	 */
	@ParameterizedTest
	@CsvSource({ "v1/BOTH, v1/BOTH, 4, true, true, false, 0", "v1/BOTH, v1/BOTH, 3, true, true, true, 0",
			"v1/BOTH, v1/BOTH, 0, false, true, false, 0", "v1/BOTH, v1/BOTH, 5, true, true, false, 0",
			"v2/BOTH, v2/BOTH, 4, true, true, true, 1", "v2/BOTH, v2/BOTH, 4, true, false, false, 1",
			"v2/BOTH, v2/BOTH, 5, true, true, false, 0", "v2/BOTH, v2/BOTH, 0, false, true, true, 1",
			"v1/DECODE, v1/DECODE, 4, true, false, true, 0", "v2/BOTH, v1/BOTH, 4, true, false, false, 0",
			"v2/BOTH, v1/BOTH, 3, true, false, true, 0", "v1/BOTH, v2/BOTH, 4, true, true, true, 1" })
	void ordersFollowTheReport(String current, String target, long number, boolean checks, boolean permitted,
			boolean ordered, int permissions) {
		AtomicInteger asked = new AtomicInteger();
		EngineReport report = new EngineReport(setup(current), setup(target), number);
		Optional<EngineOrder> order = new EngineOrders(SEND_BOUND).next(GRANT, setup("v1/BOTH"), report, checks,
				(setup, now) -> asked.getAndIncrement() < (permitted ? 1 : 0), 0);
		Optional<EngineOrder> expected = Optional.of(new EngineOrder(4, setup(current), setup("v1/BOTH")));
		assertThat(order).isEqualTo(ordered ? expected : Optional.empty());
		assertThat(asked.get()).isEqualTo(permissions);
	}

	/** Fails if an order is decided or sent when its exchange may outlast the lease. */
	@ParameterizedTest
	@CsvSource({ "3999, true", "4000, false", "5000, false", "9000, false" })
	void ordersNeedLeaseThatLasts(long millis, boolean allowed) throws Exception {
		long now = Duration.ofMillis(millis).toNanos();
		EngineReport report = new EngineReport(setup("v2/BOTH"), setup("v2/BOTH"), 0);
		Optional<EngineOrder> order = new EngineOrders(SEND_BOUND).next(GRANT, setup("v1/BOTH"), report, true,
				(setup, time) -> true, now);
		assertThat(order.isPresent()).isEqualTo(allowed);
		AtomicInteger sent = new AtomicInteger();
		OrderSender sender = new OrderSender((engine, address, sentOrder, timeout) -> {
			sent.getAndIncrement();
			return new OrderReply(true, "", report);
		}, () -> now, SEND_BOUND);
		EngineOrder decided = new EngineOrder(4, setup("v2/BOTH"), setup("v1/BOTH"));
		if (allowed) {
			sender.send("engine", new Address("127.0.0.1", 1), decided, GRANT);
		}
		else {
			assertThrows(NotRunException.class,
					() -> sender.send("engine", new Address("127.0.0.1", 1), decided, GRANT));
		}
		assertThat(sent.get()).isEqualTo(allowed ? 1 : 0);
	}

	private static EngineSetup setup(String text) {
		String[] parts = text.split("/");
		return new EngineSetup("model", parts[0], "", EngineRole.valueOf(parts[1]));
	}

}
