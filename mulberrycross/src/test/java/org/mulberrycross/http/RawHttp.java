package org.mulberrycross.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

/**
 * Exchanges bytes over a plain socket, without an HTTP implementation that would correct
 * them.
 */
final class RawHttp {

	private static final int TIMEOUT_MILLIS = 20_000;

	private RawHttp() {
	}

	/**
	 * Opens a connection whose writes are sent at once.
	 * @param port the port on the loopback interface
	 * @return the connection
	 * @throws IOException if the connection fails
	 */
	static Socket connect(int port) throws IOException {
		Socket socket = new Socket("127.0.0.1", port);
		socket.setTcpNoDelay(true);
		socket.setSoTimeout(TIMEOUT_MILLIS);
		return socket;
	}

	/**
	 * Sends text in one part or byte by byte.
	 * @param socket the connection
	 * @param text the text in ISO-8859-1
	 * @param bytewise whether each byte is written separately
	 */
	static void send(Socket socket, String text, boolean bytewise) {
		byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
		try {
			OutputStream out = socket.getOutputStream();
			if (!bytewise) {
				out.write(bytes);
				return;
			}
			for (byte next : bytes) {
				out.write(next);
			}
		}
		catch (IOException ex) {
			// The peer has refused an earlier part of the text and closed the connection.
		}
	}

	/**
	 * Reads until the peer closes or resets the connection.
	 * @param socket the connection
	 * @return the bytes received, in ISO-8859-1
	 * @throws IOException if the peer keeps the connection open
	 */
	static String readToClose(Socket socket) throws IOException {
		ByteArrayOutputStream received = new ByteArrayOutputStream();
		InputStream in = socket.getInputStream();
		try {
			for (int next = in.read(); next >= 0; next = in.read()) {
				received.write(next);
			}
		}
		catch (SocketException ex) {
			// A reset ends the response as well.
		}
		return received.toString(StandardCharsets.ISO_8859_1);
	}

}
