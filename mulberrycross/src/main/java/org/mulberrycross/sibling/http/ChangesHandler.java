package org.mulberrycross.sibling.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.mulberrycross.http.HeaderField;
import org.mulberrycross.http.Headers;
import org.mulberrycross.http.RelayHandler;
import org.mulberrycross.http.RelayRequest;
import org.mulberrycross.http.ResponseHead;
import org.mulberrycross.http.ResponseWriter;
import org.mulberrycross.sibling.ChangeSource;
import org.mulberrycross.sibling.ChangesQuery;
import org.mulberrycross.sibling.ChangesReply;

/**
 * Serves queries of siblings for changes. A query that waits needs no thread.
 * Thread-safe.
 */
public final class ChangesHandler implements RelayHandler {

	private static final int STATUS_BAD_REQUEST = 400;

	private final Map<String, ChangeSource> sourcesByKind;

	/**
	 * Creates a handler.
	 * @param sourcesByKind the sources of changes by kind of objects, not null
	 */
	public ChangesHandler(Map<String, ChangeSource> sourcesByKind) {
		this.sourcesByKind = Map.copyOf(sourcesByKind);
	}

	@Override
	public void handle(RelayRequest request, ResponseWriter response) {
		Optional<ChangesQuery> query = ChangesCodec.decodeQuery(request.target());
		if (query.isEmpty()) {
			send(response, STATUS_BAD_REQUEST, "query is not valid".getBytes(StandardCharsets.UTF_8));
			return;
		}
		ChangeSource source = this.sourcesByKind.get(query.get().kind());
		if (source == null) {
			sendReply(response, ChangesReply.of(ChangesReply.Status.NOT_FOLLOWED));
			return;
		}
		response.onDisconnect(source.request(query.get(), (reply) -> sendReply(response, reply)));
	}

	private static void sendReply(ResponseWriter response, ChangesReply reply) {
		send(response, ChangesCodec.statusCode(reply), ChangesCodec.encodeBody(reply));
	}

	private static void send(ResponseWriter response, int status, byte[] body) {
		response
			.setHead(new ResponseHead(status, Headers.of(List.of(new HeaderField("Content-Type", "application/json"))),
					OptionalLong.of(body.length)));
		response.write(body);
		response.end();
	}

}
