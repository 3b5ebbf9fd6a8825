package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Locale;

import org.slf4j.Logger;
import org.slf4j.spi.LoggingEventBuilder;
import org.slf4j.spi.NOPLoggingEventBuilder;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.engine.StreamMove;

/**
 * Rate-limited log of routing decisions. Lines beyond the limit are dropped and their
 * number is logged. Confined to the control thread; not thread-safe.
 */
final class RequestLog {

	/** Three lines for each request at ten times the usual traffic of a daemon. */
	private static final int MAX_LINES_PER_SECOND = 400;

	private static final long NANOS_PER_SECOND = 1_000_000_000;

	private final Logger logger;

	private final MonotonicClock clock;

	private long intervalStartNanos;

	private int lineCount;

	private int suppressedLines;

	RequestLog(Logger logger, MonotonicClock clock) {
		this.logger = logger;
		this.clock = clock;
		this.intervalStartNanos = clock.nanos();
	}

	void logSent(RelayExchange exchange, RelayAttempt attempt) {
		nextLine().addKeyValue("request", exchange.call().id())
			.addKeyValue("route", exchange.rule().name())
			.addKeyValue("team", exchange.team().orElse(""))
			.addKeyValue("try", exchange.attempts())
			.addKeyValue("upstream", attempt.upstreamIds())
			.addKeyValue("age_ms", exchange.age(this.clock.nanos()).toMillis())
			.addKeyValue("max_output", exchange.call().maxOutputTokens())
			.addKeyValue("expected_output", Math.round(attempt.tokens().output()))
			.addKeyValue("expected_ms", Math.round(attempt.expectedMillis().orElse(-1)))
			.addKeyValue("parts", exchange.call().sharedPromptParts())
			.log("request sent to upstream");
	}

	// Logs an attempt that ended without a complete response. Requests that had not begun
	// when their engine was lost are those that may have caused the loss.
	void logAttemptFailed(RelayAttempt attempt, String reason) {
		RelayExchange exchange = attempt.exchange();
		nextLine().addKeyValue("request", exchange.call().id())
			.addKeyValue("reason", reason)
			.addKeyValue("upstream", attempt.forwarding().upstream().id())
			.addKeyValue("sent", attempt.wasSent())
			.addKeyValue("begun", attempt.hasBegun())
			.addKeyValue("framing", framingText(attempt))
			.addKeyValue("last_event", exchange.lastEventId().orElse(-1))
			.addKeyValue("parts", exchange.call().sharedPromptParts())
			.log("attempt failed");
	}

	void logMove(RelayAttempt attempt, StreamMove move) {
		nextLine().addKeyValue("request", attempt.exchange().call().id())
			.addKeyValue("cause", move.cause())
			.addKeyValue("engine", move.culpritId().orElse(""))
			.addKeyValue("candidates", move.candidateIds())
			.addKeyValue("silence_ms", Duration.ofNanos(move.silenceNanos()).toMillis())
			.addKeyValue("pause_ms", millis(move.stream().pace().meanNanos()))
			.addKeyValue("threshold_ms", millis(move.thresholdNanos()))
			.addKeyValue("restart_ms", millis(move.restart().meanNanos()))
			.addKeyValue("limit_ms", move.stream().silenceLimit().toMillis())
			.log("moving silent stream");
	}

	void logContinued(RelayExchange exchange, Duration pause, Duration target) {
		nextLine().addKeyValue("request", exchange.call().id())
			.addKeyValue("pause_ms", pause.toMillis())
			.addKeyValue("target_ms", target.toMillis())
			.log("stream continued on another path");
	}

	private static long millis(double nanos) {
		return Duration.ofNanos((long) nanos).toMillis();
	}

	void logRejected(RelayExchange exchange, String upstreamId, String reason) {
		nextLine().addKeyValue("request", exchange.call().id())
			.addKeyValue("upstream", upstreamId)
			.addKeyValue("reason", reason)
			.log("upstream rejected request");
	}

	void logRetry(RelayExchange exchange, String reason) {
		nextLine().addKeyValue("request", exchange.call().id())
			.addKeyValue("reason", reason)
			.addKeyValue("runs", exchange.executions())
			.log("retrying request");
	}

	void logRetryDenied(RelayExchange exchange, String reason, String denial) {
		nextLine().addKeyValue("request", exchange.call().id())
			.addKeyValue("reason", reason)
			.addKeyValue("runs", exchange.executions())
			.addKeyValue("tries", exchange.attempts())
			.addKeyValue("why", denial)
			.log("request not retried");
	}

	// Tells with the framing and the last event whether an answer may have been whole.
	void logEnded(RelayExchange exchange, String outcome) {
		long firstDataNanos = exchange.firstDataNanos();
		RelayAttempt attempt = exchange.currentAttempt();
		nextLine().addKeyValue("request", exchange.call().id())
			.addKeyValue("tries", exchange.attempts())
			.addKeyValue("first_ms", (firstDataNanos != 0) ? exchange.age(firstDataNanos).toMillis() : -1)
			.addKeyValue("total_ms", exchange.age(this.clock.nanos()).toMillis())
			.addKeyValue("upstream", (attempt != null) ? attempt.forwarding().upstream().id() : "")
			.addKeyValue("framing", (attempt != null) ? framingText(attempt) : "")
			.addKeyValue("last_event", exchange.lastEventId().orElse(-1))
			.addKeyValue("events", exchange.sentEvents())
			.addKeyValue("outcome", outcome)
			.log("request ended");
	}

	private static String framingText(RelayAttempt attempt) {
		return attempt.framing().map((framing) -> framing.name().toLowerCase(Locale.ROOT)).orElse("");
	}

	private LoggingEventBuilder nextLine() {
		long nowNanos = this.clock.nanos();
		if (nowNanos - this.intervalStartNanos >= NANOS_PER_SECOND) {
			if (this.suppressedLines > 0) {
				this.logger.atWarn()
					.addKeyValue("lines", this.suppressedLines)
					.log("request log lines dropped by the rate limit");
			}
			this.intervalStartNanos = nowNanos;
			this.lineCount = 0;
			this.suppressedLines = 0;
		}
		if (this.lineCount >= MAX_LINES_PER_SECOND) {
			this.suppressedLines++;
			return NOPLoggingEventBuilder.singleton();
		}
		this.lineCount++;
		return this.logger.atInfo();
	}

}
