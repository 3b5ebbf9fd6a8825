package org.mulberrycross.service.http;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.http.Json;
import org.mulberrycross.service.IntentRecord;

/**
 * Encodes intent records as JSON, with the response body in Base64. Thread-safe.
 */
public final class IntentCodec {

	private static final Peer STORE_PEER = new Peer(Peer.Kind.PLATFORM, "");

	private IntentCodec() {
	}

	/**
	 * Encodes a record.
	 * @param intent the record, not null
	 * @return the JSON text in UTF-8
	 */
	public static byte[] encode(IntentRecord intent) {
		return Json.encode(intent);
	}

	/**
	 * Decodes a record.
	 * @param json the JSON text in UTF-8, not null
	 * @return the record
	 * @throws PeerException if the text is not the JSON form of a record
	 */
	public static IntentRecord decode(byte[] json) throws PeerException {
		return Json.decode(json, IntentRecord.class, STORE_PEER);
	}

}
