package org.mulberrycross.http;

import java.util.OptionalLong;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.memory.Buffers;

/**
 * One request that was sent by a {@link RelayClient}. Thread-safe.
 */
public final class RelayCall {

	private final RelayRequest request;

	private final ResponseListener listener;

	private Connection<?> connection;

	private boolean headSeen;

	private boolean endsWithConnection;

	private boolean ended;

	RelayCall(RelayRequest request, ResponseListener listener) {
		this.request = request;
		this.listener = listener;
	}

	/**
	 * Closes the connection, which makes an engine drop the request. The listener is not
	 * called any more.
	 */
	public void cancel() {
		Connection<?> open;
		synchronized (this) {
			this.ended = true;
			open = this.connection;
		}
		if (open != null) {
			open.terminateSilently();
		}
	}

	@SuppressWarnings("rawtypes")
	EmptyCompletionHandler<Connection> connected() {
		return new EmptyCompletionHandler<>() {

			@Override
			public void completed(Connection opened) {
				RelayCall.this.write(opened);
			}

			@Override
			public void failed(Throwable cause) {
				RelayCall.this.failed("cannot connect: " + cause);
			}

		};
	}

	private void write(Connection<?> opened) {
		synchronized (this) {
			if (this.ended) {
				opened.terminateSilently();
				return;
			}
			this.connection = opened;
		}
		RelayClient.attach(opened, this);
		this.listener.sent();
		opened.write(encode());
		if (!opened.isOpen()) {
			failed("connection closed while the request was written");
		}
	}

	private HttpContent encode() {
		HttpRequestPacket.Builder builder = HttpRequestPacket.builder()
			.method(this.request.method())
			.uri(this.request.target())
			.protocol("HTTP/1.1");
		if (this.request.body().length > 0) {
			builder.contentLength(this.request.body().length);
		}
		HttpRequestPacket packet = builder.build();
		this.request.headers().fields().forEach((field) -> packet.addHeader(field.name(), field.value()));
		packet.setHeader("Connection", "close");
		return HttpContent.builder(packet).content(Buffers.wrap(null, this.request.body())).last(true).build();
	}

	void received(Connection<?> source, HttpContent content) {
		synchronized (this) {
			if (this.ended) {
				return;
			}
		}
		HttpResponsePacket packet = (HttpResponsePacket) content.getHttpHeader();
		if (!this.headSeen) {
			this.headSeen = true;
			this.endsWithConnection = !packet.isChunked() && packet.getContentLength() < 0;
			OptionalLong length = (packet.isChunked() || packet.getContentLength() < 0) ? OptionalLong.empty()
					: OptionalLong.of(packet.getContentLength());
			this.listener.head(new MessageHead(packet.getStatus(), Headers.copyOf(packet.getHeaders()), length));
		}
		if (content.getContent() != null && content.getContent().hasRemaining()) {
			byte[] part = new byte[content.getContent().remaining()];
			content.getContent().get(part);
			this.listener.data(part);
		}
		if (!content.isLast()) {
			return;
		}
		if (end()) {
			this.listener.end();
			source.closeSilently();
		}
	}

	/** Ends a response without a length; any other response is cut by the close. */
	void closed() {
		if (!this.endsWithConnection) {
			failed("connection closed before the end of the response");
		}
		else if (end()) {
			this.listener.end();
		}
	}

	void failed(String reason) {
		if (end()) {
			this.listener.failed(reason);
		}
	}

	private synchronized boolean end() {
		boolean first = !this.ended;
		this.ended = true;
		return first;
	}

}
