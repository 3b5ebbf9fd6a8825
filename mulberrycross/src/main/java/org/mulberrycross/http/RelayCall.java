package org.mulberrycross.http;

import java.util.Optional;
import java.util.OptionalLong;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.memory.Buffers;

/**
 * A request sent by a {@link RelayClient}, from the connect attempt to the end of the
 * response. Thread-safe.
 */
public final class RelayCall {

	private final RelayRequest request;

	private final ResponseListener listener;

	private Connection<?> connection;

	/** The head of the response, empty before it has been received. */
	private Optional<ResponseHead> head = Optional.empty();

	/** Whether the socket has taken the whole request. */
	private volatile boolean requestWritten;

	/** Set once by completion, failure or cancellation; no listener call follows. */
	private boolean ended;

	RelayCall(RelayRequest request, ResponseListener listener) {
		this.request = request;
		this.listener = listener;
	}

	/**
	 * Cancels the request by closing its connection, which makes an engine stop
	 * processing it. The listener receives no further calls.
	 */
	public void cancel() {
		Connection<?> toClose;
		synchronized (this) {
			this.ended = true;
			toClose = this.connection;
		}
		if (toClose != null) {
			toClose.terminateSilently();
		}
	}

	@SuppressWarnings("rawtypes")
	EmptyCompletionHandler<Connection> connectHandler() {
		return new EmptyCompletionHandler<>() {

			@Override
			public void completed(Connection newConnection) {
				RelayCall.this.writeRequest(newConnection);
			}

			@Override
			public void failed(Throwable cause) {
				RelayCall.this.fail("cannot connect: " + cause);
			}

		};
	}

	private void writeRequest(Connection<?> newConnection) {
		synchronized (this) {
			if (this.ended) {
				newConnection.terminateSilently();
				return;
			}
			this.connection = newConnection;
		}
		RelayClient.attach(newConnection, this);
		this.listener.onRequestStarted();
		newConnection.write(encode(), writeHandler());
		// A close before the call was attached to the connection has not been reported.
		if (!newConnection.isOpen()) {
			// Clients receive this text in the response body.
			fail("connection closed while the request was written");
		}
	}

	private <L> EmptyCompletionHandler<WriteResult<HttpContent, L>> writeHandler() {
		return new EmptyCompletionHandler<>() {

			@Override
			public void completed(WriteResult<HttpContent, L> result) {
				RelayCall.this.requestWritten = true;
			}

			@Override
			public void failed(Throwable cause) {
				RelayCall.this.fail("request cannot be written: " + cause);
			}

		};
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

	void handleContent(Connection<?> responseConnection, HttpContent content) {
		synchronized (this) {
			if (this.ended) {
				return;
			}
		}
		HttpResponsePacket packet = (HttpResponsePacket) content.getHttpHeader();
		if (this.head.isEmpty()) {
			OptionalLong contentLength = (packet.isChunked() || packet.getContentLength() < 0) ? OptionalLong.empty()
					: OptionalLong.of(packet.getContentLength());
			ResponseHead received = new ResponseHead(packet.getStatus(), Headers.copyOf(packet.getHeaders()),
					contentLength);
			this.head = Optional.of(received);
			this.listener.onHead(received);
		}
		if (content.getContent() != null && content.getContent().hasRemaining()) {
			byte[] data = new byte[content.getContent().remaining()];
			content.getContent().get(data);
			this.listener.onData(data);
		}
		if (!content.isLast()) {
			return;
		}
		if (markEnded()) {
			this.listener.onComplete();
			responseConnection.closeSilently();
		}
	}

	/**
	 * Handles an orderly close by the upstream, which ends a close-delimited response and
	 * truncates any other one. While the request is being written the close may hide a
	 * reset, whose error is reported only once, to the write or to the read.
	 */
	void handleEndOfInput() {
		if (!this.head.map(ResponseHead::framing).equals(Optional.of(BodyFraming.CLOSE)) || !this.requestWritten) {
			handleClose();
		}
		else if (markEnded()) {
			this.listener.onComplete();
		}
	}

	/**
	 * Handles the close of the connection by this side or after an error, which never
	 * marks the end of a response.
	 */
	void handleClose() {
		fail("connection closed before the end of the response");
	}

	void fail(String reason) {
		if (markEnded()) {
			this.listener.onFailure(reason);
		}
	}

	// Returns false if the request had already ended.
	private synchronized boolean markEnded() {
		boolean ending = !this.ended;
		this.ended = true;
		return ending;
	}

}
