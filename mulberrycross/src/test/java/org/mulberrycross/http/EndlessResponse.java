package org.mulberrycross.http;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A server in trouble that sends bytes without end until the caller closes the
 * connection.
 */
final class EndlessResponse {

	/** Number of bytes after which the server gives up; above all limits of callers. */
	static final long MAX_BYTES = 64 << 20;

	private static final int PART_BYTES = 16 << 10;

	private EndlessResponse() {
	}

	// Accepts one connection, sends the start of a response and then the same letter
	// until
	// the connection is closed. Returns the number of bytes sent.
	static long sendUntilClosed(ServerSocket server, String start) {
		byte[] part = new byte[PART_BYTES];
		Arrays.fill(part, (byte) 'a');
		long sent = 0;
		try (Socket socket = server.accept()) {
			socket.getOutputStream().write(start.getBytes(StandardCharsets.UTF_8));
			while (sent < MAX_BYTES) {
				socket.getOutputStream().write(part);
				sent += part.length;
			}
		}
		catch (IOException ex) {
			// Expected: the caller has closed the connection.
			return sent;
		}
		return sent;
	}

}
