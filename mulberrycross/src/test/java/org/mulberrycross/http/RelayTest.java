package org.mulberrycross.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mulberrycross.Address;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against truncated responses that look complete, and against requests that are
 * altered or mixed up by the relay.
 */
class RelayTest {

	private static final int TIMEOUT_SECONDS = 10;

	private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

	/** Fails if a keep-alive connection loses a later request or alters its body. */
	@Test
	void servesSeveralRequestsOnOneConnection() throws Exception {
		int port = freePort();
		try (RelayServer server = new RelayServer(new Address("127.0.0.1", port), (request, response) -> {
			response
				.setHead(new ResponseHead(200, Headers.of(List.of(new HeaderField("X-A", "1"))), OptionalLong.empty()));
			response.write((request.target() + new String(request.body(), StandardCharsets.UTF_8))
				.getBytes(StandardCharsets.UTF_8));
			response.end();
		})) {
			server.start();
			try (Socket socket = new Socket("127.0.0.1", port)) {
				for (int i = 0; i < 3; i++) {
					socket.getOutputStream()
						.write(("POST /a" + i + "?q HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nb" + i)
							.getBytes(StandardCharsets.UTF_8));
					assertThat(readUntil(socket, "0\r\n\r\n")).contains("/a" + i + "?qb" + i);
				}
			}
		}
	}

	/**
	 * Fails if the path, the query or a chunked body is altered on the way to the
	 * upstream.
	 */
	@Test
	void forwardsTargetAndBodyUnchanged() throws Exception {
		int serverPort = freePort();
		int upstreamPort = freePort();
		String target = "/a%2Fb;x=1//c/../d?q=%20&r=a+b";
		try (RelayClient client = new RelayClient();
				RelayServer upstream = new RelayServer(new Address("127.0.0.1", upstreamPort), (request, response) -> {
					this.events.add(request.method() + " " + request.target() + " "
							+ new String(request.body(), StandardCharsets.UTF_8));
					response.setHead(new ResponseHead(200, Headers.NONE, OptionalLong.of(0)));
					response.end();
				});
				RelayServer server = new RelayServer(new Address("127.0.0.1", serverPort),
						(request, response) -> client.send(new Address("127.0.0.1", upstreamPort),
								request.withHeaders(request.headers().withoutHopByHop()), new Recorder()))) {
			upstream.start();
			server.start();
			try (Socket socket = new Socket("127.0.0.1", serverPort)) {
				socket.getOutputStream()
					.write(("PUT " + target + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
							+ "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
						.getBytes(StandardCharsets.UTF_8));
				assertThat(this.events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("PUT " + target + " abcde");
			}
		}
	}

	/**
	 * Fails if a client that has the whole response sends its next request before the
	 * response is marked as ended, and finds its connection closed.
	 */
	@Test
	void servesRequestThatFollowsLastByteAtOnce() throws Exception {
		int port = freePort();
		CountDownLatch nextRequestSent = new CountDownLatch(1);
		try (RelayServer server = new RelayServer(new Address("127.0.0.1", port), (request, response) -> {
			Thread responder = new Thread(() -> {
				byte[] body = request.target().getBytes(StandardCharsets.UTF_8);
				response.setHead(new ResponseHead(200, Headers.NONE, OptionalLong.of(body.length)));
				response.write(body);
				if (request.target().equals("/first")) {
					awaitQuietly(nextRequestSent);
				}
				response.end();
			});
			responder.start();
		})) {
			server.start();
			try (Socket socket = new Socket("127.0.0.1", port)) {
				socket.getOutputStream()
					.write("GET /first HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.UTF_8));
				assertThat(readUntil(socket, "/first")).contains("200");
				socket.getOutputStream()
					.write("GET /next HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.UTF_8));
				TimeUnit.MILLISECONDS.sleep(100);
				nextRequestSent.countDown();
				assertThat(readUntil(socket, "/next")).contains("200");
			}
		}
	}

	private static void awaitQuietly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** Fails if a client that waits for 100 Continue never receives it. */
	@Test
	void sends100ContinueWhenExpected() throws Exception {
		int port = freePort();
		try (RelayServer server = new RelayServer(new Address("127.0.0.1", port), (request, response) -> {
			response.setHead(new ResponseHead(200, Headers.NONE, OptionalLong.of(request.body().length)));
			response.write(request.body());
			response.end();
		})) {
			server.start();
			try (Socket socket = new Socket("127.0.0.1", port)) {
				socket.getOutputStream()
					.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n"
						.getBytes(StandardCharsets.UTF_8));
				assertThat(readUntil(socket, "\r\n\r\n")).contains("100");
				socket.getOutputStream().write("abc".getBytes(StandardCharsets.UTF_8));
				assertThat(readUntil(socket, "abc")).contains("200");
			}
		}
	}

	/**
	 * Fails if a client that expects 100 Continue while the response before it is under
	 * way receives it within that response, or never.
	 */
	@Test
	void sends100ContinueAfterResponseUnderWay() throws Exception {
		int port = freePort();
		BlockingQueue<ResponseWriter> responses = new LinkedBlockingQueue<>();
		try (RelayServer server = new RelayServer(new Address("127.0.0.1", port), (request, response) -> {
			response.setHead(new ResponseHead(200, Headers.NONE, OptionalLong.empty()));
			response.write(request.target().getBytes(StandardCharsets.UTF_8));
			responses.add(response);
		})) {
			server.start();
			try (Socket socket = RawHttp.connect(port)) {
				RawHttp.send(socket, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nPOST /next HTTP/1.1\r\nHost: h\r\n"
						+ "Content-Length: 2\r\nExpect: 100-continue\r\n\r\n", false);
				responses.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS).end();
				assertThat(readUntil(socket, "0\r\n\r\n")).endsWith("6\r\n/first\r\n0\r\n\r\n");
				assertThat(readUntil(socket, "\r\n\r\n")).isEqualTo("HTTP/1.1 100 Continue\r\n\r\n");
				RawHttp.send(socket, "ab", false);
				assertThat(readUntil(socket, "/next\r\n")).contains(" 200 ");
			}
		}
	}

	/**
	 * Fails if the connection of an idle client, or of one that never completes its
	 * request, stays open.
	 */
	@Test
	void closesTimedOutConnections() throws Exception {
		int port = freePort();
		try (RelayServer server = new RelayServer(new Address("127.0.0.1", port), (request, response) -> {
		})) {
			server.start();
			try (Socket partial = new Socket("127.0.0.1", port); Socket idle = new Socket("127.0.0.1", port)) {
				partial.getOutputStream().write("GET / HTTP/1.1\r\nHo".getBytes(StandardCharsets.UTF_8));
				TimeUnit.MILLISECONDS.sleep(100);
				server.closeTimedOutConnections(Duration.ofMillis(1), Duration.ofDays(1));
				assertThat(readUntil(partial, "x")).isAnyOf("", "(reset)");
				server.closeTimedOutConnections(Duration.ofDays(1), Duration.ofMillis(1));
				assertThat(readUntil(idle, "x")).isAnyOf("", "(reset)");
			}
		}
	}

	/**
	 * Fails if a connection stays open after a response that started before the shutdown,
	 * although its client sends no other request.
	 */
	@Test
	void closesConnectionAfterResponseStartedBeforeShutdown() throws Exception {
		int port = freePort();
		BlockingQueue<ResponseWriter> startedResponses = new LinkedBlockingQueue<>();
		try (RelayServer server = new RelayServer(new Address("127.0.0.1", port), (request, response) -> {
			response.setHead(new ResponseHead(200, Headers.NONE, OptionalLong.empty()));
			response.write("a".getBytes(StandardCharsets.UTF_8));
			startedResponses.add(response);
		})) {
			server.start();
			try (Socket socket = new Socket("127.0.0.1", port)) {
				socket.setSoTimeout(TIMEOUT_SECONDS * 1000);
				socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.UTF_8));
				ResponseWriter response = startedResponses.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
				assertThat(readUntil(socket, "a\r\n")).doesNotContain("close");
				server.closeAfterResponses();
				response.end();
				readUntil(socket, "0\r\n\r\n");
				for (int i = 0; server.isAnswering() && i < TIMEOUT_SECONDS * 100; i++) {
					TimeUnit.MILLISECONDS.sleep(10);
				}
				server.closeIdleConnections(Duration.ZERO);
				assertThat(socket.getInputStream().read()).isEqualTo(-1);
			}
		}
	}

	/**
	 * Fails if the handler is not told that its client has disconnected, so that the work
	 * for that client goes on.
	 */
	@Test
	void reportsClientDisconnect() throws Exception {
		int port = freePort();
		try (RelayServer server = new RelayServer(new Address("127.0.0.1", port),
				(request, response) -> response.onDisconnect(() -> this.events.add("disconnected")))) {
			server.start();
			try (Socket socket = new Socket("127.0.0.1", port)) {
				socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.UTF_8));
				socket.getOutputStream().flush();
				Thread.sleep(100);
			}
			assertThat(this.events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("disconnected");
		}
	}

	/** Fails if an aborted response ends with the final chunk, and so looks complete. */
	@Test
	void abortedResponseLacksFinalChunk() throws Exception {
		int port = freePort();
		try (RelayServer server = new RelayServer(new Address("127.0.0.1", port), (request, response) -> {
			response.setHead(new ResponseHead(200, Headers.NONE, OptionalLong.empty()));
			response.write("part".getBytes(StandardCharsets.UTF_8));
			response.abort();
		})) {
			server.start();
			try (Socket socket = new Socket("127.0.0.1", port)) {
				socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.UTF_8));
				assertThat(readUntil(socket, "0\r\n\r\n")).doesNotContain("0\r\n\r\n");
			}
		}
	}

	/** Fails if a truncated response or a connection reset is reported as complete. */
	@ParameterizedTest
	@CsvSource({ "'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab', false, end",
			"'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab', false, failed",
			"'HTTP/1.1 200 OK\r\n\r\nab', false, end", "'HTTP/1.1 200 OK\r\n\r\nab', true, failed",
			"'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n', false, failed",
			"'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n', false, end",
			"'rubbish\r\n\r\n', false, failed", "'', false, failed" })
	void distinguishesCompleteFromTruncatedResponses(String response, boolean reset, String expectedEvent)
			throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				RelayClient client = new RelayClient()) {
			Thread upstream = new Thread(() -> respond(server, response, reset));
			upstream.start();
			client.send(new Address("127.0.0.1", server.getLocalPort()),
					new RelayRequest("GET", "/", Headers.of(List.of(new HeaderField("Host", "h"))), new byte[0]),
					new Recorder());
			String event = this.events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			assertThat(event).isEqualTo(expectedEvent);
			upstream.join();
		}
	}

	/**
	 * Fails if a response that ends within its head, or within its body, is reported as
	 * complete: clients got a success with an empty or short body, framed as whole.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK\r\nEngine-Signature: e\r\nAttempt-Id: 1\r\nContent-Length: 2\r\n\r\nab",
			"HTTP/1.1 200 OK\nEngine-Signature: e\nContent-Length: 2\n\nab",
			"HTTP/1.1 200 OK\r\nEngine-Signature: e\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nEngine-Signature: e\r\nX-A: b\r\n\r\n" })
	void failsResponseCutOffAtAnyByte(String response) throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				RelayClient client = new RelayClient()) {
			for (int length = 0; length < response.length(); length++) {
				String part = response.substring(0, length);
				CompletableFuture<Void> upstream = CompletableFuture.runAsync(() -> respondAtOnce(server, part));
				client.send(new Address("127.0.0.1", server.getLocalPort()),
						new RelayRequest("GET", "/", Headers.of(List.of(new HeaderField("Host", "h"))), new byte[0]),
						new Recorder());
				assertWithMessage(part).that(this.events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("failed");
				upstream.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			}
		}
	}

	private static void respondAtOnce(ServerSocket server, String response) {
		try (Socket socket = server.accept()) {
			readUntil(socket, "\r\n\r\n");
			socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void respond(ServerSocket server, String response, boolean reset) {
		try (Socket socket = server.accept()) {
			readUntil(socket, "\r\n\r\n");
			socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
			socket.getOutputStream().flush();
			Thread.sleep(50);
			if (reset) {
				socket.setSoLinger(true, 0);
			}
		}
		catch (IOException | InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Fails if bytes without end, in a part of a response whose size should be small, are
	 * received for longer than until a limit.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nX-A: ",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: " })
	void failsResponseWithEndlessHead(String start) throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				RelayClient client = new RelayClient()) {
			CompletableFuture<Long> sent = CompletableFuture
				.supplyAsync(() -> EndlessResponse.sendUntilClosed(server, start));
			client.send(new Address("127.0.0.1", server.getLocalPort()),
					new RelayRequest("GET", "/", Headers.of(List.of(new HeaderField("Host", "h"))), new byte[0]),
					new Recorder());
			assertThat(this.events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("failed");
			assertThat(sent.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isLessThan(EndlessResponse.MAX_BYTES);
		}
	}

	/** Reads until the text ends with a suffix or the connection is closed or reset. */
	private static String readUntil(Socket socket, String suffix) throws IOException {
		ByteArrayOutputStream received = new ByteArrayOutputStream();
		InputStream in = socket.getInputStream();
		try {
			for (int nextByte = in.read(); nextByte >= 0; nextByte = in.read()) {
				received.write(nextByte);
				if (received.toString(StandardCharsets.UTF_8).endsWith(suffix)) {
					break;
				}
			}
		}
		catch (IOException ex) {
			received.writeBytes("(reset)".getBytes(StandardCharsets.UTF_8));
		}
		return received.toString(StandardCharsets.UTF_8);
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

	/**
	 * Records whether a response ended or failed.
	 */
	private final class Recorder implements ResponseListener {

		@Override
		public void onRequestStarted() {
		}

		@Override
		public void onHead(ResponseHead head) {
		}

		@Override
		public void onData(byte[] part) {
		}

		@Override
		public void onComplete() {
			RelayTest.this.events.add("end");
		}

		@Override
		public void onFailure(String reason) {
			RelayTest.this.events.add("failed");
		}

	}

}
