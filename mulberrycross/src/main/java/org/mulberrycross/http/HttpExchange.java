package org.mulberrycross.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * One request and the response that is being received for it. Filled on one selector
 * thread; the reply may be awaited on any thread.
 */
final class HttpExchange {

	private final BodyListener listener;

	private final CompletableFuture<HttpReply> reply = new CompletableFuture<>();

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private volatile boolean keepsAlive;

	HttpExchange(BodyListener listener) {
		this.listener = listener;
	}

	CompletableFuture<HttpReply> reply() {
		return this.reply;
	}

	boolean keepsAlive() {
		return this.keepsAlive;
	}

	void received(HttpContent content) {
		if (content.getContent() != null && content.getContent().hasRemaining()) {
			byte[] part = new byte[content.getContent().remaining()];
			content.getContent().get(part);
			this.body.writeBytes(part);
			this.listener.received(part);
		}
		if (content.isLast()) {
			HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
			this.keepsAlive = head.getProcessingState().isStayAlive();
			this.reply.complete(new HttpReply(head.getStatus(), headers(head.getHeaders()), this.body.toByteArray()));
		}
	}

	void failed(Throwable cause) {
		this.reply.completeExceptionally(cause);
	}

	void closed() {
		this.reply.completeExceptionally(new IOException("connection closed before the end of the reply"));
	}

	private static Map<String, String> headers(MimeHeaders headers) {
		Map<String, String> copy = new HashMap<>();
		for (int i = 0; i < headers.size(); i++) {
			copy.put(headers.getName(i).toString().toLowerCase(Locale.ROOT), headers.getValue(i).toString());
		}
		return copy;
	}

}
