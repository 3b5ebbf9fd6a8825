package org.mulberrycross.sibling.http;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.mulberrycross.Address;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.http.Json;
import org.mulberrycross.sibling.Digest;
import org.mulberrycross.sibling.Gossip;
import org.mulberrycross.sibling.HealthReport;
import org.mulberrycross.sibling.LeavingNotice;
import org.mulberrycross.sibling.LoadReport;
import org.mulberrycross.sibling.Member;
import org.mulberrycross.sibling.ShareReply;
import org.mulberrycross.sibling.ShareRequest;

/**
 * Encodes the messages between daemons as JSON and decodes them. List entries are encoded
 * as arrays, which take about half the space of objects. New versions may append elements
 * to these arrays; unknown fields and elements are ignored. Thread-safe.
 */
public final class SiblingCodec {

	private static final ObjectMapper MAPPER = createMapper();

	private SiblingCodec() {
	}

	private static ObjectMapper createMapper() {
		ObjectMapper mapper = Json.mapper().copy();
		for (Class<?> type : List.of(Address.class, Member.class, LeavingNotice.class, HealthReport.class,
				LoadReport.class, ShareRequest.Item.class, ShareReply.Grant.class)) {
			mapper.configOverride(type).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
		}
		return mapper;
	}

	/**
	 * Returns the encoded size of an entry of a digest, including its separator.
	 * @param entry the entry, not null
	 * @return the size in bytes
	 */
	public static int encodedSize(Object entry) {
		return encodeJson(entry).length + 1;
	}

	/**
	 * Encodes a gossip digest.
	 * @param digest the digest, not null
	 * @return the JSON text in UTF-8
	 * @throws IllegalStateException if the text is longer than
	 * {@link Gossip#MAX_DIGEST_BYTES}, which indicates a bug in {@link Gossip}
	 */
	public static byte[] encode(Digest digest) {
		byte[] json = encodeJson(digest);
		if (json.length > Gossip.MAX_DIGEST_BYTES) {
			throw new IllegalStateException(
					"encoded digest has " + json.length + " bytes, limit " + Gossip.MAX_DIGEST_BYTES);
		}
		return json;
	}

	/**
	 * Encodes a share request.
	 * @param request the request, not null
	 * @return the JSON text in UTF-8
	 */
	public static byte[] encode(ShareRequest request) {
		return encodeJson(request);
	}

	/**
	 * Encodes the reply to a share request.
	 * @param reply the reply, not null
	 * @return the JSON text in UTF-8
	 */
	public static byte[] encode(ShareReply reply) {
		return encodeJson(reply);
	}

	/**
	 * Decodes a message and checks that it names its sender.
	 * @param <T> the type of the message
	 * @param json the JSON text in UTF-8, not null
	 * @param type the type of the message, not null
	 * @param peer the daemon that sent the message, named in the exception; not null
	 * @return the message
	 * @throws PeerException if the text is not valid for the type or has no sender
	 */
	public static <T extends Record> T decode(byte[] json, Class<T> type, Peer peer) throws PeerException {
		try {
			T message = MAPPER.readValue(json, type);
			if (message == null) {
				throw new PeerException(Step.CODEC, peer, "message is null");
			}
			if ((message instanceof Digest digest && digest.sender() == null)
					|| (message instanceof ShareRequest request && request.sender() == null)
					|| (message instanceof ShareReply reply && reply.sender() == null)) {
				throw new PeerException(Step.CODEC, peer, "message has no sender");
			}
			return message;
		}
		catch (IOException ex) {
			throw new PeerException(Step.CODEC, peer, "message is not a valid " + type.getSimpleName(), ex);
		}
	}

	private static byte[] encodeJson(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("cannot encode " + value.getClass().getName(), ex);
		}
	}

}
