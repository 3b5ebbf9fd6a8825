import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;

/** Small HTTP/1.1 server on a free loopback port, with a thread for each connection. */
final class HttpServerStandIn {

	/** Handles one request. An exception ends the connection without an answer. */
	interface Handler {

		Answer handle(Request request) throws Exception;

	}

	record Request(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body,
			Socket connection) {

	}

	/** An answer; one without a body has been written by the handler itself. */
	record Answer(int status, Map<String, String> headers, byte[] body) {

		static final Answer WRITTEN = new Answer(0, Map.of(), null);

		static Answer json(int status, JsonNode body) {
			try {
				return new Answer(status, Map.of("Content-Type", "application/json"),
						Json.MAPPER.writeValueAsBytes(body));
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		}

		Answer with(String name, String value) {
			Map<String, String> more = new LinkedHashMap<>(this.headers);
			more.put(name, value);
			return new Answer(this.status, more, this.body);
		}

	}

	private final ServerSocket socket;

	private final Handler handler;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private volatile boolean closed;

	HttpServerStandIn(String name, Handler handler) throws IOException {
		this.socket = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
		this.handler = handler;
		start(name, this::accept);
	}

	static void start(String name, Runnable task) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		thread.start();
	}

	String address() {
		return "127.0.0.1:" + this.socket.getLocalPort();
	}

	List<Socket> openConnections() {
		return List.copyOf(this.connections);
	}

	/** Stops listening and resets all connections, as the end of a process does. */
	void close() {
		this.closed = true;
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			// Closed all the same.
		}
		this.connections.forEach(HttpServerStandIn::reset);
	}

	static void reset(Socket connection) {
		try {
			connection.setSoLinger(true, 0);
			connection.close();
		}
		catch (IOException ex) {
			// Closed by the other side.
		}
	}

	private void accept() {
		while (!this.closed) {
			try {
				Socket connection = this.socket.accept();
				connection.setTcpNoDelay(true);
				this.connections.add(connection);
				start("connection", () -> serve(connection));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			InputStream in = new BufferedInputStream(connection.getInputStream());
			OutputStream out = connection.getOutputStream();
			while (true) {
				Request request = read(in, connection);
				if (request == null) {
					return;
				}
				Answer answer = this.handler.handle(request);
				if (answer == Answer.WRITTEN) {
					return;
				}
				write(out, answer);
				if ("close".equalsIgnoreCase(request.headers().get("connection"))) {
					return;
				}
			}
		}
		catch (Exception ex) {
			// The connection ends.
		}
		finally {
			this.connections.remove(connection);
		}
	}

	private static Request read(InputStream in, Socket connection) throws IOException {
		String line = readLine(in);
		if (line == null) {
			return null;
		}
		String[] first = line.split(" ");
		Map<String, String> headers = new HashMap<>();
		for (String field = readLine(in); field != null && !field.isEmpty(); field = readLine(in)) {
			int colon = field.indexOf(':');
			headers.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
		}
		byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
		String[] target = first[1].split("\\?", 2);
		Map<String, String> query = new HashMap<>();
		if (target.length > 1) {
			for (String part : target[1].split("&")) {
				String[] pair = part.split("=", 2);
				query.put(pair[0], URLDecoder.decode(pair[pair.length - 1], StandardCharsets.UTF_8));
			}
		}
		return new Request(first[0], target[0], query, headers, body, connection);
	}

	static void write(OutputStream out, Answer answer) throws IOException {
		StringBuilder head = new StringBuilder("HTTP/1.1 " + answer.status() + " Status\r\n");
		answer.headers().forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		head.append("Content-Length: ").append(answer.body().length).append("\r\n\r\n");
		byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
		byte[] all = new byte[start.length + answer.body().length];
		System.arraycopy(start, 0, all, 0, start.length);
		System.arraycopy(answer.body(), 0, all, start.length, answer.body().length);
		out.write(all);
		out.flush();
	}

	static String readLine(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		for (int next = in.read(); next != '\n'; next = in.read()) {
			if (next < 0) {
				return null;
			}
			if (next != '\r') {
				line.append((char) next);
			}
		}
		return line.toString();
	}

}
