package org.mulberrycross.sibling;

import java.util.Optional;

import org.mulberrycross.Address;
import org.mulberrycross.PeerException;

/**
 * Sends messages to other daemons. Implementations are thread-safe; the methods block and
 * must not run on the control thread.
 */
public interface SiblingClient {

	/**
	 * Exchanges digests.
	 * @param address the address of the daemon, not null
	 * @param digest the digest to send, not null
	 * @return the digest that came back
	 * @throws PeerException if no valid reply came in time
	 */
	Digest gossip(Address address, Digest digest) throws PeerException;

	/**
	 * Asks for parts of teams' limits.
	 * @param address the address of the owner, not null
	 * @param request the request, not null
	 * @return the reply
	 * @throws PeerException if no valid reply came in time
	 */
	ShareReply shares(Address address, ShareRequest request) throws PeerException;

	/**
	 * Reads the head of the configuration in force at a daemon.
	 * @param address the address of the daemon, not null
	 * @return the head, or empty if the daemon has none
	 * @throws PeerException if no valid reply came in time
	 */
	Optional<byte[]> configurationHead(Address address) throws PeerException;

	/**
	 * Reads a chunk of a configuration. The caller verifies the digest.
	 * @param address the address of the daemon, not null
	 * @param digest the SHA-256 of the chunk in lower-case hexadecimal, not null
	 * @return the chunk, or empty if the daemon does not have it
	 * @throws PeerException if no valid reply came in time
	 */
	Optional<byte[]> configurationChunk(Address address, String digest) throws PeerException;

}
