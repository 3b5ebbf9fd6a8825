package org.mulberrycross.router.relay;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.http.Headers;
import org.mulberrycross.http.RelayServer;
import org.mulberrycross.http.ResponseHead;
import org.mulberrycross.http.ResponseWriter;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a planned stop that ends the process while a client waits for its
 * response or a part of it.
 */
class GracefulShutdownTest {

	private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

	private static final LongConsumer REFUSE_NOTHING = (nanos) -> {
	};

	private static final Consumer<String> IGNORE_REASON = (reason) -> {
	};

	private final BlockingQueue<ResponseWriter> taken = new ArrayBlockingQueue<>(1);

	/**
	 * Fails if the process ends while a request waits for the control thread, which has
	 * not counted it yet.
	 */
	@Test
	void waitsForRequestThatIsNotCountedYet() throws Exception {
		int port = freePort();
		RelayServer server = startServer(port);
		try (Socket client = new Socket("127.0.0.1", port)) {
			try (server) {
				client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
				ResponseWriter response = this.taken.take();
				CountDownLatch checked = new CountDownLatch(2);
				new Thread(() -> respondAfter(checked, response)).start();
				new GracefulShutdown(
						new GracefulShutdown.Requests(() -> countCheck(checked), REFUSE_NOTHING, IGNORE_REASON), server,
						MonotonicClock.system())
					.run(Duration.ofMinutes(1));
			}
			assertThat(readToClose(client)).endsWith("\r\n\r\nanswer");
		}
	}

	/**
	 * Fails if a request that is in flight at the end of the grace period gets no answer.
	 */
	@Test
	void failsRequestsInFlightAtEndOfGracePeriod() throws Exception {
		int port = freePort();
		RelayServer server = startServer(port);
		try (Socket client = new Socket("127.0.0.1", port)) {
			try (server) {
				client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
				ResponseWriter response = this.taken.take();
				new GracefulShutdown(
						new GracefulShutdown.Requests(() -> 1, REFUSE_NOTHING, (reason) -> respond(response, reason)),
						server, MonotonicClock.system())
					.run(Duration.ofSeconds(1));
			}
			assertThat(readToClose(client)).endsWith("\r\n\r\ndaemon stops");
		}
	}

	private static String readToClose(Socket client) throws IOException {
		return new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
	}

	private RelayServer startServer(int port) throws Exception {
		RelayServer server = new RelayServer(new Address("127.0.0.1", port),
				(request, response) -> this.taken.add(response));
		server.start();
		return server;
	}

	private static int countCheck(CountDownLatch checked) {
		checked.countDown();
		return 0;
	}

	// Responds once the shutdown has looked for requests in flight after it was logged.
	private static void respondAfter(CountDownLatch checked, ResponseWriter response) {
		try {
			checked.await();
			TimeUnit.MILLISECONDS.sleep(200);
			respond(response, "answer");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void respond(ResponseWriter response, String body) {
		byte[] bytes = body.getBytes(StandardCharsets.US_ASCII);
		response.setHead(new ResponseHead(200, Headers.NONE, OptionalLong.of(bytes.length)));
		response.write(bytes);
		response.end();
	}

	private static int freePort() throws Exception {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

}
