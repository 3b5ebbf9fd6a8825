package org.mulberrycross.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mulberrycross.Address;
import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.Peer;
import org.mulberrycross.Step;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against responses whose end is taken from the wrong place: a broken stream that
 * looks complete, or chunk lines that are taken for its data. Each response is sent in
 * two parts, divided at every byte, through both clients.
 */
class ResponseFramingTest {

	private static final int TIMEOUT_SECONDS = 10;

	private static final String FAILED = "failed";

	private static final String FAILED_BEFORE_HEAD = "failed before head";

	private ServerSocket server;

	private RelayClient relayClient;

	private HttpClient pooledClient;

	@BeforeEach
	void start() throws IOException {
		this.server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
		this.relayClient = new RelayClient();
		this.pooledClient = new HttpClient(1);
	}

	@AfterEach
	void stop() throws IOException {
		this.relayClient.close();
		this.pooledClient.close();
		this.server.close();
	}

	/** Fails if the end of a sound response is missed, or its data is altered. */
	@ParameterizedTest
	@CsvSource({ "'Transfer-Encoding: chunked', '2\r\nab\r\n0\r\n\r\n', ab",
			"'Transfer-Encoding: Chunked', '2\r\nab\r\n0\r\n\r\n', ab",
			"'TRANSFER-ENCODING:CHUNKED ', '02\r\na\n\r\n000\r\n\r\n', 'a\n'",
			"'Transfer-Encoding:\r\n chunked', '2\r\nab\r\n0\r\n\r\n', ab",
			"'Transfer-Encoding: chunked', '1;a=\"b\"\r\na\r\n1 ; c\r\nb\r\n0;d\r\nX-A: b\r\nX-B:\r\n\r\n', ab",
			"'Transfer-Encoding: chunked', 'a\r\n0\r\n\r\n0\r\n\r\n\r\n0\r\n\r\n', '0\r\n\r\n0\r\n\r\n'",
			"'Content-Length: 2', ab, ab", "'Upgrade: h2,h2c\r\nContent-Length: 2', ab, ab",
			"'Transfer-Encoding: chunked\r\nUpgrade: h2c', '2\r\nab\r\n0\r\n\r\n', ab",
			"'Content-Length: 2\r\nContent-Length: 2', ab, ab" })
	void completesSoundResponse(String fields, String body, String expectedBody) throws Exception {
		assertOutcome("HTTP/1.1 200 OK\r\n" + fields + "\r\n\r\n" + body, expectedBody);
	}

	/**
	 * Fails if a head that leaves the length of the body unclear is passed on. Callers
	 * got chunk lines as data, and streams that broke off as complete.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\n2\r\nab\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nab", "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\nab",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nab\r\n",
			"HTTP/1.1 200 OK\r\n Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nab\r\n0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nContent-Length: 7\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
			"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nab",
			"HTTP/1.1 200 OK\r\nX: a\r\rTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nX: a\rContent-Length: 9\r\n\r\nab",
			"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nabc",
			"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nab", "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nab",
			"HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nab", "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nab",
			"HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nab", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nab" })
	void failsUnsoundHead(String response) throws Exception {
		assertOutcome(response, FAILED_BEFORE_HEAD);
	}

	/**
	 * Fails if a head whose status is none of HTTP is passed on. Callers got answers with
	 * status 000.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "000", "001", "010", "099", "600", "700", "999", "+20", "2O0" })
	void failsStatusOutsideRange(String status) throws Exception {
		assertOutcome("HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nab", FAILED_BEFORE_HEAD);
	}

	/**
	 * Fails if a chunk that is longer than its size, or is not followed by a line end, is
	 * cut and the response completed.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "2\r\nabcd\r\n0\r\n\r\n", "2\r\nab0\r\n\r\n", "2\r\nab\n0\r\n\r\n", "2\nab\r\n0\r\n\r\n",
			"2\r\nab\r\n0\n\r\n", "2\r\nab\r\n0\r\n\n", "2\r\nab\r\n0\r\nab\r\n\r\n", "2\r\nab\r\n0\r\nX A: b\r\n\r\n",
			"2 2\r\nab\r\n0\r\n\r\n", "2;a\rb\r\nab\r\n0\r\n\r\n", "\r\n0\r\n\r\n", "g\r\nab\r\n0\r\n\r\n",
			"0000000000000002\r\nab\r\n0\r\n\r\n", "2\r\nab\r\n\r\n0\r\n\r\n", "2\r\nab\r\n0\r\n" })
	void failsUnsoundChunks(String body) throws Exception {
		assertOutcome("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body, FAILED);
	}

	/** Fails if the length of a body that is not sent is waited for. */
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n",
			"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
			"HTTP/1.0 200\r\nContent-Length: 0\r\n\r\n" })
	void completesResponseWithoutBody(String response) throws Exception {
		assertOutcome(response, "");
	}

	private void assertOutcome(String response, String expected) throws Exception {
		for (int length = 1; length <= response.length(); length++) {
			String[] parts = { response.substring(0, length), response.substring(length) };
			String relayed = relay(parts);
			boolean headMayBePassed = expected.equals(FAILED) && relayed.startsWith(FAILED);
			assertWithMessage(String.join("|", parts))
				.that(List.of(headMayBePassed ? FAILED : relayed, sendPooled(parts)))
				.containsExactly(expected, expected.startsWith(FAILED) ? FAILED : expected)
				.inOrder();
		}
	}

	private String relay(String[] parts) throws Exception {
		CompletableFuture<Void> upstream = CompletableFuture.runAsync(() -> respond(parts));
		Recorder recorder = new Recorder();
		this.relayClient.send(address(),
				new RelayRequest("GET", "/", Headers.of(List.of(new HeaderField("Host", "h"))), new byte[0]), recorder);
		upstream.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		return recorder.outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	private String sendPooled(String[] parts) throws Exception {
		CompletableFuture<Void> upstream = CompletableFuture.runAsync(() -> respond(parts));
		HttpCall call = HttpCall
			.get(Step.READ_OBJECT, new Peer(Peer.Kind.PLATFORM, "store"), address(), "/",
					Duration.ofSeconds(TIMEOUT_SECONDS))
			.withNewConnection();
		try {
			return new String(this.pooledClient.send(call).body(), StandardCharsets.UTF_8);
		}
		catch (OutcomeUnknownException ex) {
			return FAILED;
		}
		finally {
			upstream.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
	}

	private Address address() {
		return new Address("127.0.0.1", this.server.getLocalPort());
	}

	private void respond(String[] parts) {
		try (Socket socket = this.server.accept()) {
			socket.setTcpNoDelay(true);
			byte[] request = new byte[4096];
			if (socket.getInputStream().read(request) < 0) {
				return;
			}
			socket.getOutputStream().write(parts[0].getBytes(StandardCharsets.US_ASCII));
			// Lets the client read the first part by itself.
			TimeUnit.MILLISECONDS.sleep(1);
			socket.getOutputStream().write(parts[1].getBytes(StandardCharsets.US_ASCII));
		}
		catch (IOException ex) {
			// Expected: the client closes the connection once the first part is unsound.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Records the body of a complete response, or how far one that failed got.
	 */
	private static final class Recorder implements ResponseListener {

		private final CompletableFuture<String> outcome = new CompletableFuture<>();

		private final StringBuilder body = new StringBuilder();

		private boolean headReceived;

		@Override
		public void onRequestStarted() {
		}

		@Override
		public void onHead(ResponseHead head) {
			this.headReceived = true;
		}

		@Override
		public void onData(byte[] part) {
			this.body.append(new String(part, StandardCharsets.US_ASCII));
		}

		@Override
		public void onComplete() {
			this.outcome.complete(this.body.toString());
		}

		@Override
		public void onFailure(String reason) {
			this.outcome.complete(this.headReceived ? FAILED : FAILED_BEFORE_HEAD);
		}

	}

}
