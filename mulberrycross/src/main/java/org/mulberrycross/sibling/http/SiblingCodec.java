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
 * JSON encoding of the messages between daemons. Entries of lists are arrays, which is
 * about half as long as objects; a new version may add elements at their end. Unknown
 * fields and elements are ignored. Thread-safe.
 */
public final class SiblingCodec {

	private static final ObjectMapper MAPPER = mapper();

	private SiblingCodec() {
	}

	private static ObjectMapper mapper() {
		ObjectMapper mapper = Json.mapper().copy();
		for (Class<?> type : List.of(Address.class, Member.class, LeavingNotice.class, HealthReport.class,
				LoadReport.class, ShareRequest.Item.class, ShareReply.Grant.class)) {
			mapper.configOverride(type).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
		}
		return mapper;
	}

	/**
	 * Returns the encoded size of an entry of a digest with its separator.
	 * @param entry the entry, not null
	 * @return the size in bytes
	 */
	public static int size(Object entry) {
		return write(entry).length + 1;
	}

	/**
	 * Encodes a digest.
	 * @param digest the digest, not null
	 * @return the JSON text in UTF-8
	 * @throws IllegalStateException if it is longer than {@link Gossip#MAX_DIGEST_BYTES},
	 * which is a fault of the program
	 */
	public static byte[] encode(Digest digest) {
		byte[] json = write(digest);
		if (json.length > Gossip.MAX_DIGEST_BYTES) {
			throw new IllegalStateException("digest has " + json.length + " bytes");
		}
		return json;
	}

	/**
	 * Encodes a request for shares.
	 * @param request the request, not null
	 * @return the JSON text in UTF-8
	 */
	public static byte[] encode(ShareRequest request) {
		return write(request);
	}

	/**
	 * Encodes a reply with shares.
	 * @param reply the reply, not null
	 * @return the JSON text in UTF-8
	 */
	public static byte[] encode(ShareReply reply) {
		return write(reply);
	}

	/**
	 * Decodes a message.
	 * @param <T> the type of the message
	 * @param json the JSON text in UTF-8, not null
	 * @param type the type of the message, not null
	 * @param peer the daemon that sent it, for the error
	 * @return the message
	 * @throws PeerException if the text is not a message of that type
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

	private static byte[] write(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("cannot encode " + value.getClass().getName(), ex);
		}
	}

}
