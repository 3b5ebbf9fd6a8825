package org.mulberrycross.router.relay;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;

import org.mulberrycross.engine.EnginePath;
import org.mulberrycross.engine.EventStream;
import org.mulberrycross.engine.RequestTokens;
import org.mulberrycross.engine.StreamPace;
import org.mulberrycross.http.BodyFraming;
import org.mulberrycross.http.RelayCall;
import org.mulberrycross.http.ResponseHead;
import org.mulberrycross.http.ResponseListener;
import org.mulberrycross.sibling.Sibling;

/**
 * One attempt to send a request to an upstream. Receives the response on a selector
 * thread, forwards its bytes to the client, and reports events to the listener.
 */
final class RelayAttempt implements ResponseListener {

	/**
	 * Maximum number of bytes of a stream without a new event, which are kept in memory.
	 * An upstream in trouble may send comments without end; sound ones send some bytes
	 * now and then.
	 */
	static final int MAX_BYTES_WITHOUT_EVENT = EventStream.MAX_EVENT_BYTES;

	private final RelayExchange exchange;

	private final Forwarding forwarding;

	private final MessageFormat messageFormat;

	private final AttemptListener listener;

	private final RequestTokens tokens;

	private RequestTokens heldTokens;

	private final long eventsBefore;

	private final long startedNanos = System.nanoTime();

	private final ResponseBuffers.ResponseBuffer body;

	private volatile long sentNanos;

	private volatile long lastDataNanos;

	private volatile StreamPace pace = StreamPace.initial();

	private volatile RelayCall call;

	private volatile ResponseHead head;

	private UpstreamResponseHead upstreamHead;

	private int bytesWithoutEvent;

	private boolean closed;

	private boolean prefillDone;

	private boolean released;

	private Map<String, Integer> crashCounts = Map.of();

	private OptionalDouble expectedMillis = OptionalDouble.empty();

	private volatile boolean begun;

	/** Whether the upstream had a limit on requests when this attempt was sent. */
	private boolean limited;

	RelayAttempt(RelayExchange exchange, Forwarding forwarding, MessageFormat messageFormat, AttemptListener listener,
			RequestTokens tokens, ResponseBuffers buffers) {
		this.exchange = Objects.requireNonNull(exchange, "exchange");
		this.forwarding = Objects.requireNonNull(forwarding, "forwarding");
		this.messageFormat = messageFormat;
		this.listener = listener;
		this.tokens = tokens;
		this.heldTokens = tokens;
		this.eventsBefore = exchange.sentEvents();
		this.body = buffers.open();
	}

	RelayExchange exchange() {
		return this.exchange;
	}

	Forwarding forwarding() {
		return this.forwarding;
	}

	RequestTokens tokens() {
		return this.tokens;
	}

	// Returns the tokens by which the attempt counts in the load of its upstreams.
	RequestTokens heldTokens() {
		return this.heldTokens;
	}

	// Replaces the tokens held, once the output is longer than expected.
	void setHeldTokens(RequestTokens revised) {
		this.heldTokens = revised;
	}

	// Returns how many events earlier attempts had sent to the client.
	long eventsBefore() {
		return this.eventsBefore;
	}

	// Returns the ids of all upstreams that take part: the engines of the path, or the
	// single instance.
	List<String> upstreamIds() {
		return this.forwarding.path()
			.map(EnginePath::stages)
			.map((stages) -> stages.stream().map((stage) -> stage.engine().id()).toList())
			.orElse(List.of(this.forwarding.upstream().id()));
	}

	// Returns the sibling that the request was passed on to, empty if it was sent to an
	// upstream.
	Optional<Sibling> sibling() {
		return this.forwarding.sibling();
	}

	// Returns true on the first call only, so that the attempt's load is released once.
	boolean markReleased() {
		boolean first = !this.released;
		this.released = true;
		return first;
	}

	boolean isReleased() {
		return this.released;
	}

	// Returns true on the first call only, so that the prefill is counted once.
	boolean markPrefillDone() {
		boolean first = !this.prefillDone;
		this.prefillDone = true;
		return first;
	}

	// Returns how many engines had been lost with each part of the prompt when this
	// attempt was started.
	Map<String, Integer> crashCounts() {
		return this.crashCounts;
	}

	void setCrashCounts(Map<String, Integer> counts) {
		this.crashCounts = counts;
	}

	// Returns how long this attempt was expected to take, empty if unknown.
	OptionalDouble expectedMillis() {
		return this.expectedMillis;
	}

	void setExpectedMillis(OptionalDouble millis) {
		this.expectedMillis = millis;
	}

	// Called before the request is sent.
	void setLimited(boolean isLimited) {
		this.limited = isLimited;
	}

	void attach(RelayCall startedCall) {
		this.call = startedCall;
	}

	// Returns how the response marks its end, empty before its head has been received.
	Optional<BodyFraming> framing() {
		return Optional.ofNullable(this.head).map(ResponseHead::framing);
	}

	void cancel() {
		this.body.close();
		RelayCall startedCall = this.call;
		if (startedCall != null) {
			startedCall.cancel();
		}
	}

	long startedNanos() {
		return this.startedNanos;
	}

	// Returns whether the request may have reached the upstream.
	boolean wasSent() {
		return this.sentNanos != 0;
	}

	// Returns when the request was sent or the response last made progress, 0 before.
	long lastActivityNanos() {
		return Math.max(this.sentNanos, this.lastDataNanos);
	}

	// Returns the usual pauses between events, without that since the last event.
	StreamPace pace() {
		return this.pace;
	}

	boolean hasReceivedData() {
		return this.lastDataNanos != 0;
	}

	// Returns whether the upstream has sent an event of a stream or a complete answer.
	boolean hasBegun() {
		return this.begun;
	}

	@Override
	public void onRequestStarted() {
		this.sentNanos = System.nanoTime();
		this.listener.onConnected(this);
	}

	@Override
	public void onHead(ResponseHead received) {
		this.head = received;
		this.upstreamHead = this.messageFormat.decodeResponseHead(received);
		boolean requestIdMatches = this.upstreamHead.requestId()
			.map((id) -> id.equals(this.exchange.call().id()))
			.orElse(true);
		// What an engine says of itself is for the daemon that sends requests to it.
		if (sibling().isEmpty() && (this.upstreamHead.leaving() || this.upstreamHead.rest().isPresent()
				|| (requestIdMatches && isLimitNews(this.upstreamHead)))) {
			this.listener.onNotice(this, this.upstreamHead, System.nanoTime());
		}
		if (!requestIdMatches || this.upstreamHead.compressed()
				|| (received.isSuccess() && !this.upstreamHead.signed())) {
			abort("answer is not that of the upstream to this request");
			return;
		}
		if (received.isSuccess() && !this.exchange.mayContinueWith(received)) {
			abort("resumed answer has status " + received.status());
		}
	}

	private boolean isLimitNews(UpstreamResponseHead received) {
		return received.limit().isPresent() || (this.limited && received.unlimited());
	}

	@Override
	public void onData(byte[] part) {
		if (this.closed) {
			return;
		}
		if (!this.head.isSuccess() || !this.exchange.isStream()) {
			recordProgress();
			if (!this.body.append(part)) {
				abort("response body is too long");
			}
			return;
		}
		RelayExchange.ForwardingResult result = this.exchange.forwardEvents(this, this.head, part);
		if (!this.body.holdPartialEvent(this.exchange.bufferedBytes(this))) {
			abort("incomplete events of all streams take too much memory");
			return;
		}
		switch (result) {
			case PROGRESS -> {
				this.begun = true;
				this.bytesWithoutEvent = 0;
				recordProgress();
			}
			case NO_PROGRESS -> countWithoutEvent(part.length);
			case SEQUENCE_GAP -> abort("an event of the stream is missing");
			case INVALID_EVENT -> abort("the stream contains something that is not an event");
			case OVERSIZED_EVENT -> abort("an event of the stream is too long");
		}
	}

	// Bytes without a new event, such as a comment, do not keep a stalled stream alive.
	private void countWithoutEvent(int bytes) {
		this.bytesWithoutEvent += bytes;
		if (this.bytesWithoutEvent > MAX_BYTES_WITHOUT_EVENT) {
			abort("the stream sends bytes without an event");
		}
	}

	private void recordProgress() {
		long previousNanos = this.lastDataNanos;
		long nowNanos = System.nanoTime();
		this.lastDataNanos = nowNanos;
		if (previousNanos == 0) {
			this.listener.onFirstData(this);
			return;
		}
		this.pace = this.pace.withPause(nowNanos - previousNanos);
	}

	@Override
	public void onComplete() {
		if (this.closed) {
			return;
		}
		if (this.head.isSuccess() && this.exchange.isStream()) {
			completeStream();
			return;
		}
		// The body is empty if another thread has cancelled this attempt meanwhile.
		this.body.take().ifPresent(this::completeWithBody);
	}

	private void completeStream() {
		// An upstream that breaks off right after its head closes its connection as well.
		if (!this.begun && this.head.framing() == BodyFraming.CLOSE) {
			abort("stream was closed without a new event");
			return;
		}
		if (this.exchange.endStream(this, this.head)) {
			this.listener.onCompleted(this);
			return;
		}
		abort("stream ends inside an event");
	}

	private void completeWithBody(byte[] completeBody) {
		if (!this.head.isSuccess()) {
			this.listener.onErrorResponse(this, this.head, this.upstreamHead, completeBody);
			return;
		}
		this.begun = true;
		this.exchange.sendResponse(this, this.head, completeBody);
		this.listener.onCompleted(this);
	}

	@Override
	public void onFailure(String reason) {
		if (!this.closed) {
			this.closed = true;
			this.body.close();
			this.listener.onAttemptFailed(this, reason);
		}
	}

	private void abort(String reason) {
		this.closed = true;
		cancel();
		this.exchange.dropPartialEvent(this);
		this.listener.onAttemptFailed(this, reason);
	}

}
