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
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.mulberrycross.Address;
import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against interim responses of servers that are taken for the response itself: the
 * response that followed one was passed on as its body and completed by the close.
 */
class InterimResponseTest {

	private static final int TIMEOUT_SECONDS = 10;

	private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

	private static final String PROCESSING = "HTTP/1.1 102 Processing\r\n\r\n";

	private static final String EARLY_HINTS = "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n";

	private static final String FINAL = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";

	private static final String FAILED = "failed";

	static Stream<Arguments> responses() {
		return Stream
			.of(new String[] { FINAL, "200 ab" }, new String[] { CONTINUE + FINAL, "200 ab" },
					new String[] { PROCESSING + FINAL, "200 ab" }, new String[] { EARLY_HINTS + FINAL, "200 ab" },
					new String[] { CONTINUE + PROCESSING + EARLY_HINTS + FINAL, "200 ab" },
					new String[] { "HTTP/1.1 199 Other\r\n\r\n" + FINAL, "200 ab" },
					new String[] { "HTTP/1.1 100\r\n\r\n" + FINAL, "200 ab" },
					new String[] { "HTTP/1.1 100 Continue\n\n" + FINAL, "200 ab" },
					new String[] { "HTTP/1.1  103 Early Hints\r\n\r\n" + FINAL, "200 ab" },
					new String[] { "\r\n" + EARLY_HINTS + FINAL, FAILED },
					new String[] { EARLY_HINTS + "\r\n" + FINAL, FAILED },
					new String[] {
							EARLY_HINTS + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
							"200 ab" },
					new String[] {
							EARLY_HINTS + "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
							"200 ab" },
					new String[] { FINAL.replace("ab", "\r\n"), "200 \r\n" }, new String[] { CONTINUE, FAILED },
					new String[] { EARLY_HINTS, FAILED }, new String[] { EARLY_HINTS + "HTTP/1.1 200 OK\r\n", FAILED },
					new String[] { "HTTP/1.1 101 Switching Protocols\r\n\r\n" + FINAL, FAILED },
					new String[] { CONTINUE + "HTTP/1.1 101 Switching Protocols\r\n\r\n" + FINAL, FAILED },
					new String[] { CONTINUE.repeat(10_000) + FINAL, FAILED })
			.flatMap((row) -> (row[0].length() < 1000)
					? Stream.of(Arguments.of(row[0], row[1], false), Arguments.of(row[0], row[1], true))
					: Stream.of(Arguments.of(row[0], row[1], false)));
	}

	/**
	 * Fails if an interim response is passed on to a client, or if one makes the response
	 * fail that follows it, however the network splits them.
	 */
	@ParameterizedTest
	@MethodSource("responses")
	void relayClientSkipsInterimResponses(String response, String expected, boolean bytewise) throws Exception {
		Recorder recorder = new Recorder();
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				RelayClient client = new RelayClient()) {
			CompletableFuture<Void> responder = CompletableFuture.runAsync(() -> respond(server, response, bytewise));
			client.send(new Address("127.0.0.1", server.getLocalPort()),
					new RelayRequest("GET", "/", Headers.of(List.of(new HeaderField("Host", "h"))), new byte[0]),
					recorder);
			assertThat(recorder.outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(expected);
			responder.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
	}

	/** Fails for the same reasons in calls of the platform, siblings and services. */
	@ParameterizedTest
	@MethodSource("responses")
	void httpClientSkipsInterimResponses(String response, String expected, boolean bytewise) throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				HttpClient client = new HttpClient(1)) {
			CompletableFuture<Void> responder = CompletableFuture.runAsync(() -> respond(server, response, bytewise));
			assertThat(outcome(client, server.getLocalPort())).isEqualTo(expected);
			responder.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
	}

	private static String outcome(HttpClient client, int port) throws PeerException {
		try {
			HttpReply reply = client.send(HttpCall.get(Step.PROBE, new Peer(Peer.Kind.SIBLING, "test"),
					new Address("127.0.0.1", port), "/", Duration.ofSeconds(TIMEOUT_SECONDS)));
			return reply.status() + " " + new String(reply.body(), StandardCharsets.UTF_8);
		}
		catch (OutcomeUnknownException ex) {
			return FAILED;
		}
	}

	private static void respond(ServerSocket server, String response, boolean bytewise) {
		try (Socket socket = server.accept()) {
			socket.setTcpNoDelay(true);
			String request = "";
			while (!request.endsWith("\r\n\r\n")) {
				request += (char) socket.getInputStream().read();
			}
			RawHttp.send(socket, response, bytewise);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Records the status and the body of a response, or its failure.
	 */
	private static final class Recorder implements ResponseListener {

		private final CompletableFuture<String> outcome = new CompletableFuture<>();

		private final StringBuilder received = new StringBuilder();

		@Override
		public void onRequestStarted() {
		}

		@Override
		public void onHead(ResponseHead head) {
			this.received.append(head.status()).append(' ');
		}

		@Override
		public void onData(byte[] part) {
			this.received.append(new String(part, StandardCharsets.UTF_8));
		}

		@Override
		public void onComplete() {
			this.outcome.complete(this.received.toString());
		}

		@Override
		public void onFailure(String reason) {
			this.outcome.complete(FAILED);
		}

	}

}
