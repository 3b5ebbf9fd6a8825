import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A client that sends each request on a new connection and reads the whole answer. */
final class Client {

	/** An answer. Status 0 stands for a connection that ended without a complete one. */
	record Answer(int status, Map<String, String> headers, String body) {

		static final Answer NONE = new Answer(0, Map.of(), "");

	}

	private Client() {
	}

	static Answer send(String address, String method, String path, Map<String, String> headers, int deadlineMillis) {
		String host = address.substring(0, address.indexOf(':'));
		int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(host, port), 1000);
			socket.setSoTimeout(deadlineMillis);
			StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			if (method.equals("POST")) {
				head.append("Content-Length: 2\r\n");
			}
			head.append("Deadline-Ms: ").append(deadlineMillis).append("\r\n\r\n");
			head.append(method.equals("POST") ? "{}" : "");
			socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
			return read(new BufferedInputStream(socket.getInputStream()));
		}
		catch (IOException | RuntimeException ex) {
			return Answer.NONE;
		}
	}

	private static Answer read(InputStream in) throws IOException {
		String line = HttpServerStandIn.readLine(in);
		if (line == null) {
			return Answer.NONE;
		}
		int status = Integer.parseInt(line.split(" ")[1]);
		Map<String, String> headers = new HashMap<>();
		for (String field = HttpServerStandIn.readLine(in); !field.isEmpty(); field = HttpServerStandIn.readLine(in)) {
			int colon = field.indexOf(':');
			headers.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
		}
		if (!"chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
			int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
			byte[] body = in.readNBytes(length);
			return (body.length == length) ? new Answer(status, headers, new String(body, StandardCharsets.UTF_8))
					: Answer.NONE;
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		while (true) {
			String size = HttpServerStandIn.readLine(in);
			if (size == null) {
				return Answer.NONE;
			}
			int length = Integer.parseInt(size.trim(), 16);
			byte[] part = in.readNBytes(length);
			if (part.length < length || HttpServerStandIn.readLine(in) == null) {
				return Answer.NONE;
			}
			if (length == 0) {
				return new Answer(status, headers, body.toString(StandardCharsets.UTF_8));
			}
			body.writeBytes(part);
		}
	}

}
