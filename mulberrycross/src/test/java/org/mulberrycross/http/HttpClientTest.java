package org.mulberrycross.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mulberrycross.Address;
import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against replies of the store, a sibling or an engine that do not end, and
 * against connections to them that go silent.
 */
class HttpClientTest {

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);

	/** For what is answered, also on a busy machine. */
	private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(10);

	private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(300);

	/** Longer than the pause within a body that is accepted after the timeout. */
	private static final long PAUSE_MILLIS = 1200;

	private static final long MAX_WAIT_SECONDS = 20;

	/** Fails if a reply without end fills the memory. */
	@ParameterizedTest
	@ValueSource(strings = { "", "HTTP/1.1 200 OK\r\nX-A: ", "HTTP/1.1 200 OK\r\n\r\n",
			"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n" })
	void failsReplyWithoutEnd(String start) throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				HttpClient client = new HttpClient(1)) {
			CompletableFuture<Long> sent = CompletableFuture
				.supplyAsync(() -> EndlessResponse.sendUntilClosed(server, start));
			HttpCall call = HttpCall.get(Step.READ_OBJECT, new Peer(Peer.Kind.PLATFORM, "store"),
					new Address("127.0.0.1", server.getLocalPort()), "/objects/servers", CALL_TIMEOUT);
			assertThrows(OutcomeUnknownException.class, () -> client.send(call));
			assertThat(sent.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isLessThan(EndlessResponse.MAX_BYTES);
		}
	}

	/** Fails if a reply without end is read without end where it is not kept. */
	@ParameterizedTest
	@ValueSource(strings = { "", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n" })
	void readerFailsReplyWithoutEnd(String start) throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				HttpClient client = new HttpClient(1)) {
			CompletableFuture<Long> sent = CompletableFuture
				.supplyAsync(() -> EndlessResponse.sendUntilClosed(server, start));
			HttpCall call = HttpCall
				.get(Step.READ_OBJECT, new Peer(Peer.Kind.PLATFORM, "store"),
						new Address("127.0.0.1", server.getLocalPort()), "/objects/servers", CALL_TIMEOUT)
				.withMaxReplyBytes(1 << 20);
			assertThrows(OutcomeUnknownException.class,
					() -> client.read(call, (status, body) -> body.transferTo(OutputStream.nullOutputStream())));
			assertThat(sent.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isLessThan(EndlessResponse.MAX_BYTES);
		}
	}

	/**
	 * Pattern: the store sends the head of the answer to a watch at once and the changes
	 * when there are some. Fails if the pause before them counts as silence.
	 */
	@Test
	void waitsForBodyUntilTimeoutOfCall() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				HttpClient client = new HttpClient(1)) {
			CompletableFuture.runAsync(() -> answerAfterPause(server));
			HttpCall call = HttpCall.get(Step.WATCH, new Peer(Peer.Kind.PLATFORM, "store"),
					new Address("127.0.0.1", server.getLocalPort()), "/objects/servers", ANSWER_TIMEOUT);
			byte[] read = client.read(call, (status, body) -> body.readAllBytes());
			assertThat(read).isEqualTo(new byte[] { '{', '}' });
		}
	}

	private static void answerAfterPause(ServerSocket server) {
		try (Socket socket = server.accept()) {
			// Answers once the request has arrived.
			socket.getInputStream().read();
			socket.getOutputStream()
				.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{".getBytes(StandardCharsets.UTF_8));
			TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
			socket.getOutputStream().write('}');
			socket.getInputStream().transferTo(OutputStream.nullOutputStream());
		}
		catch (IOException | InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Fails if the call after one without a reply takes another idle connection, which
	 * may have gone silent at the same moment. Each such connection cost the followers of
	 * the store a further timeout, while new connections worked.
	 */
	@Test
	void idleConnectionsAreNotUsedAfterOneWentSilent() throws Exception {
		try (SilentConnections server = new SilentConnections(); HttpClient client = new HttpClient(1)) {
			HttpCall call = HttpCall.get(Step.READ_OBJECT, new Peer(Peer.Kind.PLATFORM, "store"), server.address(),
					"/objects/servers", ANSWER_TIMEOUT);
			CompletableFuture<Void> other = CompletableFuture.runAsync(() -> sendQuietly(client, call));
			sendQuietly(client, call);
			other.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
			server.silenceOpenConnections();
			HttpCall shortCall = HttpCall.get(Step.READ_OBJECT, call.peer(), server.address(), call.path(),
					SILENCE_TIMEOUT);
			assertThrows(OutcomeUnknownException.class, () -> client.send(shortCall));
			assertThat(client.send(call).status()).isEqualTo(200);
		}
	}

	private static void sendQuietly(HttpClient client, HttpCall call) {
		try {
			client.send(call);
		}
		catch (PeerException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
