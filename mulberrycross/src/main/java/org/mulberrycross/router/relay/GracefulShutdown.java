package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongConsumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.http.RelayServer;

/**
 * Planned stop of a daemon. Requests are taken until the load balancer has sent clients
 * elsewhere and refused afterwards; each request that was taken is answered, and its last
 * byte sent, before the process ends. Runs on the thread of the caller. Not thread-safe.
 */
final class GracefulShutdown {

	private static final Logger logger = LoggerFactory.getLogger(GracefulShutdown.class);

	/**
	 * Time from the start of the shutdown until requests are refused and idle connections
	 * are closed. By then the load balancer has sent clients elsewhere. Requests that
	 * clients send up to 3 s after the signal may be cut off at the end of the grace
	 * period; the signal comes before the start of the shutdown, by some hundred
	 * milliseconds on a busy machine.
	 */
	private static final Duration REFUSAL_DELAY = Duration.ofMillis(2500);

	/**
	 * Time that is reserved for ending the process, and the part of the grace period that
	 * it may take: requests that are still at work in the last sixth may be cut off.
	 */
	private static final Duration EXIT_MARGIN = Duration.ofMillis(1000);

	private static final int GRACE_PARTS_PER_MARGIN = 6;

	/**
	 * Idle time after which a connection is closed. A client that has its next request
	 * ready sends it sooner, and is answered.
	 */
	private static final Duration MIN_IDLE_TIME = Duration.ofMillis(500);

	/** Maximum wait at the end for responses to be sent and clients to close. */
	private static final Duration MAX_CLOSE_WAIT = Duration.ofMillis(200);

	private static final Duration POLL_PERIOD = Duration.ofMillis(50);

	private final Requests requests;

	private final RelayServer server;

	private final MonotonicClock clock;

	GracefulShutdown(Requests requests, RelayServer server, MonotonicClock clock) {
		this.requests = Objects.requireNonNull(requests, "requests");
		this.server = Objects.requireNonNull(server, "server");
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	// Returns when every request is answered or the grace period is about to end.
	void run(Duration grace) throws InterruptedException {
		long startNanos = this.clock.nanos();
		logger.atInfo().addKeyValue("open", this.requests.inFlightCount().getAsInt()).log("daemon shutting down");
		long refuseAtNanos = startNanos + REFUSAL_DELAY.toNanos();
		long marginNanos = Math.min(EXIT_MARGIN.toNanos(), grace.toNanos() / GRACE_PARTS_PER_MARGIN);
		long deadlineNanos = startNanos + grace.toNanos() - marginNanos;
		this.requests.refuseFrom().accept(refuseAtNanos);
		this.server.closeAfterResponses();
		TimeUnit.NANOSECONDS.sleep(Math.min(refuseAtNanos, deadlineNanos) - startNanos);
		while (this.clock.nanos() - deadlineNanos < 0 && isServing()) {
			this.server.closeIdleConnections(MIN_IDLE_TIME);
			TimeUnit.NANOSECONDS.sleep(POLL_PERIOD.toNanos());
		}
		logger.atInfo().addKeyValue("open", this.requests.inFlightCount().getAsInt()).log("daemon stopped");
		this.requests.failInFlight().accept("daemon stops");
		closeConnections();
	}

	// A request counts as in flight only once the control thread has seen it, and no
	// longer once its response has ended, which may still have to be sent.
	private boolean isServing() {
		return this.requests.inFlightCount().getAsInt() > 0 || this.server.isAnswering();
	}

	private void closeConnections() throws InterruptedException {
		long endNanos = this.clock.nanos() + MAX_CLOSE_WAIT.toNanos();
		this.server.stopAccepting();
		while (this.clock.nanos() - endNanos < 0 && this.server.hasConnections()) {
			this.server.closeIdleConnections(Duration.ZERO);
			TimeUnit.NANOSECONDS.sleep(POLL_PERIOD.toNanos());
		}
	}

	/**
	 * The requests of the daemon.
	 *
	 * @param inFlightCount returns the number of requests in flight, not null
	 * @param refuseFrom refuses the requests that arrive from a monotonic time on, in
	 * nanoseconds, not null
	 * @param failInFlight ends the requests in flight for a reason, not null
	 */
	record Requests(IntSupplier inFlightCount, LongConsumer refuseFrom, Consumer<String> failInFlight) {

		Requests {
			Objects.requireNonNull(inFlightCount, "inFlightCount");
			Objects.requireNonNull(refuseFrom, "refuseFrom");
			Objects.requireNonNull(failInFlight, "failInFlight");
		}

	}

}
