import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;

/** Sound stand-in for an engine of a plain service. Answers a request after its work with a signed body. */
final class Engine implements AutoCloseable {

	private final ServerSocket listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());

	final String id;

	private final String service;

	private final String zone;

	private final Answer answer;

	/** Events of each stream, 0 if the engine answers with a whole body. */
	private int events;

	private long firstEventId;

	/** Makes the body of the answer to a request that runs. */
	interface Answer {

		byte[] body(String attemptId, String path, byte[] requestBody) throws Exception;

	}

	Engine(String id, String service, String zone, Answer answer) throws IOException {
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.answer = answer;
		Util.start(id, () -> {
			while (true) {
				Socket socket = this.listener.accept();
				Util.start(id, () -> serve(socket));
			}
		});
	}

	/** Lets the engine answer with a stream of events, which can be resumed. */
	void streamEvents(int count, long firstId) {
		this.events = count;
		this.firstEventId = firstId;
	}

	ObjectNode entry(String state) {
		return Store.JSON.createObjectNode()
			.put("service", this.service)
			.put("address", "127.0.0.1:" + this.listener.getLocalPort())
			.put("zone", this.zone)
			.put("version", "v1")
			.put("slots", 6)
			.put("state", state)
			.put("cold-remaining-ms", 0)
			.put("sequence", 1)
			.put("born", 1_700_000_000_000L);
	}

	private void serve(Socket socket) throws Exception {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			String[] requestLine = Util.readLine(in).split(" ");
			Map<String, String> fields = Util.readFields(in);
			byte[] requestBody = Util.readBody(in, fields);
			if (!fields.getOrDefault("expect-instance", this.id).equals(this.id)) {
				out.write(("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + this.id
						+ "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
					.getBytes());
				return;
			}
			String attemptId = fields.getOrDefault("attempt-id", "");
			if (this.events > 0) {
				stream(out, attemptId, fields);
				return;
			}
			byte[] body = this.answer.body(attemptId, requestLine[1], requestBody);
			out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + attemptId + "\r\nEngine-Signature: " + this.id
					+ "\r\nContent-Length: " + body.length + "\r\n\r\n")
				.getBytes());
			out.write(body);
			out.flush();
		}
	}

	private void stream(OutputStream out, String attemptId, Map<String, String> fields) throws Exception {
		long end = this.firstEventId + this.events;
		long next = fields.containsKey("last-event-id") ? Long.parseLong(fields.get("last-event-id")) + 1
				: this.firstEventId;
		Util.record(this.id + " runs " + attemptId + " from event " + next);
		out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + attemptId + "\r\nEngine-Signature: " + this.id
				+ "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			.getBytes());
		for (long event = next; event < end; event++) {
			Thread.sleep(50);
			String text = "id: " + event + "\ndata: piece " + event + "\n\n";
			out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
			out.flush();
		}
		out.write("0\r\n\r\n".getBytes());
		out.flush();
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

}
