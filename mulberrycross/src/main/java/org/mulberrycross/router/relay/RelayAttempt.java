package org.mulberrycross.router.relay;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Objects;

import org.mulberrycross.engine.EnginePath;
import org.mulberrycross.engine.RequestTokens;
import org.mulberrycross.http.MessageHead;
import org.mulberrycross.http.RelayCall;
import org.mulberrycross.http.ResponseListener;

/**
 * One sending of a request to an upstream. Moves the bytes of the answer on a selector
 * thread and reports what happens to the control thread.
 */
final class RelayAttempt implements ResponseListener {

	private final RelayExchange exchange;

	private final Forwarding forwarding;

	private final MessageFormat format;

	private final RelayEvents events;

	private final RequestTokens tokens;

	private final long begunNanos = System.nanoTime();

	private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);

	private volatile long sentNanos;

	private volatile long lastDataNanos;

	private volatile RelayCall call;

	private MessageHead head;

	private UpstreamAnswer answer;

	private boolean broken;

	private boolean promptRead;

	private boolean released;

	RelayAttempt(RelayExchange exchange, Forwarding forwarding, MessageFormat format, RelayEvents events,
			RequestTokens tokens) {
		this.exchange = Objects.requireNonNull(exchange, "exchange");
		this.forwarding = Objects.requireNonNull(forwarding, "forwarding");
		this.format = format;
		this.events = events;
		this.tokens = tokens;
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

	// Returns the ids of the upstreams that take part.
	List<String> upstreams() {
		return this.forwarding.path()
			.map(EnginePath::stages)
			.map((stages) -> stages.stream().map((stage) -> stage.engine().id()).toList())
			.orElse(List.of(this.forwarding.upstream().id()));
	}

	// Returns true once, when the load that the attempt stands for is taken away.
	boolean release() {
		boolean first = !this.released;
		this.released = true;
		return first;
	}

	// Returns true once, when the prompt counts as read.
	boolean readPrompt() {
		boolean first = !this.promptRead;
		this.promptRead = true;
		return first;
	}

	void attach(RelayCall started) {
		this.call = started;
	}

	void cancel() {
		RelayCall started = this.call;
		if (started != null) {
			started.cancel();
		}
	}

	long begunNanos() {
		return this.begunNanos;
	}

	// Returns whether the request may have reached the upstream.
	boolean wasSent() {
		return this.sentNanos != 0;
	}

	// Returns when the last sign of life came: the sending, the head or a part.
	long lastSignNanos() {
		return Math.max(this.sentNanos, this.lastDataNanos);
	}

	boolean dataSeen() {
		return this.lastDataNanos != 0;
	}

	@Override
	public void sent() {
		this.sentNanos = System.nanoTime();
	}

	@Override
	public void head(MessageHead received) {
		this.head = received;
		this.answer = this.format.answer(received);
		boolean own = this.answer.requestId().map((id) -> id.equals(this.exchange.call().id())).orElse(true);
		if (!own || this.answer.encoded() || (received.isSuccess() && !this.answer.signed())) {
			breakOff("answer is not that of the upstream to this request");
		}
	}

	@Override
	public void data(byte[] part) {
		if (this.broken) {
			return;
		}
		boolean first = this.lastDataNanos == 0;
		this.lastDataNanos = System.nanoTime();
		if (first) {
			this.events.answering(this);
		}
		if (!this.head.isSuccess() || !this.exchange.stream()) {
			this.body.writeBytes(part);
			return;
		}
		if (!this.exchange.forwardEvents(this, this.head, part)) {
			breakOff("an event of the stream is missing");
		}
	}

	@Override
	public void end() {
		if (this.broken) {
			return;
		}
		if (!this.head.isSuccess()) {
			this.events.failureAnswered(this, this.head, this.answer, this.body.toByteArray());
			return;
		}
		if (!this.exchange.stream()) {
			this.exchange.answer(this, this.head, this.body.toByteArray());
			this.events.completed(this);
			return;
		}
		if (this.exchange.endEvents(this, this.head)) {
			this.events.completed(this);
			return;
		}
		breakOff("stream ends inside an event");
	}

	@Override
	public void failed(String reason) {
		if (!this.broken) {
			this.broken = true;
			this.events.broken(this, reason);
		}
	}

	private void breakOff(String reason) {
		this.broken = true;
		cancel();
		this.events.broken(this, reason);
	}

}
