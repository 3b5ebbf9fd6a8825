package org.mulberrycross.http;

import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mulberrycross.Address;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against requests whose end is misread: a broken body that is handled as a whole
 * one, and bytes of a body that are handled as a request of their own.
 */
class RequestFramingTest {

	private static final int TIMEOUT_SECONDS = 10;

	/** Target of the requests whose responses the tests end themselves. */
	private static final String STREAM = "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n";

	/** Follows each request; a server that reads on handles it and then closes. */
	private static final String SMUGGLED = "GET /smuggled HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

	private static final String CHUNKS = "2\r\nab\r\n0\r\n\r\n";

	private static final BlockingQueue<String> HANDLED = new LinkedBlockingQueue<>();

	private static final BlockingQueue<ResponseWriter> STREAMS = new LinkedBlockingQueue<>();

	private static RelayServer relayServer;

	private static int relayPort;

	private static HttpListener listener;

	@BeforeAll
	static void startServers() throws Exception {
		try (ServerSocket socket = new ServerSocket(0)) {
			relayPort = socket.getLocalPort();
		}
		relayServer = new RelayServer(new Address("127.0.0.1", relayPort), RequestFramingTest::handle);
		relayServer.start();
		listener = new HttpListener("127.0.0.1", 0, 4);
		listener.route(new HttpHandler() {

			@Override
			public void service(Request request, Response response) throws Exception {
				Optional<byte[]> body = HttpMessages.readBody(request, 1000);
				HANDLED.add(request.getRequestURI() + " " + new String(body.orElseThrow(), StandardCharsets.UTF_8));
				HttpMessages.writeJson(response, 200, "ok");
			}

		}, "/");
		listener.start();
	}

	@AfterAll
	static void stopServers() {
		relayServer.close();
		listener.close();
	}

	@BeforeEach
	void clear() {
		HANDLED.clear();
		STREAMS.clear();
	}

	private static void handle(RelayRequest request, ResponseWriter response) {
		HANDLED.add(request.target() + " " + new String(request.body(), StandardCharsets.UTF_8));
		response.setHead(new ResponseHead(200, Headers.NONE, OptionalLong.empty()));
		response.write("part".getBytes(StandardCharsets.UTF_8));
		if (request.target().equals("/stream")) {
			STREAMS.add(response);
			return;
		}
		response.end();
	}

	private static String request(String fields, String body) {
		return "POST /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n\r\n" + body;
	}

	private static String chunked(String body) {
		return request("Transfer-Encoding: chunked", body);
	}

	/**
	 * Pattern: the HTTP client of the JDK offers HTTP/2 with the first request on a
	 * connection. Fails if such a request gets no answer, or if its body or the request
	 * after it is not read.
	 */
	@ParameterizedTest
	@MethodSource("protocolOffers")
	void ignoresOfferOfAnotherProtocol(String fields) throws Exception {
		assertOfferIgnored(relayPort, fields);
	}

	/** Fails for the same reasons on the product's own front end. */
	@ParameterizedTest
	@MethodSource("protocolOffers")
	void listenerIgnoresOfferOfAnotherProtocol(String fields) throws Exception {
		assertOfferIgnored(listener.port(), fields);
	}

	static Stream<String> protocolOffers() {
		return Stream.of("Upgrade: h2c\r\nHTTP2-Settings: AAEAAEAAAAIAAAAB\r\nConnection: Upgrade, HTTP2-Settings",
				"Connection: Upgrade\r\nUPGRADE: websocket", "Upgrade: h2c, x/1");
	}

	private static void assertOfferIgnored(int port, String fields) throws Exception {
		for (String body : List.of("", "ab")) {
			HANDLED.clear();
			try (Socket socket = RawHttp.connect(port)) {
				RawHttp.send(socket, request(fields + "\r\nContent-Length: " + body.length(), body) + SMUGGLED, false);
				assertThat(RawHttp.readToClose(socket)).startsWith("HTTP/1.1 200 ");
			}
			assertThat(HANDLED).containsExactly("/a " + body, "/smuggled ").inOrder();
		}
	}

	static Stream<Arguments> brokenRequests() {
		return Stream.of(chunked("2\r\nab\r\nxyz\r\n\r\n"), chunked("xyz\r\nab\r\n0\r\n\r\n"),
				chunked("2\r\nab\r\n\r\n\r\n"), chunked("\r\n\r\n"), chunked("2\r\nab\r\n-1\r\n\r\n"),
				chunked("+2\r\nab\r\n0\r\n\r\n"), chunked("0x2\r\nab\r\n0\r\n\r\n"),
				chunked("10000000000000002\r\nab\r\n0\r\n\r\n"), chunked("ffffffffffffffff\r\nab\r\n0\r\n\r\n"),
				chunked("1 2\r\nab\r\n0\r\n\r\n"), chunked("2\r\nabcd\r\n0\r\n\r\n"), chunked("2\r\nab0\r\n\r\n"),
				chunked("2\r\nab\n0\r\n\r\n"), chunked("2\nab\r\n0\r\n\r\n"),
				chunked("2\r\nab\r\n0\r\nno colon\r\n\r\n"), request("Transfer-Encoding: gzip, chunked", CHUNKS),
				request("Transfer-Encoding: chunked, chunked", CHUNKS),
				request("Transfer-Encoding: chunked, gzip", CHUNKS), request("Transfer-Encoding: xchunked", CHUNKS),
				request("Transfer-Encoding: chunkedx", CHUNKS), request("Transfer-Encoding: identity", CHUNKS),
				request("Transfer-Encoding:", CHUNKS),
				request("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked", CHUNKS),
				request("Transfer-Encoding : chunked", CHUNKS), request("Transfer-Encoding:\r\n chunked", CHUNKS),
				request("Transfer-Encoding: chunked\r\nContent-Length: 3", CHUNKS),
				request("Content-Length: 3\r\nTransfer-Encoding: chunked", CHUNKS),
				chunked(CHUNKS).replace("HTTP/1.1", "HTTP/1.0"), request("Content-Length: -1", "ab"),
				request("Content-Length: +2", "ab"), request("Content-Length: 2, 3", "ab"),
				request("Content-Length: abc", "ab"), request("Content-Length:", "ab"),
				request("Content-Length: 0x2", "ab"), request("Content-Length: 2 3", "ab"),
				request("Content-Length: 99999999999999999999", "ab"),
				request("Content-Length: 2\r\nContent-Length: 3", "ab"),
				request("Content-Length: 3\r\nContent-Length: 2", "ab"), request("Content-Length : 2", "ab"),
				request("Content-Length:\r\n 2", "ab"), request("no colon", ""), request("X-A: a\rb", ""),
				"rubbish\r\n\r\n", "GET /a\r\n\r\n", "GET /a HTTP/1.1\r\n\r\n", "GET /a HTTP/3.7\r\nHost: h\r\n\r\n",
				"GET /a HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n", "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
				"GET /a HTTP/1.1\r\nHost: h\r\nX-A: a\0b\r\n\r\n", "GET /a HTTP/1.1\r\n X-A: a\r\nHost: h\r\n\r\n",
				"GET /a HTTP/1.1\r\nHost: h\r\nX-A: " + "a".repeat(80_000))
			.flatMap((text) -> Stream.of(Arguments.of(text, false), Arguments.of(text, true)));
	}

	/**
	 * Fails if the handler receives a broken request, or what follows one, or if the
	 * connection of a broken request stays open: an engine ran a request with a changed
	 * body, or a part of a body as a request.
	 */
	@ParameterizedTest
	@MethodSource("brokenRequests")
	void refusesBrokenRequestOfCaller(String broken, boolean bytewise) throws Exception {
		assertRefused(relayPort, broken, bytewise);
	}

	/** Fails for the same reasons on the product's own front end. */
	@ParameterizedTest
	@MethodSource("brokenRequests")
	void refusesBrokenRequestOnListener(String broken, boolean bytewise) throws Exception {
		assertRefused(listener.port(), broken, bytewise);
	}

	/** Fails if the sender of a broken head cannot tell the refusal from a crash. */
	@ParameterizedTest
	@ValueSource(strings = { "GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\n" })
	void answersBrokenHeadOnListener(String broken) throws Exception {
		try (Socket socket = RawHttp.connect(listener.port())) {
			RawHttp.send(socket, broken, false);
			assertThat(RawHttp.readToClose(socket)).startsWith("HTTP/1.1 400 ");
		}
	}

	private static void assertRefused(int port, String broken, boolean bytewise) throws Exception {
		try (Socket socket = RawHttp.connect(port)) {
			RawHttp.send(socket, broken + SMUGGLED, bytewise);
			String response = RawHttp.readToClose(socket);
			assertThat(HANDLED).isEmpty();
			assertThat(response).doesNotContain(" 200 ");
		}
	}

	static Stream<Arguments> soundRequests() {
		return Stream.of(chunked(CHUNKS), request("Transfer-Encoding: Chunked", CHUNKS),
				request("TRANSFER-ENCODING: CHUNKED", CHUNKS), request("transfer-encoding:chunked ", CHUNKS),
				chunked("1\r\na\r\n001\r\nb\r\n00\r\n\r\n"), chunked("2\r\nab\r\n0\r\nX-Trailer: c\r\n\r\n"),
				request("Content-Length: 2", "ab"), request("content-length:2 ", "ab"),
				request("Content-Length: 2\r\nContent-Length: 2", "ab"), "\r\n" + request("Content-Length: 2", "ab"),
				request("Content-Length: 2", "ab").replace("\r\n", "\n"))
			.flatMap((text) -> Stream.of(Arguments.of(text, false), Arguments.of(text, true)));
	}

	/**
	 * Fails if a request in one of the framings that the protocol allows loses its body
	 * or is refused, however the network splits it: with {@code Transfer-Encoding:
	 * Chunked} in several reads, an engine received an empty body.
	 */
	@ParameterizedTest
	@MethodSource("soundRequests")
	void handlesSoundRequestOfCaller(String sound, boolean bytewise) throws Exception {
		assertHandled(relayPort, sound, bytewise);
	}

	/** Fails for the same reasons on the product's own front end. */
	@ParameterizedTest
	@MethodSource("soundRequests")
	void handlesSoundRequestOnListener(String sound, boolean bytewise) throws Exception {
		assertHandled(listener.port(), sound, bytewise);
	}

	private static void assertHandled(int port, String sound, boolean bytewise) throws Exception {
		try (Socket socket = RawHttp.connect(port)) {
			RawHttp.send(socket, sound + SMUGGLED, bytewise);
			RawHttp.readToClose(socket);
			assertThat(HANDLED).containsExactly("/a ab", "/smuggled ").inOrder();
		}
	}

	/** Fails if a request that is cut off before its last byte reaches the handler. */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void refusesRequestCutOffAtAnyByte(boolean reset) throws Exception {
		for (int port : List.of(relayPort, listener.port())) {
			for (String request : List.of(chunked(CHUNKS), request("Content-Length: 2", "ab"))) {
				for (int length = 0; length < request.length(); length++) {
					try (Socket socket = RawHttp.connect(port)) {
						RawHttp.send(socket, request.substring(0, length), false);
						socket.setSoLinger(reset, 0);
					}
				}
			}
			try (Socket socket = RawHttp.connect(port)) {
				RawHttp.send(socket, SMUGGLED, false);
				RawHttp.readToClose(socket);
			}
		}
		assertThat(HANDLED).containsExactly("/smuggled ", "/smuggled ");
	}

	/**
	 * Fails if bytes behind a request change the response that is under way, to which an
	 * error response or an interim one was added in the middle of its chunks.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "rubbish\r\n\r\n", "GET /a HTTP/1.1\r\n\r\n", "GET /a HTTP/3.7\r\nHost: h\r\n\r\n",
			"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: abc\r\n\r\n",
			"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n",
			"POST /a HTTP/1.1\r\nHost: h\r\nExpect: nothing\r\n\r\n",
			"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
			"GET /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			"GET /a HTTP/1.1\r\nHost: h:abc\r\n\r\n", "GET http://h:abc/a HTTP/1.1\r\nHost: h\r\n\r\n",
			"HEAD /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab",
			"DELETE /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab",
			"OPTIONS /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab",
			"QUERY /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab",
			"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nab\r\n0\r\n\r\n",
			"GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab" })
	void leavesResponseUnderWayUnchanged(String next) throws Exception {
		for (boolean bytewise : new boolean[] { false, true }) {
			try (Socket socket = RawHttp.connect(relayPort)) {
				RawHttp.send(socket, STREAM, false);
				ResponseWriter stream = STREAMS.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
				RawHttp.send(socket, next, bytewise);
				socket.shutdownOutput();
				String received = RawHttp.readToClose(socket);
				stream.end();
				String body = received.substring(received.indexOf("\r\n\r\n") + 4);
				assertWithMessage(next).that(body).isEqualTo("4\r\npart\r\n");
			}
		}
	}

}
