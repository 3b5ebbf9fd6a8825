package org.mulberrycross.engine.http;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.engine.OrderLeaseRecord;
import org.mulberrycross.http.Json;

/**
 * Encodes lease records as JSON and decodes them. Thread-safe.
 */
public final class LeaseCodec {

	private static final Peer STORE = new Peer(Peer.Kind.PLATFORM, "");

	private LeaseCodec() {
	}

	/**
	 * Encodes a record.
	 * @param lease the record, not null
	 * @return the JSON text in UTF-8
	 */
	public static byte[] encode(OrderLeaseRecord lease) {
		return Json.encode(lease);
	}

	/**
	 * Decodes a record.
	 * @param json the JSON text in UTF-8, not null
	 * @return the record
	 * @throws PeerException if the text is not a valid lease record
	 */
	public static OrderLeaseRecord decode(byte[] json) throws PeerException {
		return Json.decode(json, OrderLeaseRecord.class, STORE);
	}

}
