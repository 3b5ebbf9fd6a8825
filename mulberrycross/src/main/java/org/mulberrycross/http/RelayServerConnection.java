package org.mulberrycross.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.util.HttpStatus;
import org.glassfish.grizzly.memory.Buffers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * State of one client connection: the request being read and the response being written.
 * Thread-safe; all state is guarded by this object.
 */
final class RelayServerConnection {

	private static final Logger logger = LoggerFactory.getLogger(RelayServerConnection.class);

	private static final byte[] NO_BODY = {};

	private final Connection<?> connection;

	private final RelayHandler handler;

	/** Size of a request body at which the connection is closed. */
	private final int maxBodyBytes;

	/** Whether connections are to be closed after their current response. */
	private final BooleanSupplier draining;

	private ByteArrayOutputStream requestBody = new ByteArrayOutputStream(0);

	/** Response in progress, or null if the last request has been answered. */
	private Response currentResponse;

	/**
	 * Request that arrived while the last response was not marked as ended. A client may
	 * send it as soon as it has the last byte of the response.
	 */
	private Optional<NextRequest> nextRequest = Optional.empty();

	/** Whether no request can be read any more, since the last one was broken. */
	private boolean broken;

	/**
	 * Sends 100 Continue for the request being read, once the response under way has
	 * ended.
	 */
	private Optional<Runnable> pendingContinue = Optional.empty();

	/** Whether the first bytes of the next request have arrived. */
	private boolean requestStarted;

	/** The {@link System#nanoTime()} at which the request or idle timeout started. */
	private long timeoutStartNanos = System.nanoTime();

	RelayServerConnection(Connection<?> connection, RelayHandler handler, int maxBodyBytes, BooleanSupplier draining) {
		this.connection = connection;
		this.handler = handler;
		this.maxBodyBytes = maxBodyBytes;
		this.draining = draining;
	}

	synchronized void markRequestStarted() {
		if (!this.requestStarted) {
			this.requestStarted = true;
			this.timeoutStartNanos = System.nanoTime();
		}
	}

	void handleContent(FilterChainContext context, HttpContent content) throws IOException {
		// Grizzly marks a broken body as the last part of its request.
		if (HttpContent.isBroken(content)) {
			return;
		}
		HttpRequestPacket packet = (HttpRequestPacket) content.getHttpHeader();
		sendContinueIfExpected(context, packet);
		RelayRequest request;
		Response response;
		synchronized (this) {
			if (content.getContent() != null && content.getContent().hasRemaining()) {
				if (content.getContent().remaining() > this.maxBodyBytes - this.requestBody.size()) {
					this.connection.closeSilently();
					return;
				}
				byte[] data = new byte[content.getContent().remaining()];
				content.getContent().get(data);
				this.requestBody.writeBytes(data);
			}
			if (!content.isLast()) {
				return;
			}
			byte[] completeBody = (this.requestBody.size() > 0) ? this.requestBody.toByteArray() : NO_BODY;
			this.requestBody = new ByteArrayOutputStream(0);
			this.requestStarted = false;
			this.pendingContinue = Optional.empty();
			request = new RelayRequest(packet.getMethod().getMethodString(), requestTarget(packet),
					Headers.copyOf(packet.getHeaders()), completeBody);
			response = new Response(packet, context.copy());
			if (this.currentResponse != null) {
				queueOrClose(new NextRequest(request, response));
				return;
			}
			this.currentResponse = response;
		}
		if (!this.connection.isOpen()) {
			logEvent("request taken on a closed connection", response);
		}
		this.handler.handle(request, response);
	}

	// Such events end a request without an answer, and tell why its connection closed.
	private void logEvent(String message, Response affected) {
		logger.atWarn()
			.addKeyValue("client", this.connection.getPeerAddress())
			.addKeyValue("target", requestTarget(affected.request))
			.addKeyValue("draining", this.draining.getAsBoolean())
			.log(message);
	}

	// Keeps one request until the response in progress has ended. More than one is
	// pipelining, which is not supported.
	private void queueOrClose(NextRequest queued) {
		if (this.nextRequest.isPresent()) {
			this.connection.closeSilently();
			return;
		}
		this.nextRequest = Optional.of(queued);
	}

	// Returns the queued request, whose response becomes the one in progress.
	private Optional<NextRequest> takeNextRequest() {
		Optional<NextRequest> next = this.nextRequest;
		this.nextRequest = Optional.empty();
		next.ifPresent((present) -> this.currentResponse = present.response());
		return next;
	}

	/**
	 * Closes the connection once the response under way has ended.
	 * @return false if no response is under way
	 */
	synchronized boolean closeAfterResponse() {
		this.broken = true;
		return this.currentResponse != null;
	}

	private void sendContinueIfExpected(FilterChainContext context, HttpRequestPacket packet) {
		if (!packet.requiresAcknowledgement()) {
			return;
		}
		synchronized (this) {
			if (this.currentResponse != null) {
				FilterChainContext laterContext = context.copy();
				this.pendingContinue = Optional.of(() -> sendContinue(laterContext, packet));
				return;
			}
		}
		sendContinue(context, packet);
	}

	private Optional<Runnable> takePendingContinue() {
		Optional<Runnable> pending = this.pendingContinue;
		this.pendingContinue = Optional.empty();
		return pending;
	}

	private static void sendContinue(FilterChainContext context, HttpRequestPacket packet) {
		HttpResponsePacket response = packet.getResponse();
		response.setStatus(HttpStatus.CONINTUE_100);
		response.setAcknowledgement(true);
		context.write(response);
		response.setAcknowledgement(false);
	}

	private static String requestTarget(HttpRequestPacket packet) {
		String query = packet.getQueryString();
		return (query != null) ? packet.getRequestURI() + "?" + query : packet.getRequestURI();
	}

	// Handles the end of the connection, by either side.
	void handleClose(boolean closedHere) {
		Runnable action;
		synchronized (this) {
			if (this.currentResponse == null) {
				return;
			}
			if (closedHere) {
				logEvent("connection closed here before its response was complete", this.currentResponse);
			}
			action = this.currentResponse.markDisconnected();
		}
		action.run();
	}

	synchronized void closeIfTimedOut(long nowNanos, Duration requestTimeout, Duration idleTimeout) {
		if (this.currentResponse != null) {
			return;
		}
		Duration timeout = this.requestStarted ? requestTimeout : idleTimeout;
		if (nowNanos - this.timeoutStartNanos > timeout.toNanos()) {
			this.connection.closeSilently();
		}
	}

	/**
	 * Writes the response to one request to the connection.
	 */
	private final class Response implements ResponseWriter {

		private static final Runnable NO_ACTION = () -> {
		};

		private final HttpRequestPacket request;

		private final HttpResponsePacket packet;

		/**
		 * Copy of the context in which the request was read; notifies the HTTP codec when
		 * the response is complete.
		 */
		private final FilterChainContext context;

		private Runnable disconnectAction = NO_ACTION;

		private boolean clientDisconnected;

		private boolean ended;

		private Response(HttpRequestPacket request, FilterChainContext context) {
			this.request = request;
			this.context = context;
			this.packet = request.getResponse();
		}

		@Override
		public void setHead(ResponseHead head) {
			synchronized (RelayServerConnection.this) {
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
				if (RelayServerConnection.this.draining.getAsBoolean()) {
					this.packet.setHeader("Connection", "close");
				}
			}
		}

		@Override
		public void write(byte[] part) {
			synchronized (RelayServerConnection.this) {
				if (!this.clientDisconnected && !this.ended) {
					send(part, false);
				}
			}
		}

		@Override
		public void end() {
			Optional<NextRequest> next;
			synchronized (RelayServerConnection.this) {
				if (this.clientDisconnected || this.ended) {
					return;
				}
				this.ended = true;
				RelayServerConnection.this.currentResponse = null;
				RelayServerConnection.this.timeoutStartNanos = System.nanoTime();
				send(NO_BODY, true);
				boolean closing = RelayServerConnection.this.draining.getAsBoolean()
						|| (RelayServerConnection.this.broken && RelayServerConnection.this.nextRequest.isEmpty());
				// A response that had started before draining began carries no
				// "Connection: close"; its connection is closed nonetheless.
				if (closing) {
					this.request.getProcessingState().setKeepAlive(false);
				}
				this.context.notifyDownstream(HttpServerFilter.RESPONSE_COMPLETE_EVENT);
				next = closing ? Optional.empty() : takeNextRequest();
				// The next response uses the same packet as this interim one, and may not
				// start before it is written.
				if (!closing && next.isEmpty()) {
					takePendingContinue().ifPresent(Runnable::run);
				}
			}
			next.ifPresent((queued) -> RelayServerConnection.this.handler.handle(queued.request(), queued.response()));
		}

		private void send(byte[] part, boolean last) {
			HttpContent.Builder<?> content = HttpContent.builder(this.packet).last(last);
			if (part.length > 0) {
				content.content(Buffers.wrap(null, part));
			}
			RelayServerConnection.this.connection.write(content.build());
		}

		@Override
		public void abort() {
			synchronized (RelayServerConnection.this) {
				if (this.clientDisconnected || this.ended) {
					return;
				}
				this.ended = true;
				RelayServerConnection.this.currentResponse = null;
			}
			RelayServerConnection.this.connection.terminateSilently();
		}

		@Override
		public void onDisconnect(Runnable action) {
			synchronized (RelayServerConnection.this) {
				if (!this.clientDisconnected) {
					this.disconnectAction = action;
					return;
				}
			}
			action.run();
		}

		// Returns the disconnect action, which must be run without holding the lock.
		private Runnable markDisconnected() {
			this.clientDisconnected = true;
			RelayServerConnection.this.currentResponse = null;
			return this.disconnectAction;
		}

	}

	/** A request that waits for the end of the response before it. */
	private record NextRequest(RelayRequest request, Response response) {

	}

}
