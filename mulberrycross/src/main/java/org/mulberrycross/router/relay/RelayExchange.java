package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.mulberrycross.caller.ClientCall;
import org.mulberrycross.caller.RouteKind;
import org.mulberrycross.caller.RouteRule;
import org.mulberrycross.engine.EventStream;
import org.mulberrycross.http.MessageHead;
import org.mulberrycross.http.RelayRequest;
import org.mulberrycross.http.ResponseWriter;

/**
 * One request of a client until its answer has ended. The fields that decide what happens
 * next belong to the control thread; the response that is being written is guarded by the
 * object, so that of several attempts only the current one writes.
 */
final class RelayExchange {

	private final RelayRequest request;

	private final ClientCall call;

	private final ResponseWriter response;

	private final Freshness arrived;

	private final long arrivedNanos;

	private final EventStream events;

	private final Set<String> failedUpstreams = new HashSet<>();

	private final Set<String> suspectedUpstreams = new HashSet<>();

	private RouteRule rule;

	private Optional<String> team = Optional.empty();

	private int tries;

	private int runs;

	private boolean finished;

	private volatile RelayAttempt current;

	private boolean started;

	private boolean closed;

	private volatile long firstDataNanos;

	RelayExchange(RelayRequest request, ClientCall call, ResponseWriter response, Freshness arrived) {
		this.request = Objects.requireNonNull(request, "request");
		this.call = Objects.requireNonNull(call, "call");
		this.response = Objects.requireNonNull(response, "response");
		this.arrived = arrived;
		this.arrivedNanos = arrived.steadyNanos();
		this.events = new EventStream(call.lastEventId());
	}

	RelayRequest request() {
		return this.request;
	}

	ClientCall call() {
		return this.call;
	}

	ResponseWriter response() {
		return this.response;
	}

	Freshness arrived() {
		return this.arrived;
	}

	RouteRule rule() {
		return this.rule;
	}

	Optional<String> team() {
		return this.team;
	}

	void admit(RouteRule route, Optional<String> ofTeam) {
		this.rule = route;
		this.team = ofTeam;
	}

	boolean stream() {
		return this.rule.kind() == RouteKind.STREAM;
	}

	// Returns how long an answer is still of use, by the route and by the client.
	Duration remaining(long nowNanos) {
		Duration limit = this.rule.timeout();
		Duration patience = this.call.patience().orElse(limit);
		Duration total = (patience.compareTo(limit) < 0) ? patience : limit;
		return total.minusNanos(nowNanos - this.arrivedNanos);
	}

	Duration age(long nowNanos) {
		return Duration.ofNanos(nowNanos - this.arrivedNanos);
	}

	// Returns the upstreams that failed the request.
	Set<String> failedUpstreams() {
		return this.failedUpstreams;
	}

	// Returns the upstreams that took part in an attempt that failed, of which one may be
	// the cause.
	Set<String> suspectedUpstreams() {
		return this.suspectedUpstreams;
	}

	int tries() {
		return this.tries;
	}

	int runs() {
		return this.runs;
	}

	// Counts a run that may have begun, or takes back one that did not.
	void countRun(int change) {
		this.runs += change;
	}

	boolean finished() {
		return this.finished;
	}

	void finish() {
		this.finished = true;
	}

	// Makes an attempt the only one that may write the response.
	synchronized void begin(RelayAttempt attempt) {
		this.tries++;
		this.current = attempt;
		this.events.dropPartialEvent();
	}

	RelayAttempt current() {
		return this.current;
	}

	synchronized OptionalLong lastEventId() {
		return this.events.lastId();
	}

	// Returns whether a part of the answer went to the client.
	synchronized boolean started() {
		return this.started;
	}

	// Returns when the first part of the answer went to the client, 0 before.
	long firstDataNanos() {
		return this.firstDataNanos;
	}

	// Passes on the whole events of a part of a stream. Returns whether the stream is
	// still in order.
	synchronized boolean forwardEvents(RelayAttempt attempt, MessageHead head, byte[] part) {
		if (!writes(attempt)) {
			return true;
		}
		byte[] whole = this.events.accept(part);
		if (whole.length > 0) {
			start(new MessageHead(head.status(), head.headers(), OptionalLong.empty()));
			this.response.write(whole);
		}
		return !this.events.sequenceBroken();
	}

	// Ends a stream if it ended with a whole event. @return whether it did
	synchronized boolean endEvents(RelayAttempt attempt, MessageHead head) {
		if (!writes(attempt)) {
			return true;
		}
		if (this.events.remainder().length > 0) {
			return false;
		}
		start(new MessageHead(head.status(), head.headers(), OptionalLong.empty()));
		this.response.end();
		return true;
	}

	// Sends a whole answer.
	synchronized void answer(RelayAttempt attempt, MessageHead head, byte[] body) {
		if (writes(attempt) && !this.started) {
			start(new MessageHead(head.status(), head.headers(), OptionalLong.of(body.length)));
			this.response.write(body);
			this.response.end();
		}
	}

	// Ends the answer: with an own one if no part of it was sent, or else by breaking it
	// off. No attempt writes after it. @return whether the own answer was sent
	synchronized boolean end(OwnAnswer answer) {
		this.closed = true;
		if (this.started) {
			this.response.abort();
			return false;
		}
		answer.send(this.response);
		return true;
	}

	private boolean writes(RelayAttempt attempt) {
		return this.current == attempt && !this.closed;
	}

	private void start(MessageHead head) {
		if (!this.started) {
			this.started = true;
			this.firstDataNanos = System.nanoTime();
			this.response.start(new MessageHead(head.status(), head.headers().forwarded(), head.length()));
		}
	}

}
