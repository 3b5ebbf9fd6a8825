package org.mulberrycross.sibling.http;

import java.util.Optional;

import org.mulberrycross.Address;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.http.Json;
import org.mulberrycross.sibling.Sibling;

/**
 * Encodes the entry of a daemon in the platform's store as JSON and decodes it.
 * Thread-safe.
 */
public final class SiblingEntryCodec {

	private SiblingEntryCodec() {
	}

	/**
	 * Encodes an entry.
	 * @param sibling the daemon, not null
	 * @return the JSON text in UTF-8
	 */
	public static byte[] encode(Sibling sibling) {
		return Json.encode(new Entry(sibling.address().toString(), sibling.dataCentre(), sibling.incarnation()));
	}

	/**
	 * Decodes an entry.
	 * @param name the name of the daemon, not null
	 * @param json the JSON text in UTF-8, not null
	 * @return the daemon, or empty if the entry has no valid address, data centre or
	 * start time, as that of a daemon without an address for messages
	 */
	public static Optional<Sibling> decode(String name, byte[] json) {
		try {
			Entry entry = Json.decode(json, Entry.class, new Peer(Peer.Kind.SIBLING, name));
			if (entry.address() == null || entry.dataCentre() == null || entry.incarnation() == null) {
				return Optional.empty();
			}
			return Optional
				.of(new Sibling(name, Address.parse(entry.address()), entry.dataCentre(), entry.incarnation()));
		}
		catch (PeerException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	/** JSON form of an entry. */
	private record Entry(String address, String dataCentre, Long incarnation) {

	}

}
