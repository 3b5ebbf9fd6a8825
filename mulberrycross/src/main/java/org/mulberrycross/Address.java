package org.mulberrycross;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * IP address and TCP port of a peer. Immutable and thread-safe.
 *
 * @param host the IP address, not empty
 * @param port the TCP port, 1 to 65535
 */
public record Address(String host, int port) {

	private static final int MAX_PORT = 65535;

	/**
	 * Creates an address.
	 * @param host the IP address, not empty
	 * @param port the TCP port, 1 to 65535
	 * @throws IllegalArgumentException if the host is empty or the port is out of range
	 */
	public Address {
		Objects.requireNonNull(host, "host");
		if (host.isEmpty()) {
			throw new IllegalArgumentException("host is empty");
		}
		if (port < 1 || port > MAX_PORT) {
			throw new IllegalArgumentException("port " + port + " is outside 1 to " + MAX_PORT);
		}
	}

	/**
	 * Parses an address of the form {@code host:port}. The last colon separates the port,
	 * so an IPv6 host needs no brackets.
	 * @param text the text, not null
	 * @return the address
	 * @throws IllegalArgumentException if the text does not have that form or the port is
	 * out of range
	 */
	public static Address parse(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 1) {
			throw new IllegalArgumentException("address '" + text + "' does not have the form host:port");
		}
		try {
			return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("address '" + text + "' has a port that is not a number", ex);
		}
	}

	/**
	 * Converts this address to a socket address, which resolves the host if it is a name.
	 * @return the socket address to connect or bind to
	 */
	public InetSocketAddress socketAddress() {
		return new InetSocketAddress(this.host, this.port);
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
