package org.mulberrycross.router.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;
import org.slf4j.helpers.NOPLogger;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.caller.ClientCall;
import org.mulberrycross.http.Headers;
import org.mulberrycross.http.RelayRequest;
import org.mulberrycross.http.ResponseHead;
import org.mulberrycross.http.ResponseWriter;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests that count as in flight for good, which delay each planned stop
 * to the end of its grace period.
 */
class InFlightRequestsTest {

	private final RelayMetrics metrics = new RelayMetrics(new MetricRegistry());

	private final UpstreamDirectory directory = new UpstreamDirectory();

	private final UpstreamHealth health = new UpstreamHealth();

	private final UpstreamSelector selector = new UpstreamSelector(this.directory,
			new EligibleUpstreams(this.directory, this.health,
					new UpstreamLimits(1, this.metrics, new SplittableRandom(1))),
			this.health, new EngineSlowdowns(), "dc", new SplittableRandom(1), (engineId, own, nowNanos) -> own);

	private final InFlightRequests inFlight = new InFlightRequests(this.selector, this.metrics,
			new RequestLog(NOPLogger.NOP_LOGGER, MonotonicClock.system()), MonotonicClock.system(),
			(exchange, completed) -> {
			});

	/** Fails if a request is counted whose client left before it was started. */
	@Test
	void doesNotAddRequestWhoseClientHasLeft() {
		RelayExchange exchange = new RelayExchange(
				new RelayRequest("GET", "/", Headers.of(List.of()), new byte[0]), new ClientCall("id", "host", "/",
						Optional.empty(), Optional.empty(), 1, 1, OptionalLong.empty(), List.of()),
				new ClosedResponse(), ClockReading.now(MonotonicClock.system()));
		this.inFlight.finish(exchange, "client left");
		assertThat(this.inFlight.add(exchange)).isFalse();
		assertThat(this.inFlight.count()).isEqualTo(0);
	}

	/** A response whose client has left. */
	private static final class ClosedResponse implements ResponseWriter {

		@Override
		public void setHead(ResponseHead head) {
		}

		@Override
		public void write(byte[] part) {
		}

		@Override
		public void end() {
		}

		@Override
		public void abort() {
		}

		@Override
		public void onDisconnect(Runnable action) {
			action.run();
		}

	}

}
