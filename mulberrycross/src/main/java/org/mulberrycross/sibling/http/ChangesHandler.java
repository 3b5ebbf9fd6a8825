package org.mulberrycross.sibling.http;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

import org.mulberrycross.http.RelayHandler;
import org.mulberrycross.http.RelayRequest;
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

	private static final int STATUS_FORBIDDEN = 403;

	private final Map<String, ChangeSource> sourcesByKind;

	private final Predicate<String> siblings;

	/**
	 * Creates a handler.
	 * @param sourcesByKind the sources of changes by kind of objects, not null
	 * @param siblings whether a daemon of a name is listed; others are refused, not null
	 */
	public ChangesHandler(Map<String, ChangeSource> sourcesByKind, Predicate<String> siblings) {
		this.sourcesByKind = Map.copyOf(sourcesByKind);
		this.siblings = Objects.requireNonNull(siblings, "siblings");
	}

	@Override
	public void handle(RelayRequest request, ResponseWriter response) {
		Optional<ChangesQuery> query = ChangesCodec.decodeQuery(request.target());
		if (query.isEmpty()) {
			SiblingServer.refuse(response, STATUS_BAD_REQUEST, "query is not valid");
			return;
		}
		if (ChangesCodec.decodeSender(request.target()).filter(this.siblings).isEmpty()) {
			SiblingServer.refuse(response, STATUS_FORBIDDEN, "sender is not listed");
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
		SiblingServer.respond(response, ChangesCodec.statusCode(reply), "application/json",
				ChangesCodec.encodeBody(reply));
	}

}
