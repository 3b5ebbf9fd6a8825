package org.mulberrycross.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.NotRunException;
import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.Peer;
import org.mulberrycross.Step;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests request dispatch and graceful shutdown of the HTTP server, and how the client
 * classifies failed requests.
 */
class HttpListenerTest {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private static final Peer PEER = new Peer(Peer.Kind.SIBLING, "test");

	/** Fails if a graceful shutdown ends while a response is still being produced. */
	@Test
	void drainWaitsForExchangeInFlight() throws Exception {
		CountDownLatch requestReceived = new CountDownLatch(1);
		CountDownLatch releaseResponse = new CountDownLatch(1);
		try (HttpListener listener = listener((request, response) -> {
			requestReceived.countDown();
			releaseResponse.await();
			HttpMessages.writeJson(response, 200, Map.of("complete", true));
		}); HttpClient client = new HttpClient(1)) {
			CompletableFuture<HttpReply> reply = CompletableFuture.supplyAsync(() -> get(client, listener));
			requestReceived.await();
			CompletableFuture<Boolean> drained = CompletableFuture.supplyAsync(() -> drain(listener));
			assertThat(drained.isDone()).isFalse();
			releaseResponse.countDown();
			assertThat(drained.get()).isTrue();
			assertThat(new String(reply.get().body(), StandardCharsets.UTF_8)).isEqualTo("{\"complete\":true}");
		}
	}

	/**
	 * Fails if responses sent while draining do not carry {@code Connection: close}, so
	 * that clients keep using a server that is shutting down.
	 */
	@Test
	void drainingServerClosesConnections() throws Exception {
		CountDownLatch releaseResponse = new CountDownLatch(1);
		CountDownLatch requestReceived = new CountDownLatch(1);
		try (HttpListener listener = listener((request, response) -> {
			if (request.getRequestURI().equals("/slow")) {
				requestReceived.countDown();
				releaseResponse.await();
			}
			HttpMessages.writeJson(response, 200, Map.of());
		}); HttpClient client = new HttpClient(1)) {
			assertThat(get(client, listener).header("Connection").orElse("")).isNotEqualTo("close");
			CompletableFuture<HttpReply> slowReply = CompletableFuture
				.supplyAsync(() -> get(client, listener, "/slow"));
			requestReceived.await();
			CompletableFuture<Boolean> drained = CompletableFuture
				.supplyAsync(() -> drain(listener, Duration.ofSeconds(2)));
			HttpReply replyWhileDraining = get(client, listener);
			while (!replyWhileDraining.header("Connection").orElse("").equals("close")) {
				replyWhileDraining = get(client, listener);
			}
			releaseResponse.countDown();
			assertThat(slowReply.get().status()).isEqualTo(200);
			assertThat(drained.get()).isTrue();
		}
	}

	/** Fails if a request that was never sent is reported as possibly executed. */
	@Test
	void refusedConnectionIsNotRun() throws Exception {
		int port;
		try (HttpListener listener = listener((request, response) -> HttpMessages.writeJson(response, 200, Map.of()))) {
			port = listener.port();
		}
		try (HttpClient client = new HttpClient(1)) {
			assertThrows(NotRunException.class,
					() -> client.send(HttpCall.get(Step.PROBE, PEER, new Address("127.0.0.1", port), "/", TIMEOUT)));
		}
	}

	/** Fails if a response that its handler breaks off is ended as if it were whole. */
	@Test
	void responseOfFailedHandlerIsNotComplete() throws Exception {
		try (HttpListener listener = listener((request, response) -> {
			response.getOutputStream().write("part".getBytes(StandardCharsets.UTF_8));
			response.flush();
			throw new IllegalStateException("failed after the start of the response");
		}); Socket socket = RawHttp.connect(listener.port())) {
			RawHttp.send(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", false);
			assertThat(RawHttp.readToClose(socket)).doesNotContain("0\r\n\r\n");
		}
	}

	/** Fails if a request that was sent but got no response is reported as not run. */
	@Test
	void missingResponseHasUnknownOutcome() throws Exception {
		CountDownLatch releaseResponse = new CountDownLatch(1);
		try (HttpListener listener = listener((request, response) -> releaseResponse.await());
				HttpClient client = new HttpClient(1)) {
			assertThrows(OutcomeUnknownException.class, () -> client.send(HttpCall.get(Step.PROBE, PEER,
					new Address("127.0.0.1", listener.port()), "/", Duration.ofMillis(200))));
			releaseResponse.countDown();
		}
	}

	/**
	 * Fails if a request is dispatched to the handler of another path. With Grizzly's own
	 * mapper, a server with handlers for {@code /v1/step} and {@code /v1/orders}
	 * dispatched {@code /v1/step} to the handler of {@code /v1/orders}.
	 */
	@Test
	void requestsReachTheHandlerOfTheirPath() throws Exception {
		try (HttpListener listener = new HttpListener("127.0.0.1", 0, 2); HttpClient client = new HttpClient(1)) {
			listener.route(handler((request, response) -> HttpMessages.writeJson(response, 200, "orders")),
					"/v1/orders");
			listener.route(handler((request, response) -> HttpMessages.writeJson(response, 200, "below")), "/v1/x/*");
			listener.start();
			assertThat(text(get(client, listener, "/v1/orders"))).isEqualTo("\"orders\"");
			assertThat(text(get(client, listener, "/v1/x/a/b"))).isEqualTo("\"below\"");
			assertThat(get(client, listener, "/v1/step").status()).isEqualTo(404);
			assertThat(get(client, listener, "/").status()).isEqualTo(404);
			listener.route(handler((request, response) -> HttpMessages.writeJson(response, 200, "rest")), "/");
			assertThat(text(get(client, listener, "/v1/step"))).isEqualTo("\"rest\"");
			assertThat(text(get(client, listener, "/v1/orders"))).isEqualTo("\"orders\"");
		}
	}

	private static String text(HttpReply reply) {
		return new String(reply.body(), StandardCharsets.UTF_8);
	}

	private static boolean drain(HttpListener listener) {
		return drain(listener, Duration.ZERO);
	}

	private static boolean drain(HttpListener listener, Duration grace) {
		try {
			return listener.drain(grace, TIMEOUT);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static HttpReply get(HttpClient client, HttpListener listener) {
		return get(client, listener, "/");
	}

	private static HttpReply get(HttpClient client, HttpListener listener, String path) {
		try {
			return client
				.send(HttpCall.get(Step.PROBE, PEER, new Address("127.0.0.1", listener.port()), path, TIMEOUT));
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static HttpListener listener(ThrowingHandler handler) throws IOException {
		HttpListener listener = new HttpListener("127.0.0.1", 0, 4);
		listener.route(handler(handler), "/");
		listener.start();
		return listener;
	}

	private static HttpHandler handler(ThrowingHandler delegate) {
		return new HttpHandler() {

			@Override
			public void service(Request request, Response response) throws Exception {
				delegate.handle(request, response);
			}

		};
	}

	/**
	 * Handles a request; may throw any exception.
	 */
	@FunctionalInterface
	private interface ThrowingHandler {

		void handle(Request request, Response response) throws Exception;

	}

}
