package org.mulberrycross.http;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mulberrycross.Address;
import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.Peer;
import org.mulberrycross.Step;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against replies of the store, a sibling or an engine that do not end.
 */
class HttpClientTest {

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);

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

}
