package org.mulberrycross.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CyclicBarrier;

import org.mulberrycross.Address;

/**
 * A server that replies to requests, and whose open connections can go silent without a
 * reset while new ones work. The first two connections reply when both have a request, so
 * that a client has two.
 */
final class SilentConnections implements AutoCloseable {

	private static final String REPLY = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

	private final ServerSocket listener;

	private final CyclicBarrier firstTwo = new CyclicBarrier(2);

	private final Set<Socket> open = new HashSet<>();

	private final Set<Socket> silent = new HashSet<>();

	SilentConnections() throws IOException {
		this.listener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
		start(this::acceptAll);
	}

	Address address() {
		return new Address("127.0.0.1", this.listener.getLocalPort());
	}

	synchronized void silenceOpenConnections() {
		this.silent.addAll(this.open);
	}

	private synchronized int add(Socket socket) {
		this.open.add(socket);
		return this.open.size();
	}

	private synchronized boolean isSilent(Socket socket) {
		return this.silent.contains(socket);
	}

	private void acceptAll() throws Exception {
		while (!this.listener.isClosed()) {
			Socket socket = this.listener.accept();
			int number = add(socket);
			start(() -> reply(socket, number));
		}
	}

	private void reply(Socket socket, int number) throws Exception {
		boolean first = true;
		while (readRequest(socket)) {
			if (first && number <= 2) {
				this.firstTwo.await();
			}
			first = false;
			if (!isSilent(socket)) {
				socket.getOutputStream().write(REPLY.getBytes(StandardCharsets.US_ASCII));
			}
		}
	}

	// Reads until the blank line after the head. Returns false at the end.
	private static boolean readRequest(Socket socket) throws IOException {
		int newlines = 0;
		while (newlines < 2) {
			int next = socket.getInputStream().read();
			if (next < 0) {
				return false;
			}
			if (next != '\r') {
				newlines = (next == '\n') ? newlines + 1 : 0;
			}
		}
		return true;
	}

	private static void start(Task task) {
		Thread thread = new Thread(() -> {
			try {
				task.run();
			}
			catch (Exception ex) {
				// The connection was closed, or the test has ended.
			}
		});
		thread.setDaemon(true);
		thread.start();
	}

	@Override
	public synchronized void close() throws IOException {
		this.listener.close();
		for (Socket socket : this.open) {
			socket.close();
		}
	}

	/** A task that may fail when its socket is closed. */
	@FunctionalInterface
	private interface Task {

		void run() throws Exception;

	}

}
