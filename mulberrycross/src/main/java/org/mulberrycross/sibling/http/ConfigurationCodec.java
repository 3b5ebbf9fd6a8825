package org.mulberrycross.sibling.http;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.http.HttpReply;
import org.mulberrycross.http.Json;
import org.mulberrycross.http.QueryString;
import org.mulberrycross.sibling.ConfigurationReply;
import org.mulberrycross.sibling.SharedChange;

/**
 * Encodes queries for the newest configuration as request targets and the replies as
 * JSON. A query names the daemon that it is meant for, since the address may have passed
 * to a daemon of another deployment. Thread-safe.
 */
final class ConfigurationCodec {

	/** Path of the queries. */
	static final String PATH = "/v1/sibling/configuration";

	/** Maximum size of a reply: an object of 1 MB in Base64. */
	static final int MAX_REPLY_BYTES = 2 << 20;

	static final int STATUS_OK = 200;

	/** The query is meant for another daemon, or its sender is not listed. */
	static final int STATUS_FORBIDDEN = 403;

	/** The status with which builds before this query answer it. */
	private static final int STATUS_NOT_FOUND = 404;

	private ConfigurationCodec() {
	}

	static String encodeQuery(String sender, String receiver, long version) {
		return PATH + "?from=" + encode(sender) + "&to=" + encode(receiver) + "&version=" + version;
	}

	private static String encode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8);
	}

	// Returns empty if a parameter is missing or the version is not a number.
	static Optional<Query> decodeQuery(String target) {
		QueryString parameters = QueryString.of(target);
		try {
			Optional<Long> version = parameters.value("version").map(Long::parseLong);
			return parameters.value("from")
				.flatMap((sender) -> parameters.value("to")
					.flatMap((receiver) -> version.map((number) -> new Query(sender, receiver, number))));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	static byte[] encodeBody(ConfigurationReply reply) {
		return Json.encode(new Body(reply.newer(),
				reply.restoredAgo().map((ago) -> OptionalLong.of(ago.toMillis())).orElse(OptionalLong.empty())));
	}

	static ConfigurationReply decode(HttpReply reply, Peer peer) throws PeerException {
		if (reply.status() == STATUS_NOT_FOUND) {
			return ConfigurationReply.NOTHING_KNOWN;
		}
		if (reply.status() != STATUS_OK) {
			throw invalid(peer, "status " + reply.status());
		}
		Body body = Json.decode(reply.body(), Body.class, peer);
		Optional<SharedChange> newer = Objects.requireNonNullElse(body.newer(), Optional.empty());
		if (newer.isPresent() && (newer.get().value().isEmpty() || !newer.get().key().contains("/"))) {
			throw invalid(peer, "an object without a value or a kind");
		}
		OptionalLong restoredMillis = Objects.requireNonNullElse(body.restoredMs(), OptionalLong.empty());
		if (restoredMillis.orElse(0) < 0) {
			throw invalid(peer, "a time of " + restoredMillis.getAsLong() + " ms");
		}
		return new ConfigurationReply(newer, restoredMillis.isPresent()
				? Optional.of(Duration.ofMillis(restoredMillis.getAsLong())) : Optional.empty());
	}

	private static PeerException invalid(Peer peer, String reason) {
		return new PeerException(Step.CODEC, peer, "reply with the newest configuration has " + reason);
	}

	/**
	 * A query for the newest configuration.
	 *
	 * @param sender the name of the daemon that asks
	 * @param receiver the name of the daemon that is asked
	 * @param version the newest version that the sender knows
	 */
	record Query(String sender, String receiver, long version) {

	}

	/** The body of a reply. */
	private record Body(Optional<SharedChange> newer, OptionalLong restoredMs) {

	}

}
