package org.mulberrycross.service.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mulberrycross.http.HttpClient;
import org.mulberrycross.operator.UpstreamObject;
import org.mulberrycross.service.CallOutcome;
import org.mulberrycross.service.ServiceCall;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards the outcome that each fault of a service leads to.
 */
class HttpServiceClientTest {

	private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

	private static final String CREATED = "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok";

	private static final String REFUSED = "HTTP/1.1 503 Busy\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n";

	private static final String ERROR = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

	private static final String HALF = "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\no";

	private static final String LAST = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

	private final List<String> received = new CopyOnWriteArrayList<>();

	/**
	 * Fails if a fault is answered "not run" after the call left, or "unknown" although
	 * nothing of it left. The calls column counts the bookings that reached the service.
	 */
	@ParameterizedTest
	@CsvSource({ "true, ok, created, COMPLETED, 1", "true, ok, error, COMPLETED, 1", "true, ok, refused, NOT_RUN, 1",
			"true, ok, close, UNKNOWN, 1", "true, ok, silent, UNKNOWN, 1", "true, ok, half, UNKNOWN, 1",
			"true, silent, created, NOT_RUN, 0", "true, close, created, NOT_RUN, 0", "true, half, created, NOT_RUN, 0",
			"true, error, created, COMPLETED, 1", "true, last, created, COMPLETED, 1", "true, last, close, UNKNOWN, 1",
			"false, silent, created, COMPLETED, 1", "false, ok, close, UNKNOWN, 1" })
	void faultsBecomeOutcomes(boolean once, String probe, String booking, CallOutcome.Kind kind, int calls)
			throws IOException {
		try (ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
				HttpClient client = new HttpClient(1)) {
			start(() -> accept(server, probe, booking));
			CallOutcome outcome = send(client, server.getLocalPort(), once);
			assertThat(outcome.kind()).isEqualTo(kind);
			assertThat(this.received.stream().filter((line) -> line.startsWith("POST /bookings"))).hasSize(calls);
		}
	}

	/** Fails if a refused connection is not known to be without effect. */
	@ParameterizedTest
	@CsvSource({ "true", "false" })
	void refusedConnectionIsNotRun(boolean once) throws IOException {
		int port;
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			port = server.getLocalPort();
		}
		try (HttpClient client = new HttpClient(1)) {
			assertThat(send(client, port, once).kind()).isEqualTo(CallOutcome.Kind.NOT_RUN);
		}
	}

	private static CallOutcome send(HttpClient client, int port, boolean once) {
		HttpServiceClient service = new HttpServiceClient(client, Duration.ofMillis(500), Duration.ofSeconds(1));
		ServiceCall call = new ServiceCall("team", "crew", "POST", "/bookings", "", "", "{}".getBytes(),
				Optional.of("key"));
		return service.send(call, UpstreamObject.service("crew-1", "crew", "127.0.0.1:" + port, "dc", List.of()), once);
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	private void accept(ServerSocket server, String probe, String booking) {
		try {
			while (true) {
				Socket socket = server.accept();
				start(() -> serve(socket, probe, booking));
			}
		}
		catch (IOException ex) {
			// The test has ended.
		}
	}

	private void serve(Socket socket, String probe, String booking) {
		try (socket) {
			BufferedReader reader = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
			String first = reader.readLine();
			while (first != null) {
				this.received.add(first);
				skip(reader);
				if (!answer(socket, first.startsWith("GET") ? probe : booking)) {
					return;
				}
				first = reader.readLine();
			}
		}
		catch (IOException ex) {
			// The client has closed the connection.
		}
	}

	private static void skip(BufferedReader reader) throws IOException {
		int length = 0;
		for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
			if (line.toLowerCase().startsWith("content-length:")) {
				length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
			}
		}
		for (int i = 0; i < length; i++) {
			reader.read();
		}
	}

	private static boolean answer(Socket socket, String behaviour) throws IOException {
		if (behaviour.equals("silent")) {
			return socket.getInputStream().read() >= 0;
		}
		OutputStream out = socket.getOutputStream();
		String text = switch (behaviour) {
			case "ok" -> OK;
			case "created" -> CREATED;
			case "refused" -> REFUSED;
			case "error" -> ERROR;
			case "half" -> HALF;
			case "last" -> LAST;
			default -> "";
		};
		out.write(text.getBytes(StandardCharsets.US_ASCII));
		out.flush();
		return !List.of("close", "half", "last").contains(behaviour);
	}

}
