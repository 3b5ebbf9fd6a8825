import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.UUID;

/** A client's connection to a daemon. */
final class Client implements AutoCloseable {

	private final Socket socket = new Socket();

	private final InputStream in;

	private final OutputStream out;

	/** An answer: its status, header fields and complete body. */
	record Reply(int status, Map<String, String> fields, byte[] body) {

		boolean closes() {
			return this.fields.getOrDefault("connection", "").equalsIgnoreCase("close");
		}

	}

	Client(int port, int timeoutMillis) throws IOException {
		this.socket.setTcpNoDelay(true);
		this.socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
		this.socket.setSoTimeout(timeoutMillis);
		this.in = new BufferedInputStream(this.socket.getInputStream());
		this.out = this.socket.getOutputStream();
	}

	static String newId() {
		return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
	}

	void send(String method, String path, String id, String key, int deadlineMillis, byte[] body) throws IOException {
		this.out.write((method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " + id
				+ "\r\nDeadline-Ms: " + deadlineMillis + "\r\nAuthorization: Token " + key + "\r\nContent-Length: "
				+ body.length + "\r\n\r\n")
			.getBytes());
		this.out.write(body);
		this.out.flush();
	}

	/** Sends a request for a stream, which goes on after an event if there is one. */
	void sendStreaming(String path, String id, String key, OptionalLong lastEventId) throws IOException {
		String resumed = lastEventId.isPresent() ? "Last-Event-Id: " + lastEventId.getAsLong() + "\r\n" : "";
		this.out.write(("POST " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " + id + "\r\n" + resumed
				+ "Model: daka510000\r\nToken-Usage: 760,172\r\nPrefix-Hash: 5c1e07a2:40,91bd3f06:720\r\n"
				+ "Deadline-Ms: 20000\r\nAuthorization: Token " + key + "\r\nContent-Length: 0\r\n\r\n")
			.getBytes());
		this.out.flush();
	}

	/** Reads a stream and adds the id of each event; fails if the stream breaks off. */
	void readEvents(List<Long> ids) throws IOException {
		int status = Integer.parseInt(Util.readLine(this.in).split(" ")[1]);
		Util.readFields(this.in);
		if (status != 200) {
			throw new IOException("status " + status);
		}
		for (String line = Util.readLine(this.in); !line.equals("0"); line = Util.readLine(this.in)) {
			if (line.startsWith("id: ")) {
				ids.add(Long.parseLong(line.substring(4)));
			}
		}
		Util.readLine(this.in);
	}

	Reply read() throws IOException {
		int status = Integer.parseInt(Util.readLine(this.in).split(" ")[1]);
		Map<String, String> fields = Util.readFields(this.in);
		return new Reply(status, fields, Util.readBody(this.in, fields));
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
