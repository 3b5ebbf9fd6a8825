package org.mulberrycross.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.function.BooleanSupplier;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.util.HttpStatus;
import org.glassfish.grizzly.memory.Buffers;

/**
 * One connection of a client: the request that is being read and the response that is
 * being written. Thread-safe; all state is guarded by the object.
 */
final class RelayServerConnection {

	private static final byte[] NO_BODY = {};

	private final Connection<?> connection;

	private final RelayHandler handler;

	private final BooleanSupplier closing;

	private ByteArrayOutputStream body = new ByteArrayOutputStream(0);

	private Response current;

	private boolean requestBegun;

	private long activeSinceNanos = System.nanoTime();

	RelayServerConnection(Connection<?> connection, RelayHandler handler, BooleanSupplier closing) {
		this.connection = connection;
		this.handler = handler;
		this.closing = closing;
	}

	synchronized void bytesArrived() {
		if (!this.requestBegun) {
			this.requestBegun = true;
			this.activeSinceNanos = System.nanoTime();
		}
	}

	void received(FilterChainContext context, HttpContent content) throws IOException {
		HttpRequestPacket packet = (HttpRequestPacket) content.getHttpHeader();
		acknowledge(context, packet);
		RelayRequest request;
		Response response;
		synchronized (this) {
			if (content.getContent() != null && content.getContent().hasRemaining()) {
				byte[] part = new byte[content.getContent().remaining()];
				content.getContent().get(part);
				this.body.writeBytes(part);
			}
			if (!content.isLast()) {
				return;
			}
			if (this.current != null) {
				// A second request before the first was answered: these are never
				// pipelined.
				this.connection.closeSilently();
				return;
			}
			byte[] whole = (this.body.size() > 0) ? this.body.toByteArray() : NO_BODY;
			this.body = new ByteArrayOutputStream(0);
			this.requestBegun = false;
			request = new RelayRequest(packet.getMethod().getMethodString(), target(packet),
					Headers.copyOf(packet.getHeaders()), whole);
			response = new Response(packet, context.copy());
			this.current = response;
		}
		this.handler.handle(request, response);
	}

	private static void acknowledge(FilterChainContext context, HttpRequestPacket packet) {
		if (!packet.requiresAcknowledgement()) {
			return;
		}
		HttpResponsePacket response = packet.getResponse();
		response.setStatus(HttpStatus.CONINTUE_100);
		response.setAcknowledgement(true);
		context.write(response);
		response.setAcknowledgement(false);
	}

	private static String target(HttpRequestPacket packet) {
		String query = packet.getQueryString();
		return (query != null) ? packet.getRequestURI() + "?" + query : packet.getRequestURI();
	}

	void closed() {
		Runnable action;
		synchronized (this) {
			if (this.current == null) {
				return;
			}
			action = this.current.leave();
		}
		action.run();
	}

	synchronized void closeIfOverdue(long nowNanos, Duration headTimeout, Duration idleTimeout) {
		if (this.current != null) {
			return;
		}
		Duration limit = this.requestBegun ? headTimeout : idleTimeout;
		if (nowNanos - this.activeSinceNanos > limit.toNanos()) {
			this.connection.closeSilently();
		}
	}

	/**
	 * The response to the current request.
	 */
	private final class Response implements ResponseWriter {

		private static final Runnable NOTHING = () -> {
		};

		private final HttpRequestPacket request;

		private final HttpResponsePacket packet;

		/** Copy of the context of the read, through which the codec learns of the end. */
		private final FilterChainContext context;

		private Runnable clientGone = NOTHING;

		private boolean gone;

		private boolean ended;

		private Response(HttpRequestPacket request, FilterChainContext context) {
			this.request = request;
			this.context = context;
			this.packet = request.getResponse();
		}

		@Override
		public void start(MessageHead head) {
			synchronized (RelayServerConnection.this) {
				if (this.gone || this.ended) {
					return;
				}
				this.packet.setStatus(HttpStatus.getHttpStatus(head.status()));
				head.headers().fields().forEach((field) -> this.packet.addHeader(field.name(), field.value()));
				if (head.length().isPresent()) {
					this.packet.setContentLengthLong(head.length().getAsLong());
				}
				else {
					this.packet.setChunked(true);
				}
				if (RelayServerConnection.this.closing.getAsBoolean()) {
					this.packet.setHeader("Connection", "close");
				}
			}
		}

		@Override
		public void write(byte[] part) {
			synchronized (RelayServerConnection.this) {
				if (!this.gone && !this.ended) {
					send(part, false);
				}
			}
		}

		@Override
		public void end() {
			synchronized (RelayServerConnection.this) {
				if (this.gone || this.ended) {
					return;
				}
				this.ended = true;
				RelayServerConnection.this.current = null;
				RelayServerConnection.this.activeSinceNanos = System.nanoTime();
				send(NO_BODY, true);
				// Also ends a connection whose response had begun before the server
				// started to close.
				if (RelayServerConnection.this.closing.getAsBoolean()) {
					this.request.getProcessingState().setKeepAlive(false);
				}
				this.context.notifyDownstream(HttpServerFilter.RESPONSE_COMPLETE_EVENT);
			}
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
				if (this.gone || this.ended) {
					return;
				}
				this.ended = true;
				RelayServerConnection.this.current = null;
			}
			RelayServerConnection.this.connection.terminateSilently();
		}

		@Override
		public void onClientGone(Runnable action) {
			synchronized (RelayServerConnection.this) {
				if (!this.gone) {
					this.clientGone = action;
					return;
				}
			}
			action.run();
		}

		private Runnable leave() {
			this.gone = true;
			RelayServerConnection.this.current = null;
			return this.clientGone;
		}

	}

}
