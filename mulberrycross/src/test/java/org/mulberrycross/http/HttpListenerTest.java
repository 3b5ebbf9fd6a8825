package org.mulberrycross.http;

import java.io.IOException;
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
 * Guards the HTTP exchanges that all encodings share, and graceful shutdown.
 */
class HttpListenerTest {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private static final Peer PEER = new Peer(Peer.Kind.SIBLING, "test");

	/** Fails if a shutdown ends before an answer that is being produced. */
	@Test
	void drainWaitsForOpenExchange() throws Exception {
		CountDownLatch arrived = new CountDownLatch(1);
		CountDownLatch release = new CountDownLatch(1);
		try (HttpListener listener = listener((request, response) -> {
			arrived.countDown();
			release.await();
			HttpMessages.reply(response, 200, Map.of("whole", true));
		}); HttpClient client = new HttpClient(1)) {
			CompletableFuture<HttpReply> reply = CompletableFuture.supplyAsync(() -> get(client, listener));
			arrived.await();
			CompletableFuture<Boolean> drained = CompletableFuture.supplyAsync(() -> drain(listener));
			assertThat(drained.isDone()).isFalse();
			release.countDown();
			assertThat(drained.get()).isTrue();
			assertThat(new String(reply.get().body(), StandardCharsets.UTF_8)).isEqualTo("{\"whole\":true}");
		}
	}

	/** Fails if a client is not told to go elsewhere during a shutdown. */
	@Test
	void drainingServerClosesConnections() throws Exception {
		CountDownLatch release = new CountDownLatch(1);
		CountDownLatch arrived = new CountDownLatch(1);
		try (HttpListener listener = listener((request, response) -> {
			if (request.getRequestURI().equals("/slow")) {
				arrived.countDown();
				release.await();
			}
			HttpMessages.reply(response, 200, Map.of());
		}); HttpClient client = new HttpClient(1)) {
			assertThat(get(client, listener).header("Connection").orElse("")).isNotEqualTo("close");
			CompletableFuture<HttpReply> slow = CompletableFuture.supplyAsync(() -> get(client, listener, "/slow"));
			arrived.await();
			CompletableFuture<Boolean> drained = CompletableFuture
				.supplyAsync(() -> drain(listener, Duration.ofSeconds(2)));
			HttpReply during = get(client, listener);
			while (!during.header("Connection").orElse("").equals("close")) {
				during = get(client, listener);
			}
			release.countDown();
			assertThat(slow.get().status()).isEqualTo(200);
			assertThat(drained.get()).isTrue();
		}
	}

	/** Fails if a call that never left the process is reported as possibly run. */
	@Test
	void refusedConnectionIsNotRun() throws Exception {
		int port;
		try (HttpListener listener = listener((request, response) -> HttpMessages.reply(response, 200, Map.of()))) {
			port = listener.port();
		}
		try (HttpClient client = new HttpClient(1)) {
			assertThrows(NotRunException.class,
					() -> client.send(HttpCall.get(Step.PROBE, PEER, new Address("127.0.0.1", port), "/", TIMEOUT)));
		}
	}

	/** Fails if a call whose reply is missing is reported as not run. */
	@Test
	void missingReplyIsUnknown() throws Exception {
		CountDownLatch release = new CountDownLatch(1);
		try (HttpListener listener = listener((request, response) -> release.await());
				HttpClient client = new HttpClient(1)) {
			assertThrows(OutcomeUnknownException.class, () -> client.send(HttpCall.get(Step.PROBE, PEER,
					new Address("127.0.0.1", listener.port()), "/", Duration.ofMillis(200))));
			release.countDown();
		}
	}

	/**
	 * Fails if a request reaches the handler of another path. Engines answered
	 * {@code /v1/step} with the handler of {@code /v1/orders} when both were served.
	 */
	@Test
	void requestsReachTheHandlerOfTheirPath() throws Exception {
		try (HttpListener listener = new HttpListener("127.0.0.1", 0, 2); HttpClient client = new HttpClient(1)) {
			listener.route(handler((request, response) -> HttpMessages.reply(response, 200, "orders")), "/v1/orders");
			listener.route(handler((request, response) -> HttpMessages.reply(response, 200, "below")), "/v1/x/*");
			listener.start();
			assertThat(text(get(client, listener, "/v1/orders"))).isEqualTo("\"orders\"");
			assertThat(text(get(client, listener, "/v1/x/a/b"))).isEqualTo("\"below\"");
			assertThat(get(client, listener, "/v1/step").status()).isEqualTo(404);
			assertThat(get(client, listener, "/").status()).isEqualTo(404);
			listener.route(handler((request, response) -> HttpMessages.reply(response, 200, "rest")), "/");
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

	private static HttpListener listener(Service service) throws IOException {
		HttpListener listener = new HttpListener("127.0.0.1", 0, 4);
		listener.route(handler(service), "/");
		listener.start();
		return listener;
	}

	private static HttpHandler handler(Service service) {
		return new HttpHandler() {

			@Override
			public void service(Request request, Response response) throws Exception {
				service.serve(request, response);
			}

		};
	}

	/**
	 * Handles a request.
	 */
	@FunctionalInterface
	private interface Service {

		void serve(Request request, Response response) throws Exception;

	}

}
