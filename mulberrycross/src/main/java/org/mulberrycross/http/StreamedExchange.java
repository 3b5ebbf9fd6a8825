package org.mulberrycross.http;

import java.util.concurrent.CompletableFuture;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * Passes on the response to one request as it arrives. Response parts arrive on one
 * selector thread; another one reads the body.
 */
final class StreamedExchange implements Exchange {

	private static final byte[] NO_BODY = {};

	private final CompletableFuture<HttpReply> head = new CompletableFuture<>();

	private final ReplyBody body;

	/** Whether the server leaves the connection open; set before the end of the body. */
	private volatile boolean keepAlive;

	StreamedExchange(int maxReplyBytes, long deadlineNanos) {
		this.body = new ReplyBody(maxReplyBytes, deadlineNanos);
	}

	// Completes with the status and the headers when the head of the response has
	// arrived.
	CompletableFuture<HttpReply> head() {
		return this.head;
	}

	ReplyBody body() {
		return this.body;
	}

	boolean isKeepAlive() {
		return this.keepAlive;
	}

	@Override
	public boolean isDone() {
		return this.body.isDone();
	}

	@Override
	public void handleContent(Connection<?> connection, HttpContent content) {
		HttpResponsePacket packet = (HttpResponsePacket) content.getHttpHeader();
		if (content.getContent() != null && content.getContent().hasRemaining()) {
			byte[] part = new byte[content.getContent().remaining()];
			content.getContent().get(part);
			this.body.add(connection, part);
		}
		if (content.isLast()) {
			this.keepAlive = packet.getProcessingState().isStayAlive();
			this.body.end();
		}
		if (!this.head.isDone()) {
			this.head
				.complete(new HttpReply(packet.getStatus(), HttpExchange.toHeaderMap(packet.getHeaders()), NO_BODY));
		}
	}

	@Override
	public void fail(Throwable cause) {
		this.head.completeExceptionally(cause);
		this.body.fail(new IncompleteReplyException("connection failed: " + cause.getMessage(), cause));
	}

	@Override
	public void handleClose() {
		fail(new IncompleteReplyException("connection closed before the end of the reply", null));
	}

}
