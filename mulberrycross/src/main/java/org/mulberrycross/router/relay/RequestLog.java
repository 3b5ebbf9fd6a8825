package org.mulberrycross.router.relay;

import org.slf4j.Logger;
import org.slf4j.spi.LoggingEventBuilder;
import org.slf4j.spi.NOPLoggingEventBuilder;

import org.mulberrycross.MonotonicClock;

/**
 * Log of decisions on requests with a bounded number of lines a second. Lines beyond it
 * are counted, and the count is logged. Owned by the control thread; not thread-safe.
 */
final class RequestLog {

	/** Lines in a second: three for each request at ten times the traffic of a daemon. */
	private static final int LINES_PER_SECOND = 400;

	private static final long NANOS_PER_SECOND = 1_000_000_000;

	private final Logger logger;

	private final MonotonicClock clock;

	private long secondBegunNanos;

	private int lines;

	private int leftOut;

	RequestLog(Logger logger, MonotonicClock clock) {
		this.logger = logger;
		this.clock = clock;
		this.secondBegunNanos = clock.nanos();
	}

	void sent(RelayExchange exchange, RelayAttempt attempt) {
		line().addKeyValue("request", exchange.call().id())
			.addKeyValue("route", exchange.rule().name())
			.addKeyValue("team", exchange.team().orElse(""))
			.addKeyValue("try", exchange.tries())
			.addKeyValue("upstream", attempt.upstreams())
			.addKeyValue("age_ms", exchange.age(this.clock.nanos()).toMillis())
			.log("request sent");
	}

	void sentAgain(RelayExchange exchange, String reason) {
		line().addKeyValue("request", exchange.call().id())
			.addKeyValue("reason", reason)
			.addKeyValue("runs", exchange.runs())
			.log("request is sent again");
	}

	void notSentAgain(RelayExchange exchange, String reason, String refusal) {
		line().addKeyValue("request", exchange.call().id())
			.addKeyValue("reason", reason)
			.addKeyValue("runs", exchange.runs())
			.addKeyValue("tries", exchange.tries())
			.addKeyValue("why", refusal)
			.log("request is not sent again");
	}

	void ended(RelayExchange exchange, String outcome) {
		long first = exchange.firstDataNanos();
		line().addKeyValue("request", exchange.call().id())
			.addKeyValue("tries", exchange.tries())
			.addKeyValue("first_ms", (first != 0) ? exchange.age(first).toMillis() : -1)
			.addKeyValue("total_ms", exchange.age(this.clock.nanos()).toMillis())
			.addKeyValue("outcome", outcome)
			.log("request ended");
	}

	private LoggingEventBuilder line() {
		long now = this.clock.nanos();
		if (now - this.secondBegunNanos >= NANOS_PER_SECOND) {
			if (this.leftOut > 0) {
				this.logger.atWarn().addKeyValue("lines", this.leftOut).log("lines on requests left out");
			}
			this.secondBegunNanos = now;
			this.lines = 0;
			this.leftOut = 0;
		}
		if (this.lines >= LINES_PER_SECOND) {
			this.leftOut++;
			return NOPLoggingEventBuilder.singleton();
		}
		this.lines++;
		return this.logger.atInfo();
	}

}
