import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** TCP proxy on loopback. Its open connections can be made silent for good, without a reset. */
final class Proxy implements AutoCloseable {

	private final ServerSocket listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());

	private static final Pattern WATCH = Pattern.compile("GET /objects/([a-z-]+)\\?watch=");

	private final Map<String, Long> lastWatchNanos = new HashMap<>();

	private final List<Link> links = new CopyOnWriteArrayList<>();

	Proxy(int target) throws IOException {
		Util.start("proxy", () -> {
			while (true) {
				Link link = new Link(this.listener.accept(), new Socket(InetAddress.getLoopbackAddress(), target));
				this.links.add(link);
				Util.start("proxy", () -> copy(link, link.near, link.far));
				Util.start("proxy", () -> copy(link, link.far, link.near));
			}
		});
	}

	/** Waits for the next watch call of a kind that passes this proxy, and returns its time. */
	synchronized long awaitWatch(String kind) throws InterruptedException {
		long now = System.nanoTime();
		while (this.lastWatchNanos.getOrDefault(kind, now - 1) - now < 0) {
			wait();
		}
		return this.lastWatchNanos.get(kind);
	}

	/** Returns how long ago the last watch call of a kind passed this proxy, in ms. */
	synchronized long watchAgeMillis(String kind) {
		return (System.nanoTime() - this.lastWatchNanos.get(kind)) / 1_000_000;
	}

	private synchronized void noteWatch(byte[] bytes, int length) {
		Matcher watch = WATCH.matcher(new String(bytes, 0, length, StandardCharsets.ISO_8859_1));
		while (watch.find()) {
			this.lastWatchNanos.put(watch.group(1), System.nanoTime());
			notifyAll();
		}
	}

	int port() {
		return this.listener.getLocalPort();
	}

	/** Drops all further bytes on the connections that are open now; new connections work. */
	void silenceOpenConnections() {
		this.links.forEach((link) -> link.silent = true);
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

	private static final class Link {

		private final Socket near;

		private final Socket far;

		private volatile boolean silent;

		private Link(Socket near, Socket far) throws IOException {
			this.near = near;
			this.far = far;
			near.setTcpNoDelay(true);
			far.setTcpNoDelay(true);
		}

	}

	private void copy(Link link, Socket from, Socket to) throws IOException {
		byte[] buffer = new byte[16384];
		InputStream in = from.getInputStream();
		OutputStream out = to.getOutputStream();
		try {
			for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
				if (from == link.near) {
					noteWatch(buffer, n);
				}
				if (!link.silent) {
					out.write(buffer, 0, n);
				}
			}
		}
		catch (IOException ex) {
			// Handled as an end of the connection.
		}
		if (!link.silent) {
			from.close();
			to.close();
		}
	}

}
