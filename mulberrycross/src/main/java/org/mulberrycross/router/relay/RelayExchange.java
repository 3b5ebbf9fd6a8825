package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import org.mulberrycross.caller.ClientCall;
import org.mulberrycross.caller.RouteKind;
import org.mulberrycross.caller.RouteRule;
import org.mulberrycross.engine.EventStream;
import org.mulberrycross.http.RelayRequest;
import org.mulberrycross.http.ResponseHead;
import org.mulberrycross.http.ResponseWriter;

/**
 * State of one client request until its response has ended. The fields for routing and
 * retries are confined to the control thread. Writing the response is guarded by this
 * object's monitor, so that only the current one of several attempts writes.
 */
final class RelayExchange {

	private final RelayRequest request;

	private final ClientCall call;

	private final ResponseWriter response;

	private final ClockReading arrivedAt;

	/** Whether a sibling has passed the request on to this daemon. */
	private final boolean relayed;

	private final long arrivalNanos;

	private final EventStream eventStream;

	private final Set<String> failedUpstreams = new HashSet<>();

	private final Set<String> suspectedUpstreams = new HashSet<>();

	private String fingerprint;

	private RouteRule rule;

	private Optional<String> team = Optional.empty();

	private int priority;

	private boolean returning;

	private long sentNanos;

	private int attempts;

	private int executions;

	private int engineLosses;

	private long firstEngineLossNanos;

	private boolean crashTrial;

	private boolean finished;

	private volatile RelayAttempt currentAttempt;

	/** The status sent to the client, empty before the response has started. */
	private OptionalInt startedStatus = OptionalInt.empty();

	private boolean responseClosed;

	private volatile long firstDataNanos;

	RelayExchange(RelayRequest request, ClientCall call, ResponseWriter response, ClockReading arrivedAt) {
		this(request, call, response, arrivedAt, false);
	}

	RelayExchange(RelayRequest request, ClientCall call, ResponseWriter response, ClockReading arrivedAt,
			boolean relayed) {
		this.request = Objects.requireNonNull(request, "request");
		this.call = Objects.requireNonNull(call, "call");
		this.response = Objects.requireNonNull(response, "response");
		this.arrivedAt = arrivedAt;
		this.relayed = relayed;
		this.arrivalNanos = arrivedAt.monotonicNanos();
		this.eventStream = new EventStream(call.lastEventId());
	}

	RelayRequest request() {
		return this.request;
	}

	// Returns what a repetition of this request by its client has in common with it,
	// whatever its id: a digest of method, host, target and body. Computed at the first
	// call.
	String fingerprint() {
		if (this.fingerprint == null) {
			this.fingerprint = RequestFingerprint.of(this.call.host(), this.request);
		}
		return this.fingerprint;
	}

	ClientCall call() {
		return this.call;
	}

	ResponseWriter response() {
		return this.response;
	}

	ClockReading arrivedAt() {
		return this.arrivedAt;
	}

	// Returns whether a sibling has passed the request on to this daemon.
	boolean isRelayed() {
		return this.relayed;
	}

	// Returns how many upstreams may execute the request. A sibling that passes a request
	// on counts the executions of its route, and grants one.
	int maxExecutions() {
		return this.relayed ? 1 : this.rule.maxExecutions();
	}

	RouteRule rule() {
		return this.rule;
	}

	Optional<String> team() {
		return this.team;
	}

	// Returns the rank of the request, 0 for the most urgent.
	int priority() {
		return this.priority;
	}

	// Returns whether the client has sent this request before.
	boolean isReturning() {
		return this.returning;
	}

	void setReturning(boolean isReturning) {
		this.returning = isReturning;
	}

	// Returns when the request was first sent to an upstream, undefined before it.
	long sentNanos() {
		return this.sentNanos;
	}

	void setSentNanos(long nowNanos) {
		this.sentNanos = nowNanos;
	}

	boolean arrivedEarlier(RelayExchange other) {
		return this.arrivalNanos - other.arrivalNanos < 0;
	}

	void admit(RouteRule matchedRule, Optional<String> requestTeam) {
		admit(matchedRule, requestTeam, matchedRule.priority());
	}

	void admit(RouteRule matchedRule, Optional<String> requestTeam, int requestPriority) {
		this.rule = matchedRule;
		this.team = requestTeam;
		this.priority = requestPriority;
	}

	boolean isStream() {
		return this.rule.kind() == RouteKind.STREAM;
	}

	// Returns the time until the deadline, which is the earlier one of the route's and
	// the client's timeout. Negative after the deadline.
	Duration remainingTime(long nowNanos) {
		Duration routeTimeout = this.rule.timeout();
		Duration clientTimeout = this.call.timeout().orElse(routeTimeout);
		Duration timeout = (clientTimeout.compareTo(routeTimeout) < 0) ? clientTimeout : routeTimeout;
		return timeout.minusNanos(nowNanos - this.arrivalNanos);
	}

	Duration age(long nowNanos) {
		return Duration.ofNanos(nowNanos - this.arrivalNanos);
	}

	// Returns the ids of the upstreams that failed this request.
	Set<String> failedUpstreams() {
		return this.failedUpstreams;
	}

	// Returns the ids of all upstreams of failed attempts, any of which may be the cause.
	Set<String> suspectedUpstreams() {
		return this.suspectedUpstreams;
	}

	int attempts() {
		return this.attempts;
	}

	// Returns the number of attempts that an upstream may have executed.
	int executions() {
		return this.executions;
	}

	// Adds 1 for an attempt that may be executed, -1 if it turned out not to have been.
	void addExecutions(int change) {
		this.executions += change;
	}

	// Returns how many engines were lost before they began to answer this request.
	int engineLosses() {
		return this.engineLosses;
	}

	// Returns the time of the first loss, undefined before it.
	long firstEngineLossNanos() {
		return this.firstEngineLossNanos;
	}

	void recordEngineLoss(long nowNanos) {
		if (this.engineLosses == 0) {
			this.firstEngineLossNanos = nowNanos;
		}
		this.engineLosses++;
	}

	// Returns whether this request tries out whether its prompt still crashes engines.
	boolean isCrashTrial() {
		return this.crashTrial;
	}

	void markCrashTrial() {
		this.crashTrial = true;
	}

	boolean isFinished() {
		return this.finished;
	}

	void markFinished() {
		this.finished = true;
	}

	// Makes an attempt the current one, the only one that may write the response.
	synchronized void startAttempt(RelayAttempt attempt) {
		this.attempts++;
		this.currentAttempt = attempt;
		this.eventStream.dropPartialEvent();
	}

	RelayAttempt currentAttempt() {
		return this.currentAttempt;
	}

	synchronized OptionalLong lastEventId() {
		return this.eventStream.lastId();
	}

	// Returns the number of events with an id that were sent to the client.
	synchronized long sentEvents() {
		return this.eventStream.numberedEvents();
	}

	// Returns whether a part of the response was sent to the client.
	synchronized boolean isResponseStarted() {
		return this.startedStatus.isPresent();
	}

	// Returns whether another attempt may go on with the response: the client has nothing
	// yet, or events of a stream, after which it can be resumed since each has an id.
	synchronized boolean isResumable() {
		return !isResponseStarted() || isStream();
	}

	// Returns whether an answer with this head may be, or go on with, the response to the
	// client. Another kind of success than that of the first answer carries no events.
	synchronized boolean mayContinueWith(ResponseHead head) {
		return !isResponseStarted() || this.startedStatus.getAsInt() == head.status();
	}

	// Returns when the first part of the response was sent to the client, 0 if none was.
	long firstDataNanos() {
		return this.firstDataNanos;
	}

	// Forwards the events that are complete with this part, unless the attempt may not
	// write.
	synchronized ForwardingResult forwardEvents(RelayAttempt attempt, ResponseHead head, byte[] part) {
		if (!mayWrite(attempt)) {
			return ForwardingResult.NO_PROGRESS;
		}
		OptionalLong previousId = this.eventStream.lastId();
		byte[] completeEvents = this.eventStream.extractEvents(part);
		if (completeEvents.length > 0) {
			startResponse(new ResponseHead(head.status(), head.headers(), OptionalLong.empty()));
			this.response.write(completeEvents);
		}
		if (this.eventStream.hasSequenceGap()) {
			return ForwardingResult.SEQUENCE_GAP;
		}
		if (this.eventStream.hasInvalidEvent()) {
			return ForwardingResult.INVALID_EVENT;
		}
		if (this.eventStream.isEventOversized()) {
			return ForwardingResult.OVERSIZED_EVENT;
		}
		return this.eventStream.lastId().equals(previousId) ? ForwardingResult.NO_PROGRESS : ForwardingResult.PROGRESS;
	}

	// Returns the size of what waits for the end of an event, 0 if the attempt may not
	// write.
	synchronized int bufferedBytes(RelayAttempt attempt) {
		return mayWrite(attempt) ? this.eventStream.bufferedBytes() : 0;
	}

	// Releases the memory of an incomplete event that will not be completed.
	synchronized void dropPartialEvent(RelayAttempt attempt) {
		if (this.currentAttempt == attempt) {
			this.eventStream.dropPartialEvent();
		}
	}

	// Ends the response if the stream ended with a complete event, and returns whether it
	// did. Returns true without ending it if the attempt may not write.
	synchronized boolean endStream(RelayAttempt attempt, ResponseHead head) {
		if (!mayWrite(attempt)) {
			return true;
		}
		if (this.eventStream.partialEventBytes() > 0) {
			return false;
		}
		startResponse(new ResponseHead(head.status(), head.headers(), OptionalLong.empty()));
		byte[] trailingText = this.eventStream.takeTrailingText();
		if (trailingText.length > 0) {
			this.response.write(trailingText);
		}
		this.response.end();
		return true;
	}

	// Sends a complete response, unless the attempt may not write or one has started.
	synchronized void sendResponse(RelayAttempt attempt, ResponseHead head, byte[] body) {
		if (mayWrite(attempt) && !isResponseStarted()) {
			startResponse(new ResponseHead(head.status(), head.headers(), OptionalLong.of(body.length)));
			this.response.write(body);
			this.response.end();
		}
	}

	// Sends a local response, or aborts if a part of the response was sent already. No
	// attempt may write afterwards. Returns whether the local response was sent.
	synchronized boolean endWith(LocalResponse localResponse) {
		this.responseClosed = true;
		if (isResponseStarted()) {
			this.response.abort();
			return false;
		}
		localResponse.sendTo(this.response);
		return true;
	}

	private boolean mayWrite(RelayAttempt attempt) {
		return this.currentAttempt == attempt && !this.responseClosed;
	}

	private void startResponse(ResponseHead head) {
		if (!isResponseStarted()) {
			this.startedStatus = OptionalInt.of(head.status());
			this.firstDataNanos = System.nanoTime();
			this.response
				.setHead(new ResponseHead(head.status(), head.headers().withoutHopByHop(), head.contentLength()));
		}
	}

	/** What a part of a stream has brought. */
	enum ForwardingResult {

		/** At least one new event. */
		PROGRESS,

		/** No new event, or the attempt may not write. */
		NO_PROGRESS,

		/** An event is missing. */
		SEQUENCE_GAP,

		/** Something that is not an event. */
		INVALID_EVENT,

		/** An incomplete event exceeds the limit. */
		OVERSIZED_EVENT

	}

}
