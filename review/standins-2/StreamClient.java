import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** What a client gets of one stream. Not thread-safe. */
final class StreamClient {

	/** A client abandons a stream after a gap of two seconds without an event. */
	private static final long GAP_NANOS = TimeUnit.SECONDS.toNanos(2);

	private int status;

	private String signature = "none";

	private int events;

	private long strayBytes;

	String read(String address, String attempt) {
		int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
			socket.setSoTimeout(2000);
			socket.getOutputStream()
				.write(("POST /draft/a HTTP/1.1\r\nHost: " + Configuration.HOST + "\r\nAttempt-Id: " + attempt
						+ "\r\nAuthorization: Token key-kept\r\nModel: m0\r\nToken-Usage: 60,40\r\n"
						+ "Prefix-Hash: aa01:40,b" + Integer.toHexString(attempt.hashCode()) + ":20\r\nDeadline-Ms: 20000\r\n"
						+ "Content-Length: 2\r\n\r\n{}").getBytes(StandardCharsets.ISO_8859_1));
			return readAnswer(new BufferedInputStream(socket.getInputStream(), 1 << 16), attempt);
		}
		catch (SocketTimeoutException ex) {
			return "abandoned";
		}
		catch (IOException | RuntimeException ex) {
			return "broken off";
		}
	}

	private String readAnswer(InputStream in, String attempt) throws IOException {
		this.status = Integer.parseInt(HttpServerStandIn.readLine(in).split(" ")[1]);
		for (String field = HttpServerStandIn.readLine(in); !field.isEmpty(); field = HttpServerStandIn
			.readLine(in)) {
			if (field.toLowerCase().startsWith("engine-signature:")) {
				this.signature = field.substring(field.indexOf(':') + 1).trim();
			}
		}
		if (this.status != 200) {
			return "refused or failed";
		}
		StringBuilder text = new StringBuilder();
		long eventNanos = System.nanoTime();
		while (true) {
			int length = Integer.parseInt(HttpServerStandIn.readLine(in).trim(), 16);
			text.append(new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
			HttpServerStandIn.readLine(in);
			if (takeEvents(text, attempt)) {
				eventNanos = System.nanoTime();
			}
			if (length == 0) {
				return "complete";
			}
			if (System.nanoTime() - eventNanos > GAP_NANOS) {
				return "abandoned";
			}
		}
	}

	// Counts the events of the engines' answers, and the bytes of all else.
	private boolean takeEvents(StringBuilder text, String attempt) {
		int before = this.events;
		for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
			String event = text.substring(0, end);
			text.delete(0, end + 2);
			if (event.equals("id: " + (this.events + 1) + "\ndata: " + attempt)) {
				this.events++;
			}
			else {
				this.strayBytes += event.length() + 2;
			}
		}
		return this.events > before;
	}

	int status() {
		return this.status;
	}

	String signature() {
		return this.signature;
	}

	int events() {
		return this.events;
	}

	long strayBytes() {
		return this.strayBytes;
	}

}
