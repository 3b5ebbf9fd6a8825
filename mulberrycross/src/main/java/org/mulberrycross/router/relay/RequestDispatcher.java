package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.http.RelayClient;
import org.mulberrycross.http.RelayRequest;
import org.mulberrycross.sibling.Sibling;
import org.mulberrycross.sibling.http.RelayedRequests;

/**
 * Starts attempts: selects the upstream, or the sibling that passes the request on, and
 * sends the request. Confined to the control thread; not thread-safe.
 */
final class RequestDispatcher {

	/** Minimum time before the deadline for an attempt to be worth sending. */
	static final Duration MIN_REMAINING_TIME = Duration.ofMillis(30);

	private final String daemonName;

	private final MonotonicClock clock;

	private final MessageFormat messageFormat;

	private final RelayClient client;

	private final UpstreamSelector selector;

	private final SiblingFallback fallback;

	private final WaitingRequests waiting;

	private final UpstreamLimits limits;

	private final CrashTracker crashTracker;

	private final RequestLog requestLog;

	private final AttemptListener listener;

	private final ResponseBuffers responseBuffers = new ResponseBuffers();

	RequestDispatcher(String daemonName, MonotonicClock clock, MessageFormat messageFormat, RelayClient client,
			UpstreamSelector selector, SiblingFallback fallback, WaitingRequests waiting, UpstreamLimits limits,
			CrashTracker crashTracker, RequestLog requestLog, AttemptListener listener) {
		this.daemonName = Objects.requireNonNull(daemonName, "daemonName");
		this.clock = clock;
		this.messageFormat = messageFormat;
		this.client = client;
		this.selector = selector;
		this.fallback = fallback;
		this.waiting = waiting;
		this.limits = limits;
		this.crashTracker = crashTracker;
		this.requestLog = requestLog;
		this.listener = listener;
	}

	// Sends the request to the best upstream, or to a sibling if this daemon reaches
	// none. Returns false if no upstream is eligible or the deadline is too close; a
	// finished request counts as dispatched.
	boolean dispatch(RelayExchange exchange) {
		if (exchange.isFinished()) {
			return true;
		}
		long nowNanos = this.clock.nanos();
		if (dispatchToSibling(exchange)) {
			return true;
		}
		Duration remaining = exchange.remainingTime(nowNanos);
		if (remaining.compareTo(MIN_REMAINING_TIME) < 0) {
			return false;
		}
		Optional<Forwarding> forwarding = this.selector.select(exchange, remaining, nowNanos)
			.map((chosen) -> this.waiting.withRank(chosen, exchange));
		this.limits.recordDemand(exchange.rule(), nowNanos);
		if (forwarding.isEmpty()) {
			return false;
		}
		RelayAttempt attempt = startAttempt(exchange, forwarding.get());
		attempt.setCrashCounts(this.crashTracker.crashCounts(exchange));
		attempt.setExpectedMillis(this.selector.expectedMillis(attempt, nowNanos));
		this.selector.recordSent(attempt);
		attempt.setLimited(this.limits.recordSent(forwarding.get().upstream(), nowNanos));
		send(attempt, this.messageFormat.encodeRequest(exchange.request(), forwarding.get()));
		return true;
	}

	// Passes the request on to a sibling. Returns false if it is to be sent to an
	// upstream or no sibling serves it.
	boolean dispatchToSibling(RelayExchange exchange) {
		long nowNanos = this.clock.nanos();
		Duration remaining = exchange.remainingTime(nowNanos);
		if (exchange.isFinished() || remaining.compareTo(MIN_REMAINING_TIME) < 0) {
			return false;
		}
		Optional<Sibling> sibling = this.fallback.choose(exchange, nowNanos);
		if (sibling.isEmpty()) {
			return false;
		}
		OptionalLong lastEventId = exchange.isStream() ? exchange.lastEventId() : OptionalLong.empty();
		Forwarding forwarding = Forwarding.to(sibling.get(), exchange.rule().services().get(0).service(), remaining,
				lastEventId);
		RelayAttempt attempt = startAttempt(exchange, forwarding);
		// The sibling counts the load of the upstream.
		attempt.markPrefillDone();
		attempt.markReleased();
		send(attempt, RelayedRequests.encode(this.messageFormat.encodeForSibling(exchange.request(), forwarding),
				this.daemonName));
		return true;
	}

	private RelayAttempt startAttempt(RelayExchange exchange, Forwarding forwarding) {
		RelayAttempt attempt = new RelayAttempt(exchange, forwarding, this.messageFormat, this.listener,
				this.selector.requestTokens(exchange, forwarding.upstream().service()), this.responseBuffers);
		if (exchange.attempts() == 0) {
			this.waiting.recordStart(exchange);
		}
		exchange.startAttempt(attempt);
		exchange.addExecutions(1);
		return attempt;
	}

	private void send(RelayAttempt attempt, RelayRequest request) {
		this.requestLog.logSent(attempt.exchange(), attempt);
		attempt.attach(this.client.send(attempt.forwarding().upstream().address(), request, attempt));
	}

}
