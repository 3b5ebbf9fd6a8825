package org.mulberrycross.sibling.http;

import java.io.IOException;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.http.HttpMessages;
import org.mulberrycross.sibling.Digest;
import org.mulberrycross.sibling.Gossip;
import org.mulberrycross.sibling.ShareReply;
import org.mulberrycross.sibling.ShareRequest;

/**
 * Serves requests of other daemons. An empty result of a function is answered with status
 * 503 for digests and share requests, which the daemon cannot process now, and with 404
 * for reads of the configuration. Thread-safe if the functions are.
 */
public final class SiblingHandler extends HttpHandler {

	/** Path of gossip exchanges. */
	public static final String GOSSIP_PATH = "/v1/sibling/gossip";

	/** Path of share requests. */
	public static final String SHARES_PATH = "/v1/sibling/shares";

	/** Path prefix of configuration chunks, which is followed by the chunk's digest. */
	public static final String CONFIGURATION_PATH = "/v1/sibling/config";

	/** Path of the head of the configuration in force. */
	public static final String HEAD_PATH = CONFIGURATION_PATH + "/head";

	/** Pattern that matches all paths of this handler, for the listener. */
	public static final String PATHS = "/v1/sibling/*";

	/** A share request has at most 200 items of about 50 bytes each, which is 10 KB. */
	private static final int MAX_SHARE_REQUEST_BYTES = 64 * 1024;

	private static final Peer UNNAMED_SENDER = new Peer(Peer.Kind.SIBLING, "");

	private final Function<Digest, Optional<Digest>> digestHandler;

	private final Function<ShareRequest, Optional<ShareReply>> shareRequestHandler;

	private final Supplier<Optional<byte[]>> head;

	private final Function<String, Optional<byte[]>> chunks;

	/**
	 * Creates a handler. The functions run on worker threads and may block.
	 * @param digestHandler answers a digest, not null
	 * @param shareRequestHandler answers a share request, not null
	 * @param head returns the head of the configuration in force, not null
	 * @param chunks returns a configuration chunk by its digest, not null
	 */
	public SiblingHandler(Function<Digest, Optional<Digest>> digestHandler,
			Function<ShareRequest, Optional<ShareReply>> shareRequestHandler, Supplier<Optional<byte[]>> head,
			Function<String, Optional<byte[]>> chunks) {
		this.digestHandler = Objects.requireNonNull(digestHandler, "digestHandler");
		this.shareRequestHandler = Objects.requireNonNull(shareRequestHandler, "shareRequestHandler");
		this.head = Objects.requireNonNull(head, "head");
		this.chunks = Objects.requireNonNull(chunks, "chunks");
	}

	@Override
	public void service(Request request, Response response) throws IOException {
		String path = request.getDecodedRequestURI();
		try {
			if (path.equals(GOSSIP_PATH)) {
				Digest digest = read(request, Gossip.MAX_DIGEST_BYTES, Digest.class);
				respond(response, this.digestHandler.apply(digest).map(SiblingCodec::encode), 503);
			}
			else if (path.equals(SHARES_PATH)) {
				ShareRequest shareRequest = read(request, MAX_SHARE_REQUEST_BYTES, ShareRequest.class);
				respond(response, this.shareRequestHandler.apply(shareRequest).map(SiblingCodec::encode), 503);
			}
			else if (path.equals(HEAD_PATH)) {
				respond(response, this.head.get(), 404);
			}
			else if (path.startsWith(CONFIGURATION_PATH + "/")) {
				respond(response, this.chunks.apply(path.substring(CONFIGURATION_PATH.length() + 1)), 404);
			}
			else {
				respond(response, Optional.empty(), 404);
			}
		}
		catch (PeerException ex) {
			HttpMessages.writeJson(response, 400, Map.of("error", ex.getMessage()));
		}
	}

	private static <T extends Record> T read(Request request, int maxBytes, Class<T> type)
			throws IOException, PeerException {
		Optional<byte[]> body = HttpMessages.readBody(request, maxBytes);
		return SiblingCodec.decode(body.orElse(new byte[0]), type, UNNAMED_SENDER);
	}

	private static void respond(Response response, Optional<byte[]> body, int statusIfEmpty) throws IOException {
		if (body.isEmpty()) {
			HttpMessages.writeJson(response, statusIfEmpty, Map.of("error", "not available"));
			return;
		}
		HttpMessages.writeJson(response, 200, body.get());
	}

}
