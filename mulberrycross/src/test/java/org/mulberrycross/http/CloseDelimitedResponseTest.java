package org.mulberrycross.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mulberrycross.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against responses without length and chunks that count as complete although
 * their connection was not closed in good order: clients got streams and bodies that
 * broke off, framed as whole.
 */
class CloseDelimitedResponseTest {

	private static final int TIMEOUT_SECONDS = 10;

	/** Exceeds the socket buffers of both sides together. */
	private static final int LONG_BODY_BYTES = 16 << 20;

	/** Whether the first byte is written before the reset or after it varies by run. */
	private static final int REPETITIONS = 10;

	private static final byte[] RESPONSE = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nid: 1\ndata: a\n\n"
		.getBytes(StandardCharsets.UTF_8);

	private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

	private final BlockingQueue<String> received = new LinkedBlockingQueue<>();

	/** Fails if the body is incomplete after an orderly close. */
	@Test
	void completesResponseAtOrderlyClose() throws Exception {
		assertThat(send(0, Recorder::new, Socket::shutdownOutput)).isEqualTo("end");
	}

	/**
	 * Fails if a reset that is noticed while the request is written, and not while the
	 * response is read, counts as an orderly close.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void failsResponseResetWhileRequestIsWritten(boolean unreadBytes) throws Exception {
		for (int i = 0; i < REPETITIONS; i++) {
			String end = send(LONG_BODY_BYTES, Recorder::new, (socket) -> {
				if (!unreadBytes) {
					socket.setSoLinger(true, 0);
				}
			});
			assertThat(end).startsWith("failed");
		}
	}

	/** Fails if a response that could not be processed counts as complete. */
	@Test
	void failsResponseThatCannotBeProcessed() throws Exception {
		String end = send(0, () -> new Recorder() {

			@Override
			public void onData(byte[] part) {
				throw new IllegalStateException("cannot process");
			}

		}, (socket) -> socket.getInputStream().read());
		assertThat(end).startsWith("failed");
	}

	/**
	 * Fails if a response completes after a part of it could not be processed, and so was
	 * left out.
	 */
	@Test
	void failsResponseWithoutUnprocessedPart() throws Exception {
		AtomicBoolean failed = new AtomicBoolean();
		byte[] response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n"
			.getBytes(StandardCharsets.UTF_8);
		String end = send(response, 0, () -> new Recorder() {

			@Override
			public void onData(byte[] part) {
				if (failed.compareAndSet(false, true)) {
					throw new IllegalStateException("cannot process");
				}
			}

		}, (socket) -> socket.getInputStream().read());
		assertThat(end).contains("cannot process");
	}

	/**
	 * Fails if a response counts as complete because this side closes its connections.
	 */
	@Test
	void failsResponseWhenClientIsClosed() throws Exception {
		RelayClient client = new RelayClient();
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			CompletableFuture<Void> upstream = respond(server, RESPONSE, (socket) -> socket.getInputStream().read());
			start(client, server, 0, new Recorder());
			assertThat(this.received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isNotNull();
			client.close();
			assertThat(this.events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).startsWith("failed");
			upstream.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
	}

	// Returns how a response ended whose connection the upstream closes in the given way.
	private String send(int requestBytes, ListenerFactory listener, SocketAction beforeClose) throws Exception {
		return send(RESPONSE, requestBytes, listener, beforeClose);
	}

	private String send(byte[] response, int requestBytes, ListenerFactory listener, SocketAction beforeClose)
			throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				RelayClient client = new RelayClient()) {
			CompletableFuture<Void> upstream = respond(server, response, beforeClose);
			start(client, server, requestBytes, listener.create());
			String end = this.events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			upstream.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			return end;
		}
	}

	private static void start(RelayClient client, ServerSocket server, int requestBytes, ResponseListener listener) {
		client.send(new Address("127.0.0.1", server.getLocalPort()), new RelayRequest("POST", "/",
				Headers.of(List.of(new HeaderField("Host", "h"))), new byte[requestBytes]), listener);
	}

	private static CompletableFuture<Void> respond(ServerSocket server, byte[] response, SocketAction beforeClose) {
		return CompletableFuture.runAsync(() -> {
			try (Socket socket = server.accept()) {
				socket.getInputStream().read(new byte[1024]);
				socket.getOutputStream().write(response);
				beforeClose.run(socket);
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	/** Creates the listener of a response. */
	@FunctionalInterface
	private interface ListenerFactory {

		ResponseListener create();

	}

	/** Ends a connection, or waits until the other side has ended it. */
	@FunctionalInterface
	private interface SocketAction {

		void run(Socket socket) throws IOException;

	}

	/**
	 * Records how a response ended.
	 */
	private class Recorder implements ResponseListener {

		@Override
		public void onRequestStarted() {
		}

		@Override
		public void onHead(ResponseHead head) {
		}

		@Override
		public void onData(byte[] part) {
			CloseDelimitedResponseTest.this.received.add(new String(part, StandardCharsets.UTF_8));
		}

		@Override
		public void onComplete() {
			CloseDelimitedResponseTest.this.events.add("end");
		}

		@Override
		public void onFailure(String reason) {
			CloseDelimitedResponseTest.this.events.add("failed: " + reason);
		}

	}

}
