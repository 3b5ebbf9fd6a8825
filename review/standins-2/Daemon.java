import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One daemon, started as a process of its own with the command and the template of the deploy file. */
final class Daemon implements AutoCloseable {

	private static final List<String> COMMAND = List.of("-XX:SharedArchiveFile=platform/target/router.jsa", "-Xmx96m",
			"-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-jar", "platform/target/router.jar",
			"--settings");

	private static final int MIN_PORT = 20_000;

	private static final int MAX_PORT = 32_000;

	private final String name;

	private final String zone;

	private final String callers;

	private final String readiness;

	private final Process process;

	/**
	 * Starts a daemon.
	 * @param name the name of its machine
	 * @param zone the zone of its machine
	 * @param storeAddress the address at which it reaches the store
	 * @param folder the folder of its settings and its log
	 */
	Daemon(String name, String zone, String storeAddress, Path folder) throws IOException {
		this.name = name;
		this.zone = zone;
		List<String> free = freeAddresses(3);
		this.callers = free.get(0);
		this.readiness = free.get(1);
		Path settings = folder.resolve(name + ".toml");
		Files.writeString(settings, settings(free.get(2), storeAddress));
		List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
		command.addAll(COMMAND);
		command.add(settings.toString());
		this.process = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(folder.resolve(name + ".log").toFile())
			.start();
	}

	// Takes ports below those that the system gives to clients, which another program could get
	// before the daemon listens.
	private static List<String> freeAddresses(int count) throws IOException {
		List<String> addresses = new ArrayList<>();
		while (addresses.size() < count) {
			int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				if (!addresses.contains("127.0.0.1:" + port)) {
					addresses.add("127.0.0.1:" + port);
				}
			}
			catch (BindException ex) {
				// In use, so another one is taken.
			}
		}
		return addresses;
	}

	// The template of the deploy file, filled in with the bounds of the small deployments.
	private String settings(String siblings, String storeAddress) throws IOException {
		String text = Files.readString(Path.of("deploy/router.toml"));
		Map<String, String> values = Map.ofEntries(Map.entry("node-name", this.name), Map.entry("zone", this.zone),
				Map.entry("listen.frontend", this.callers), Map.entry("listen.ready", this.readiness),
				Map.entry("platform.address", storeAddress), Map.entry("bounds.revoke-ms", "5000"),
				Map.entry("bounds.drain-ms", "2000"), Map.entry("bounds.config-apply-ms", "2000"),
				Map.entry("bounds.contact-ms", "3000"), Map.entry("bounds.grace-s", "8"),
				Map.entry("bounds.retry-budget-ratio", "0.2"), Map.entry("bounds.retry-slack", "202"),
				Map.entry("bounds.retry-window-s", "10"));
		text = text.replace("{{ip}}:{{.}}", siblings);
		for (Map.Entry<String, String> value : values.entrySet()) {
			String name = value.getKey();
			text = text.replaceAll("\\{\\{#" + name + "\\}\\}([^{]*)\\{\\{\\.\\}\\}", "$1" + value.getValue());
			text = text.replace("{{/" + name + "}}", "").replace("{{" + name + "}}", value.getValue());
		}
		text = text.replace("{{#port-range.0}}", "").replace("{{/port-range.0}}", "");
		if (text.contains("{{")) {
			throw new IOException("the template of the deploy file has an unknown place holder: " + text);
		}
		return text;
	}

	String name() {
		return this.name;
	}

	String zone() {
		return this.zone;
	}

	String callers() {
		return this.callers;
	}

	Process process() {
		return this.process;
	}

	boolean isReady() {
		return Client.send(this.readiness, "GET", "/readyz", Map.of("Host", "ready"), 1000).status() == 200;
	}

	/** Waits until all are ready. Returns false if one is not within a time. */
	static boolean awaitReady(List<Daemon> daemons, int seconds) throws InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		while (System.nanoTime() < endNanos) {
			if (daemons.stream().allMatch(Daemon::isReady)) {
				return true;
			}
			Thread.sleep(200);
		}
		return false;
	}

	@Override
	public void close() {
		this.process.destroyForcibly();
		try {
			this.process.waitFor(5, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
