import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A daemon, started with the command of deploy/system.toml and settings made from deploy/router.toml. */
final class Daemon {

	private static final List<Daemon> ALL = new ArrayList<>();

	final String name;

	final int port;

	final int readyPort;

	final int siblingPort;

	final Process process;

	Daemon(String name, String zone, int storePort) throws IOException {
		this.name = name;
		this.port = freePort();
		this.readyPort = freePort();
		this.siblingPort = freePort();
		Path folder = Files.createTempDirectory("review-");
		folder.toFile().deleteOnExit();
		Path settings = folder.resolve("local.toml");
		Files.writeString(settings, fillTemplate(Files.readString(Path.of("deploy/router.toml")), zone, storePort));
		settings.toFile().deleteOnExit();
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("deploy/system.toml has no run");
		}
		List<String> words = new ArrayList<>();
		for (String word : run.group(1).split(" +")) {
			words.add(word.equals("/etc/mulberrycross/local.json") ? settings.toString() : word);
		}
		File log = new File(System.getProperty("review.log", "/dev/null"));
		this.process = new ProcessBuilder(words).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(log))
			.start();
		synchronized (ALL) {
			ALL.add(this);
		}
		Util.record(name + " started, pid " + this.process.pid());
	}

	private String fillTemplate(String template, String zone, int storePort) {
		String text = template.replace("{{node-name}}", this.name)
			.replace("{{zone}}", zone)
			.replace("{{listen.frontend}}", "127.0.0.1:" + this.port)
			.replace("{{listen.ready}}", "127.0.0.1:" + this.readyPort)
			.replace("{{ip}}", "127.0.0.1")
			.replace("{{platform.address}}", "127.0.0.1:" + storePort);
		text = Pattern.compile("(?s)\\{\\{#port-range\\.0\\}\\}(.*?)\\{\\{/port-range\\.0\\}\\}")
			.matcher(text)
			.replaceAll((section) -> section.group(1).replace("{{.}}", Integer.toString(this.siblingPort)));
		String[][] bounds = { { "revoke-ms", "5000" }, { "drain-ms", "2000" }, { "config-apply-ms", "2000" },
				{ "contact-ms", "3000" }, { "grace-s", "8" }, { "retry-budget-ratio", "0.2" }, { "retry-slack", "202" },
				{ "retry-window-s", "10" } };
		for (String[] bound : bounds) {
			text = text.replaceAll("(?s)\\{\\{#bounds\\." + bound[0] + "\\}\\}(.*?)\\{\\{\\.\\}\\}\\s*\\{\\{/bounds\\."
					+ bound[0] + "\\}\\}", "$1" + bound[1] + "\n");
		}
		return text;
	}

	boolean isReady() {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.readyPort), 1000);
			socket.setSoTimeout(1000);
			socket.getOutputStream().write("GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".getBytes());
			return Util.readLine(socket.getInputStream()).contains(" 200");
		}
		catch (IOException ex) {
			return false;
		}
	}

	void awaitReady() throws Exception {
		long end = System.nanoTime() + 20_000_000_000L;
		while (!isReady()) {
			if (System.nanoTime() > end) {
				throw new IOException(this.name + " was not ready within 20 s");
			}
			Thread.sleep(50);
		}
		Util.record(this.name + " is ready");
	}

	/** Sends a signal, for example "TERM", to this process alone. */
	void signal(String signal) throws Exception {
		Util.record(this.name + " gets SIG" + signal);
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
	}

	static void stopAll() {
		synchronized (ALL) {
			ALL.forEach((daemon) -> daemon.process.destroyForcibly());
		}
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
	}

}
