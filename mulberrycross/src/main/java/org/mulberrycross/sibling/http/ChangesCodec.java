package org.mulberrycross.sibling.http;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.StorePosition;
import org.mulberrycross.http.HttpReply;
import org.mulberrycross.http.Json;
import org.mulberrycross.http.QueryString;
import org.mulberrycross.sibling.ChangesQuery;
import org.mulberrycross.sibling.ChangesReply;
import org.mulberrycross.sibling.SharedChange;

/**
 * Encodes queries for changes as request targets and the replies as JSON. The values of
 * objects are passed on as bytes, since other writers may store text that is not valid
 * JSON. Thread-safe.
 */
public final class ChangesCodec {

	/** Path of the queries. */
	public static final String PATH = "/v1/changes";

	/** Maximum size of a reply; objects are several times smaller. */
	static final int MAX_REPLY_BYTES = 256 << 10;

	/** Maximum age, before or after the arrival of a query, that is believed. */
	private static final long MAX_AGE_MILLIS = Duration.ofDays(1).toMillis();

	private static final int STATUS_OK = 200;

	private static final Map<ChangesReply.Status, Integer> STATUS_CODES = Map.of(ChangesReply.Status.KNOWN, STATUS_OK,
			ChangesReply.Status.NOT_LISTED, 403, ChangesReply.Status.NOT_FOLLOWED, 404, ChangesReply.Status.NOT_COVERED,
			410, ChangesReply.Status.OTHER_ERA, 409, ChangesReply.Status.BUSY, 429,
			ChangesReply.Status.STORE_UNAVAILABLE, 503);

	private ChangesCodec() {
	}

	/**
	 * Encodes a query.
	 * @param query the query, not null
	 * @param sender the name of the daemon that sends it, not null
	 * @return the request target
	 */
	public static String encodeQuery(ChangesQuery query, String sender) {
		return PATH + "?kind=" + URLEncoder.encode(query.kind(), StandardCharsets.UTF_8) + "&after="
				+ query.after().revision() + encodeEra(query.after().era()) + "&wait_ms=" + query.maxWait().toMillis()
				+ "&from=" + URLEncoder.encode(sender, StandardCharsets.UTF_8);
	}

	private static String encodeEra(OptionalLong era) {
		return era.isPresent() ? "&era=" + era.getAsLong() : "";
	}

	/**
	 * Decodes a query.
	 * @param target the request target, not null
	 * @return the query, or empty if it is not valid
	 */
	public static Optional<ChangesQuery> decodeQuery(String target) {
		QueryString parameters = QueryString.of(target);
		try {
			String kind = parameters.value("kind").orElseThrow(IllegalArgumentException::new);
			long after = Long.parseLong(parameters.value("after").orElse(""));
			int waitMillis = Integer.parseInt(parameters.value("wait_ms").orElse(""));
			OptionalLong era = parameters.value("era")
				.map((text) -> OptionalLong.of(Long.parseLong(text)))
				.orElse(OptionalLong.empty());
			return Optional.of(new ChangesQuery(kind, new StorePosition(era, after), Duration.ofMillis(waitMillis)));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Decodes the name of the daemon that sent a query.
	 * @param target the request target, not null
	 * @return the name, or empty if it is missing
	 */
	public static Optional<String> decodeSender(String target) {
		return QueryString.of(target).value("from");
	}

	static int statusCode(ChangesReply reply) {
		return STATUS_CODES.get(reply.status());
	}

	static byte[] encodeBody(ChangesReply reply) {
		return Json.encode(new Body(reply.position().era(), OptionalLong.of(reply.position().revision()),
				OptionalLong.of(reply.ageMillis()), reply.changes()));
	}

	static ChangesReply decode(HttpReply reply, String kind, Peer peer) throws PeerException {
		ChangesReply.Status status = STATUS_CODES.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() == reply.status())
			.map(Map.Entry::getKey)
			.findFirst()
			.orElseThrow(() -> invalid(peer, "status " + reply.status()));
		if (status != ChangesReply.Status.KNOWN && status != ChangesReply.Status.OTHER_ERA) {
			return ChangesReply.of(status);
		}
		Body body = Json.decode(reply.body(), Body.class, peer);
		if (body.revision() == null || body.revision().isEmpty() || body.ageMs() == null || body.ageMs().isEmpty()
				|| body.changes() == null) {
			throw invalid(peer, "no revision, age or changes");
		}
		if (Math.abs(body.ageMs().getAsLong() / 2) > MAX_AGE_MILLIS / 2) {
			throw invalid(peer, "an age of " + body.ageMs().getAsLong() + " ms");
		}
		if (body.changes().stream().anyMatch((change) -> change == null || !change.key().startsWith(kind + "/"))) {
			throw invalid(peer, "a change without a key of kind " + kind);
		}
		StorePosition position = new StorePosition(Objects.requireNonNullElse(body.era(), OptionalLong.empty()),
				body.revision().getAsLong());
		return new ChangesReply(status, position, body.ageMs().getAsLong(), body.changes());
	}

	private static PeerException invalid(Peer peer, String reason) {
		return new PeerException(Step.CODEC, peer, "reply with changes has " + reason);
	}

	/**
	 * The body of a reply. Builds before eras do not send the era and ignore it.
	 */
	private record Body(OptionalLong era, OptionalLong revision, OptionalLong ageMs, List<SharedChange> changes) {

	}

}
