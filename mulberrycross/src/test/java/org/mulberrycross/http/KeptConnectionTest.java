package org.mulberrycross.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests that a server takes on a connection which it closes, so that
 * they run and are not answered, and against responses that lose their end when the
 * connection closes.
 */
class KeptConnectionTest {

	private static final int TIMEOUT_SECONDS = 10;

	/** Exceeds what the sockets of both sides buffer, so that a part waits to be sent. */
	private static final int LARGE_BODY_BYTES = 7 << 20;

	private static final int PIPELINED_REQUESTS = 60;

	/** Longer than the test needs for a request. */
	private static final Duration IDLE_TIME = Duration.ofSeconds(2);

	private final BlockingQueue<Taken> taken = new LinkedBlockingQueue<>();

	private RelayServer server;

	private int port;

	@BeforeEach
	void start() throws Exception {
		this.port = freePort();
		this.server = new RelayServer(new Address("127.0.0.1", this.port),
				(request, response) -> this.taken.add(new Taken(request.target(), response)));
		this.server.start();
	}

	@AfterEach
	void stop() {
		this.server.close();
	}

	/** Fails if a client that sends again at once finds its connection closed. */
	@Test
	void answersRequestAfterResponseThatStartedBeforeShutdown() throws Exception {
		try (Socket client = RawHttp.connect(this.port)) {
			request(client, "/first");
			Taken first = take();
			first.startChunked("a");
			assertThat(readUntil(client, "a\r\n")).doesNotContain("close");
			this.server.closeAfterResponses();
			first.response().end();
			readUntil(client, "0\r\n\r\n");
			request(client, "/next");
			take().respond("next");
			String next = readUntil(client, "next");
			assertThat(next).contains(" 200 ");
			assertThat(next).contains("Connection: close");
			assertThat(client.getInputStream().read()).isEqualTo(-1);
		}
	}

	/**
	 * Fails if a request is taken between the end of the last response on a connection
	 * and its close, which waits for a client that reads slowly.
	 */
	@Test
	void takesNoRequestAfterLastResponse() throws Exception {
		this.server.closeAfterResponses();
		try (Socket client = RawHttp.connect(this.port)) {
			request(client, "/first");
			take().respond("a".repeat(LARGE_BODY_BYTES));
			request(client, "/next");
			assertThat(this.taken.poll(200, TimeUnit.MILLISECONDS)).isNull();
			assertThat(bodyBytes(client, "Connection: close")).isEqualTo(LARGE_BODY_BYTES);
			assertThat(this.taken).isEmpty();
		}
	}

	/**
	 * Fails if a request that follows the client's own announcement to close is taken
	 * although the connection closes.
	 */
	@Test
	void takesNoRequestAfterResponseToClosingClient() throws Exception {
		try (Socket client = RawHttp.connect(this.port)) {
			RawHttp.send(client, "GET /first HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", false);
			take().respond("a".repeat(LARGE_BODY_BYTES));
			request(client, "/next");
			assertThat(this.taken.poll(200, TimeUnit.MILLISECONDS)).isNull();
			assertThat(bodyBytes(client, "Connection: close")).isEqualTo(LARGE_BODY_BYTES);
			assertThat(this.taken).isEmpty();
		}
	}

	/** Fails if a request is taken on a connection that was closed as idle. */
	@Test
	void takesNoRequestOnConnectionClosedAsIdle() throws Exception {
		try (Socket client = RawHttp.connect(this.port)) {
			request(client, "/first");
			take().respond("first");
			readUntil(client, "first");
			awaitSent();
			this.server.closeTimedOutConnections(Duration.ofDays(1), Duration.ZERO);
			request(client, "/next");
			assertThat(RawHttp.readToClose(client)).isEmpty();
			assertThat(this.taken).isEmpty();
		}
	}

	/** Fails if a client that reads nothing keeps its connection for good. */
	@Test
	void terminatesConnectionOfClientThatStopsReading() throws Exception {
		try (Socket client = RawHttp.connect(this.port)) {
			request(client, "/first");
			take().respond("a".repeat(LARGE_BODY_BYTES));
			for (int i = 0; this.server.hasConnections() && i < TIMEOUT_SECONDS * 100; i++) {
				TimeUnit.MILLISECONDS.sleep(10);
				this.server.closeTimedOutConnections(Duration.ofDays(1), Duration.ofMillis(100));
			}
			assertThat(this.server.hasConnections()).isFalse();
			assertThat(this.server.isAnswering()).isFalse();
		}
	}

	/**
	 * Fails if a connection counts as idle from the end of a response that its client has
	 * not read yet, so that it is closed before the next request.
	 */
	@Test
	void idleTimeStartsWhenResponseIsSent() throws Exception {
		try (Socket client = RawHttp.connect(this.port)) {
			request(client, "/first");
			take().respond("a".repeat(LARGE_BODY_BYTES));
			TimeUnit.MILLISECONDS.sleep(IDLE_TIME.toMillis() + 100);
			readUntil(client, "\r\n\r\n");
			client.getInputStream().readNBytes(LARGE_BODY_BYTES);
			awaitSent();
			this.server.closeIdleConnections(IDLE_TIME);
			request(client, "/next");
			take().respond("next");
			assertThat(readUntil(client, "next")).contains(" 200 ");
		}
	}

	/**
	 * Fails if a request with a body that is too long cuts off the response before it.
	 */
	@Test
	void sendsResponseBeforeRequestWithTooLongBody() throws Exception {
		int limitedPort = freePort();
		try (RelayServer limited = new RelayServer(new Address("127.0.0.1", limitedPort),
				(request, response) -> this.taken.add(new Taken(request.target(), response)), 2)) {
			limited.start();
			try (Socket client = RawHttp.connect(limitedPort)) {
				request(client, "/first");
				Taken first = take();
				first.startChunked("a");
				RawHttp.send(client, "POST /next HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", false);
				assertThat(this.taken.poll(200, TimeUnit.MILLISECONDS)).isNull();
				first.response().end();
				assertThat(RawHttp.readToClose(client)).endsWith("1\r\na\r\n0\r\n\r\n");
				assertThat(this.taken).isEmpty();
			}
		}
	}

	/**
	 * Fails if the end of a response counts as sent while it waits for the client, so
	 * that the process may exit before.
	 */
	@Test
	void isAnsweringUntilLastByteIsSent() throws Exception {
		try (Socket client = RawHttp.connect(this.port)) {
			assertThat(this.server.isAnswering()).isFalse();
			request(client, "/first");
			Taken first = take();
			assertThat(this.server.isAnswering()).isTrue();
			first.respond("a".repeat(LARGE_BODY_BYTES));
			this.server.closeIdleConnections(Duration.ZERO);
			assertThat(this.server.isAnswering()).isTrue();
			assertThat(readUntil(client, "\r\n\r\n")).contains(" 200 ");
			client.getInputStream().readNBytes(LARGE_BODY_BYTES);
			request(client, "/next");
			take().respond("next");
			assertThat(readUntil(client, "next")).contains(" 200 ");
			awaitSent();
		}
	}

	/** Fails if pipelined requests are lost, or answered in another order. */
	@Test
	void answersPipelinedRequestsInOrder() throws Exception {
		try (Socket client = RawHttp.connect(this.port)) {
			pipeline(client, PIPELINED_REQUESTS);
			for (int i = 0; i < PIPELINED_REQUESTS; i++) {
				Taken next = take();
				assertThat(next.target()).isEqualTo("/" + i);
				assertThat(this.taken).isEmpty();
				next.respond("body-" + i + ".");
				assertThat(readUntil(client, "body-" + i + ".")).contains(" 200 ");
			}
		}
	}

	/**
	 * Fails if a client that pipelines too many requests loses the responses to those
	 * that were taken, or is not told that no other follows.
	 */
	@Test
	void closesAfterResponsesToTooManyPipelinedRequests() throws Exception {
		try (Socket client = RawHttp.connect(this.port)) {
			pipeline(client, 4 * PIPELINED_REQUESTS);
			Taken first = take();
			awaitReadsBefore();
			first.respond("first");
			String received = readUntil(client, "first");
			while (!received.contains("Connection: close")) {
				take().respond("body.");
				received = readUntil(client, "body.");
			}
			assertThat(client.getInputStream().read()).isEqualTo(-1);
			assertThat(this.taken).isEmpty();
		}
	}

	private static void pipeline(Socket client, int count) {
		StringBuilder requests = new StringBuilder();
		for (int i = 0; i < count; i++) {
			requests.append("GET /").append(i).append(" HTTP/1.1\r\nHost: h\r\n\r\n");
		}
		RawHttp.send(client, requests.toString(), false);
	}

	/**
	 * Fails if a request whose client already sent the next one announces a close, so
	 * that the next one, which was read, is not answered.
	 */
	@Test
	void answersRequestThatWaitsAtShutdown() throws Exception {
		try (Socket client = RawHttp.connect(this.port)) {
			RawHttp.send(client, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /next HTTP/1.1\r\nHost: h\r\n\r\n", false);
			Taken first = take();
			awaitReadsBefore();
			this.server.closeAfterResponses();
			first.respond("first");
			assertThat(readUntil(client, "first")).doesNotContain("close");
			take().respond("next");
			assertThat(readUntil(client, "next")).contains("Connection: close");
			assertThat(client.getInputStream().read()).isEqualTo(-1);
		}
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

	// Waits until the server has noted that all responses are sent.
	private void awaitSent() throws InterruptedException {
		for (int i = 0; this.server.isAnswering() && i < TIMEOUT_SECONDS * 100; i++) {
			TimeUnit.MILLISECONDS.sleep(10);
		}
		assertThat(this.server.isAnswering()).isFalse();
	}

	// Waits until the server has read what other connections sent before. One thread
	// reads all connections, in the order in which their bytes arrive.
	private void awaitReadsBefore() throws Exception {
		try (Socket other = RawHttp.connect(this.port)) {
			request(other, "/other");
			Taken next = take();
			assertThat(next.target()).isEqualTo("/other");
			next.respond("other");
			readUntil(other, "other");
		}
	}

	private Taken take() throws InterruptedException {
		return this.taken.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	private static void request(Socket client, String target) {
		RawHttp.send(client, "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n", false);
	}

	private static String readUntil(Socket client, String suffix) throws Exception {
		StringBuilder received = new StringBuilder();
		InputStream in = client.getInputStream();
		for (int next = in.read(); next >= 0; next = in.read()) {
			received.append((char) next);
			if (received.length() >= suffix.length()
					&& received.substring(received.length() - suffix.length()).equals(suffix)) {
				break;
			}
		}
		return received.toString();
	}

	// Reads a response to an orderly close; a reset fails the test.
	private static int bodyBytes(Socket client, String expectedField) throws Exception {
		assertThat(readUntil(client, "\r\n\r\n")).contains(expectedField);
		return client.getInputStream().readAllBytes().length;
	}

	/** A request that the server has taken, and the writer of its response. */
	private record Taken(String target, ResponseWriter response) {

		void startChunked(String part) {
			this.response.setHead(new ResponseHead(200, Headers.NONE, OptionalLong.empty()));
			this.response.write(part.getBytes(StandardCharsets.US_ASCII));
		}

		void respond(String body) {
			byte[] bytes = body.getBytes(StandardCharsets.US_ASCII);
			this.response.setHead(new ResponseHead(200, Headers.NONE, OptionalLong.of(bytes.length)));
			this.response.write(bytes);
			this.response.end();
		}

	}

}
