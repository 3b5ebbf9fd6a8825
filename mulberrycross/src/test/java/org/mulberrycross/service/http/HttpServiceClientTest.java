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
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mulberrycross.http.HttpClient;
import org.mulberrycross.operator.UpstreamObject;
import org.mulberrycross.service.CallOutcome;
import org.mulberrycross.service.ServiceCall;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against wrong outcomes for faults of a service or its connection.
 */
class HttpServiceClientTest {

	private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

	private static final String CREATED = "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok";

	private static final String NOT_RUN = "HTTP/1.1 503 Busy\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n";

	private static final String SERVER_ERROR = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

	private static final String TRUNCATED = "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\no";

	private static final String OK_AND_CLOSE = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

	private static final long REPETITION_DELAY_MILLIS = 50;

	private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(1);

	/** For what is answered, also on a busy machine. */
	private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(10);

	private final List<String> requestLines = new CopyOnWriteArrayList<>();

	/**
	 * Fails if the outcome is "not run" after the call was sent, or "unknown" although
	 * nothing of it was sent. The last column counts the calls that reach the service.
	 */
	@ParameterizedTest
	@CsvSource({ "true, ok, created, COMPLETED, 1", "true, ok, error, COMPLETED, 1", "true, ok, not run, NOT_RUN, 1",
			"true, ok, close, UNKNOWN, 1", "true, ok, silent, UNKNOWN, 1", "true, ok, truncated, UNKNOWN, 1",
			"true, silent, created, NOT_RUN, 0", "true, close, created, NOT_RUN, 0",
			"true, truncated, created, NOT_RUN, 0", "true, error, created, COMPLETED, 1",
			"true, refusal twice, slow, COMPLETED, 1", "true, ok and close, created, COMPLETED, 1",
			"true, ok and close, close, UNKNOWN, 1", "false, silent, created, COMPLETED, 1",
			"false, ok, close, UNKNOWN, 1" })
	void faultsMapToOutcomes(boolean atMostOnce, String probeResponse, String callResponse, CallOutcome.Kind kind,
			int calls) throws IOException, InterruptedException {
		try (ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
				HttpClient client = new HttpClient(1)) {
			startDaemonThread(() -> acceptConnections(server, probeResponse, callResponse));
			CallOutcome outcome = send(client, server.getLocalPort(), atMostOnce, timeout(probeResponse),
					timeout(callResponse));
			assertThat(outcome.kind()).isEqualTo(kind);
			awaitCalls(calls);
			assertThat(this.requestLines.stream().filter((line) -> line.startsWith("POST /bookings"))).hasSize(calls);
		}
	}

	// Waits for calls that were sent, but that the service may not have read yet.
	private void awaitCalls(int calls) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + ANSWER_TIMEOUT.toNanos();
		while (this.requestLines.stream().filter((line) -> line.startsWith("POST /bookings")).count() < calls
				&& System.nanoTime() < deadlineNanos) {
			TimeUnit.MILLISECONDS.sleep(10);
		}
	}

	/** Fails if the outcome of a refused connection is not "not run". */
	@ParameterizedTest
	@CsvSource({ "true", "false" })
	void refusedConnectionIsNotRun(boolean atMostOnce) throws IOException {
		int port;
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			port = server.getLocalPort();
		}
		try (HttpClient client = new HttpClient(1)) {
			assertThat(send(client, port, atMostOnce, ANSWER_TIMEOUT, ANSWER_TIMEOUT).kind())
				.isEqualTo(CallOutcome.Kind.NOT_RUN);
		}
	}

	private static Duration timeout(String response) {
		return response.equals("silent") ? SILENCE_TIMEOUT : ANSWER_TIMEOUT;
	}

	private static CallOutcome send(HttpClient client, int port, boolean atMostOnce, Duration probeTimeout,
			Duration callTimeout) {
		HttpServiceClient service = new HttpServiceClient(client, probeTimeout, callTimeout);
		ServiceCall call = new ServiceCall("team", "crew", "POST", "/bookings", "", "", "{}".getBytes(),
				Optional.of("key"));
		return service.send(call, UpstreamObject.service("crew-1", "crew", "127.0.0.1:" + port, "dc", List.of()),
				atMostOnce);
	}

	private static void startDaemonThread(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	private void acceptConnections(ServerSocket server, String probeResponse, String callResponse) {
		try {
			while (true) {
				Socket socket = server.accept();
				startDaemonThread(() -> serveConnection(socket, probeResponse, callResponse));
			}
		}
		catch (IOException ex) {
			// The test closed the socket.
		}
	}

	private void serveConnection(Socket socket, String probeResponse, String callResponse) {
		try (socket) {
			BufferedReader reader = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
			String requestLine = reader.readLine();
			while (requestLine != null) {
				this.requestLines.add(requestLine);
				skipHeadersAndBody(reader);
				if (!sendResponse(socket, requestLine.startsWith("GET") ? probeResponse : callResponse)) {
					return;
				}
				requestLine = reader.readLine();
			}
		}
		catch (IOException ex) {
			// The client closed the connection.
		}
	}

	private static void skipHeadersAndBody(BufferedReader reader) throws IOException {
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

	// Writes a response that was already written once more, while the next request runs.
	private static void repeatLater(OutputStream out, String response) {
		try {
			pause(REPETITION_DELAY_MILLIS);
			out.write(response.getBytes(StandardCharsets.US_ASCII));
			out.flush();
		}
		catch (IOException ex) {
			// The client closed the connection.
		}
	}

	private static void pause(long millis) throws IOException {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

	private static boolean sendResponse(Socket socket, String responseName) throws IOException {
		if (responseName.equals("silent")) {
			return socket.getInputStream().read() >= 0;
		}
		OutputStream out = socket.getOutputStream();
		String response = switch (responseName) {
			case "ok" -> OK;
			case "created", "slow" -> CREATED;
			case "not run", "refusal twice" -> NOT_RUN;
			case "error" -> SERVER_ERROR;
			case "truncated" -> TRUNCATED;
			case "ok and close" -> OK_AND_CLOSE;
			default -> "";
		};
		if (responseName.equals("slow")) {
			pause(4 * REPETITION_DELAY_MILLIS);
		}
		out.write(response.getBytes(StandardCharsets.US_ASCII));
		out.flush();
		if (responseName.equals("refusal twice")) {
			startDaemonThread(() -> repeatLater(out, response));
		}
		return !List.of("close", "truncated", "ok and close").contains(responseName);
	}

}
