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
 * Serves messages of other daemons. An empty answer of a function means that the daemon
 * cannot answer now, which is status 503. Thread-safe if the functions are.
 */
public final class SiblingHandler extends HttpHandler {

	/** Path of gossip. */
	public static final String GOSSIP_PATH = "/v1/sibling/gossip";

	/** Path of requests for shares. */
	public static final String SHARES_PATH = "/v1/sibling/shares";

	/** Path under which chunks of the configuration are served by digest. */
	public static final String CONFIGURATION_PATH = "/v1/sibling/config";

	/** Path of the head of the configuration. */
	public static final String HEAD_PATH = CONFIGURATION_PATH + "/head";

	/** Pattern of all paths, for the listener. */
	public static final String PATHS = "/v1/sibling/*";

	/** A request for shares has at most 200 items of about 50 bytes. */
	private static final int MAX_REQUEST_BYTES = 64 * 1024;

	private static final Peer SENDER = new Peer(Peer.Kind.SIBLING, "");

	private final Function<Digest, Optional<Digest>> gossip;

	private final Function<ShareRequest, Optional<ShareReply>> shares;

	private final Supplier<Optional<byte[]>> head;

	private final Function<String, Optional<byte[]>> chunks;

	/**
	 * Creates a handler. The functions run on worker threads and may block.
	 * @param gossip answers digests, not null
	 * @param shares answers requests for shares, not null
	 * @param head returns the head of the configuration in force, not null
	 * @param chunks returns a chunk by its digest, not null
	 */
	public SiblingHandler(Function<Digest, Optional<Digest>> gossip,
			Function<ShareRequest, Optional<ShareReply>> shares, Supplier<Optional<byte[]>> head,
			Function<String, Optional<byte[]>> chunks) {
		this.gossip = Objects.requireNonNull(gossip, "gossip");
		this.shares = Objects.requireNonNull(shares, "shares");
		this.head = Objects.requireNonNull(head, "head");
		this.chunks = Objects.requireNonNull(chunks, "chunks");
	}

	@Override
	public void service(Request request, Response response) throws IOException {
		String path = request.getDecodedRequestURI();
		try {
			if (path.equals(GOSSIP_PATH)) {
				Digest digest = read(request, Gossip.MAX_DIGEST_BYTES, Digest.class);
				answer(response, this.gossip.apply(digest).map(SiblingCodec::encode), 503);
			}
			else if (path.equals(SHARES_PATH)) {
				ShareRequest wanted = read(request, MAX_REQUEST_BYTES, ShareRequest.class);
				answer(response, this.shares.apply(wanted).map(SiblingCodec::encode), 503);
			}
			else if (path.equals(HEAD_PATH)) {
				answer(response, this.head.get(), 404);
			}
			else if (path.startsWith(CONFIGURATION_PATH + "/")) {
				answer(response, this.chunks.apply(path.substring(CONFIGURATION_PATH.length() + 1)), 404);
			}
			else {
				answer(response, Optional.empty(), 404);
			}
		}
		catch (PeerException ex) {
			HttpMessages.reply(response, 400, Map.of("error", ex.getMessage()));
		}
	}

	private static <T extends Record> T read(Request request, int maxBytes, Class<T> type)
			throws IOException, PeerException {
		Optional<byte[]> body = HttpMessages.body(request, maxBytes);
		return SiblingCodec.decode(body.orElse(new byte[0]), type, SENDER);
	}

	private static void answer(Response response, Optional<byte[]> body, int statusIfEmpty) throws IOException {
		if (body.isEmpty()) {
			HttpMessages.reply(response, statusIfEmpty, Map.of("error", "not available"));
			return;
		}
		HttpMessages.reply(response, 200, body.get());
	}

}
