package org.mulberrycross.sibling.http;

import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.http.RelayHandler;
import org.mulberrycross.http.RelayRequest;
import org.mulberrycross.http.ResponseWriter;
import org.mulberrycross.sibling.ShareReply;
import org.mulberrycross.sibling.ShareRequest;

/**
 * Serves share requests of siblings on the selector thread, which does not wait for the
 * reply. Requests that cannot be read are answered with status 400, those of daemons that
 * are not listed with 403. Thread-safe.
 */
public final class SharesHandler implements RelayHandler {

	private static final int STATUS_BAD_REQUEST = 400;

	private static final int STATUS_FORBIDDEN = 403;

	private static final Peer UNNAMED_SENDER = new Peer(Peer.Kind.SIBLING, "");

	private final Predicate<String> siblings;

	private final BiConsumer<ShareRequest, Consumer<ShareReply>> requestHandler;

	/**
	 * Creates a handler.
	 * @param siblings whether a daemon of a name is listed, not null
	 * @param requestHandler handles a request and passes on the reply, at once or later
	 * and on any thread; must not block, not null
	 */
	public SharesHandler(Predicate<String> siblings, BiConsumer<ShareRequest, Consumer<ShareReply>> requestHandler) {
		this.siblings = Objects.requireNonNull(siblings, "siblings");
		this.requestHandler = Objects.requireNonNull(requestHandler, "requestHandler");
	}

	/**
	 * Registers this handler with a server.
	 * @param server the server, not null
	 */
	public void register(SiblingServer server) {
		server.register(SiblingHandler.SHARES_PATH, this);
	}

	@Override
	public void handle(RelayRequest request, ResponseWriter response) {
		try {
			ShareRequest shareRequest = SiblingCodec.decode(request.body(), ShareRequest.class, UNNAMED_SENDER);
			if (!isValid(shareRequest)) {
				SiblingServer.refuse(response, STATUS_BAD_REQUEST, "share request is not valid");
				return;
			}
			if (!this.siblings.test(shareRequest.sender().name())) {
				SiblingServer.refuse(response, STATUS_FORBIDDEN, "sender is not listed");
				return;
			}
			this.requestHandler.accept(shareRequest,
					(reply) -> SiblingServer.respond(response, 200, "application/json", SiblingCodec.encode(reply)));
		}
		catch (PeerException ex) {
			SiblingServer.refuse(response, STATUS_BAD_REQUEST, ex.getMessage());
		}
	}

	private static boolean isValid(ShareRequest request) {
		return request.sender().name() != null && request.sender().address() != null
				&& request.items().size() <= ShareRequest.MAX_ITEMS
				&& request.items()
					.stream()
					.allMatch((item) -> item.team() != null && item.held() >= 0 && item.running() >= 0
							&& item.wanted() >= 0);
	}

}
