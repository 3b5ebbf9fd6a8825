package org.mulberrycross.http;

import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.util.HttpStatus;
import org.glassfish.grizzly.memory.Buffers;

/**
 * Writes the response to one request to its connection. Thread-safe; all state is guarded
 * by the state of the connection.
 */
final class RelayServerResponse implements ResponseWriter {

	private static final byte[] NO_BODY = {};

	private static final Runnable NO_ACTION = () -> {
	};

	private final RelayServerConnection owner;

	private final Connection<?> connection;

	private final HttpRequestPacket request;

	private final HttpResponsePacket packet;

	/**
	 * Copy of the context in which the request was read; notifies the HTTP codec when the
	 * response is complete.
	 */
	private final FilterChainContext context;

	private Runnable disconnectAction = NO_ACTION;

	private boolean clientDisconnected;

	private boolean ended;

	/** Whether the head tells the client that the connection closes. */
	private boolean announcesClose;

	RelayServerResponse(RelayServerConnection owner, Connection<?> connection, HttpRequestPacket request,
			FilterChainContext context) {
		this.owner = owner;
		this.connection = connection;
		this.request = request;
		this.context = context;
		this.packet = request.getResponse();
	}

	HttpRequestPacket request() {
		return this.request;
	}

	@Override
	public void setHead(ResponseHead head) {
		synchronized (this.owner) {
			if (this.clientDisconnected || this.ended) {
				return;
			}
			this.packet.setStatus(HttpStatus.getHttpStatus(head.status()));
			head.headers().fields().forEach((field) -> this.packet.addHeader(field.name(), field.value()));
			if (head.contentLength().isPresent()) {
				this.packet.setContentLengthLong(head.contentLength().getAsLong());
			}
			else {
				this.packet.setChunked(true);
			}
			if (this.owner.mustAnnounceClose()) {
				this.announcesClose = true;
				this.packet.setHeader("Connection", "close");
			}
		}
	}

	@Override
	public void write(byte[] part) {
		synchronized (this.owner) {
			if (!this.clientDisconnected && !this.ended) {
				send(part, false);
			}
		}
	}

	@Override
	public void end() {
		Runnable nextAction;
		synchronized (this.owner) {
			if (this.clientDisconnected || this.ended) {
				return;
			}
			this.ended = true;
			send(NO_BODY, true);
			nextAction = this.owner.endResponse(this);
		}
		nextAction.run();
	}

	private void send(byte[] part, boolean last) {
		HttpContent.Builder<?> content = HttpContent.builder(this.packet).last(last);
		if (part.length > 0) {
			content.content(Buffers.wrap(null, part));
		}
		this.connection.write(content.build());
	}

	// Returns whether another response may follow on the connection: neither side has
	// announced to close it. A response that started before a shutdown announced nothing.
	boolean isKeepAlive() {
		return !this.announcesClose && this.request.getProcessingState().isKeepAlive();
	}

	void flush(CompletionHandler<Object> onSent) {
		this.context.flush(onSent);
	}

	// Tells the HTTP codec that the next response may be written.
	void notifyComplete() {
		this.context.notifyDownstream(HttpServerFilter.RESPONSE_COMPLETE_EVENT);
	}

	@Override
	public void abort() {
		synchronized (this.owner) {
			if (this.clientDisconnected || this.ended) {
				return;
			}
			this.ended = true;
			this.owner.abortResponse();
		}
		this.connection.terminateSilently();
	}

	@Override
	public void onDisconnect(Runnable action) {
		synchronized (this.owner) {
			if (!this.clientDisconnected) {
				this.disconnectAction = action;
				return;
			}
		}
		action.run();
	}

	// Returns the disconnect action, which must be run without holding the lock.
	Runnable markDisconnected() {
		this.clientDisconnected = true;
		return this.disconnectAction;
	}

}
