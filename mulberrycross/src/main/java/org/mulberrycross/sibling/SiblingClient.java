package org.mulberrycross.sibling;

import java.util.Optional;

import org.mulberrycross.Address;
import org.mulberrycross.PeerException;

/**
 * Sends requests to other daemons. Implementations are thread-safe. The methods block and
 * must not be called on the control thread.
 */
public interface SiblingClient {

	/**
	 * Sends a digest and returns the digest of the other daemon.
	 * @param address the address of the daemon, not null
	 * @param digest the digest to send, not null
	 * @return the digest in the reply
	 * @throws PeerException if no valid reply arrives before the timeout
	 */
	Digest exchangeDigests(Address address, Digest digest) throws PeerException;

	/**
	 * Requests shares of teams' limits.
	 * @param address the address of the owner, not null
	 * @param request the request, not null
	 * @return the reply with the granted shares
	 * @throws PeerException if no valid reply arrives before the timeout
	 */
	ShareReply requestShares(Address address, ShareRequest request) throws PeerException;

	/**
	 * Reads the head of the configuration in force at a daemon.
	 * @param address the address of the daemon, not null
	 * @return the head, or empty if the daemon has none
	 * @throws PeerException if no valid reply arrives before the timeout
	 */
	Optional<byte[]> configurationHead(Address address) throws PeerException;

	/**
	 * Reads a chunk of a configuration. The caller must verify its digest.
	 * @param address the address of the daemon, not null
	 * @param digest the SHA-256 of the chunk in lower-case hexadecimal, not null
	 * @return the chunk, or empty if the daemon does not have it
	 * @throws PeerException if no valid reply arrives before the timeout
	 */
	Optional<byte[]> configurationChunk(Address address, String digest) throws PeerException;

}
