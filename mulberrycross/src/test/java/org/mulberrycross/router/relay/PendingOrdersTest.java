package org.mulberrycross.router.relay;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mulberrycross.Address;
import org.mulberrycross.UpstreamInstance;
import org.mulberrycross.engine.EngineInstance;
import org.mulberrycross.engine.LayerRange;
import org.mulberrycross.engine.Placement;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against orders that are repeated too early, or never, after a lost reply or a
 * restart of the engine.
 */
class PendingOrdersTest {

	private static EngineInstance engine(long startedMillis, Optional<LayerRange> layers) {
		return new EngineInstance(
				new UpstreamInstance("e", "s", new Address("10.0.0.1", 80), "dc", false, 1, startedMillis), "k", layers,
				0);
	}

	/**
	 * Fails if an order without a reply is assumed to be in progress forever, an accepted
	 * one is dropped while weights load, or one survives a restart of its engine.
	 */
	@ParameterizedTest
	@CsvSource({ "ACCEPTED, 5000, 1000, true", "ACCEPTED, 21000, 1000, false", ", 1000, 1000, true",
			", 2000, 1000, false", "CONFLICT, 400, 1000, true", "CONFLICT, 600, 1000, false",
			"ACCEPTED, 1000, 2000, false" })
	void appliesOrderUntilItExpires(PlacementReply reply, long elapsedMillis, long startedMillis, boolean applied) {
		LayerRange range = new LayerRange(0, 5);
		PendingOrders pending = new PendingOrders();
		pending.add(new Placement(engine(1000, Optional.empty()), range), Optional.ofNullable(reply), 0);
		List<EngineInstance> engines = pending.applyTo(List.of(engine(startedMillis, Optional.empty())),
				elapsedMillis * 1_000_000);
		assertThat(engines.get(0).layers().isPresent()).isEqualTo(applied);
	}

}
