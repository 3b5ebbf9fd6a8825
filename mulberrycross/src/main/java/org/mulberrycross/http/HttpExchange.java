package org.mulberrycross.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Collects the response to one request. Response parts arrive on one selector thread; any
 * thread may wait for the complete reply.
 */
final class HttpExchange implements Exchange {

	private final BodyListener listener;

	private final int maxReplyBytes;

	private final CompletableFuture<HttpReply> reply = new CompletableFuture<>();

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	/** Whether the server leaves the connection open; set with the complete reply. */
	private volatile boolean keepAlive;

	HttpExchange(BodyListener listener, int maxReplyBytes) {
		this.listener = listener;
		this.maxReplyBytes = maxReplyBytes;
	}

	CompletableFuture<HttpReply> reply() {
		return this.reply;
	}

	boolean isKeepAlive() {
		return this.keepAlive;
	}

	@Override
	public boolean isDone() {
		return this.reply.isDone();
	}

	@Override
	public void handleContent(Connection<?> connection, HttpContent content) {
		if (content.getContent() != null && content.getContent().hasRemaining()) {
			if (this.body.size() + content.getContent().remaining() > this.maxReplyBytes) {
				fail(new IOException("reply is longer than " + this.maxReplyBytes + " bytes"));
				return;
			}
			byte[] data = new byte[content.getContent().remaining()];
			content.getContent().get(data);
			this.body.writeBytes(data);
			this.listener.onData(data);
		}
		if (content.isLast()) {
			HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
			this.keepAlive = head.getProcessingState().isStayAlive();
			this.reply
				.complete(new HttpReply(head.getStatus(), toHeaderMap(head.getHeaders()), this.body.toByteArray()));
		}
	}

	@Override
	public void fail(Throwable cause) {
		this.reply.completeExceptionally(cause);
	}

	@Override
	public void handleClose() {
		this.reply.completeExceptionally(new IOException("connection closed before the end of the reply"));
	}

	// Keys are in lower case. If a name occurs more than once, its last value is kept.
	static Map<String, String> toHeaderMap(MimeHeaders headers) {
		Map<String, String> valuesByName = new HashMap<>();
		for (int i = 0; i < headers.size(); i++) {
			valuesByName.put(headers.getName(i).toString().toLowerCase(Locale.ROOT), headers.getValue(i).toString());
		}
		return valuesByName;
	}

}
