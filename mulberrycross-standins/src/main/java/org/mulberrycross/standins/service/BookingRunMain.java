package org.mulberrycross.standins.service;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.codec.digest.DigestUtils;

import org.mulberrycross.Address;
import org.mulberrycross.NotRunException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpReply;
import org.mulberrycross.http.Json;
import org.mulberrycross.operator.OperatorObject;
import org.mulberrycross.operator.ServiceOperation;
import org.mulberrycross.operator.TeamObject;
import org.mulberrycross.operator.UpstreamObject;
import org.mulberrycross.operator.json.ObjectCodec;
import org.mulberrycross.platform.http.HttpObjectStore;
import org.mulberrycross.standins.CommandLines;
import org.mulberrycross.standins.platform.PlatformMain;

/**
 * Runs bookings through daemon processes that are killed, restarted and paused, and
 * counts the executions of each idempotency key at the services. Exits with 1 if a key
 * was executed more than once, was executed although all its replies stated that it was
 * not, or was not executed although a reply confirmed the booking, or if the run exceeded
 * its time limit.
 */
public final class BookingRunMain {

	private static final int DAEMON_COUNT = 5;

	private static final int SERVICE_COUNT = 2;

	private static final int CALLER_THREADS = 24;

	private static final int MAX_ATTEMPTS = 5;

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);

	private static final Duration SETUP_TIMEOUT = Duration.ofSeconds(5);

	private static final String API_KEY = "run-secret";

	private static final Peer PEER = new Peer(Peer.Kind.SIBLING, "");

	/**
	 * In per cent of the bookings. Few are silent, since each of these waits for a
	 * timeout.
	 */
	private static final ServiceFaults BOOKING_FAULTS = new ServiceFaults(15, 8, 10, 1, false);

	private final ProcessGroup processes;

	private final Path directory;

	private final HttpClient client = new HttpClient(2);

	private final Random random;

	private final List<Integer> daemonPorts = new ArrayList<>();

	private final List<Process> daemons = new ArrayList<>();

	private final List<Integer> servicePorts = new ArrayList<>();

	/** Number of replies and of injected faults, by their description. */
	private final Map<String, AtomicInteger> eventCounts = new ConcurrentHashMap<>();

	/** Keys with at least one reply that was lost or did not exclude an execution. */
	private final Set<String> possiblyExecutedKeys = ConcurrentHashMap.newKeySet();

	/** Keys with at least one reply that confirms the booking. */
	private final Set<String> bookedKeys = ConcurrentHashMap.newKeySet();

	private volatile boolean finished;

	private BookingRunMain(ProcessGroup processes, Path directory, long seed) throws IOException {
		this.processes = processes;
		this.directory = directory;
		this.random = new Random(seed);
	}

	/**
	 * Runs the bookings once and prints the result.
	 * @param arguments the command-line options
	 * @throws Exception if the run cannot be set up
	 */
	public static void main(String[] arguments) throws Exception {
		CommandLine line = CommandLines
			.parse(new Options().addOption(null, "keys", true, "number of idempotency keys to book")
				.addOption(null, "seed", true, "seed of the random choices")
				.addOption(null, "seconds", true, "maximum duration of the run in seconds"), arguments);
		Path directory = Files.createTempDirectory("bookings");
		boolean passed;
		try (ProcessGroup processes = new ProcessGroup(System.getProperty("java.class.path"), directory)) {
			Runtime.getRuntime().addShutdownHook(new Thread(processes::close));
			BookingRunMain run = new BookingRunMain(processes, directory, CommandLines.intOption(line, "seed", 1));
			run.setUp();
			passed = run.runBookings(CommandLines.intOption(line, "keys", 3000),
					CommandLines.intOption(line, "seconds", 180));
		}
		System.out.println("logs of the daemons are in " + directory);
		System.exit(passed ? 0 : 1);
	}

	private void setUp() throws IOException, PeerException, InterruptedException {
		int platformPort = this.processes.startStandin(PlatformMain.class.getName());
		List<OperatorObject> objects = new ArrayList<>();
		objects.add(new TeamObject("andes", DigestUtils.sha256Hex(API_KEY), 1, 100, List.of("crew")));
		for (int i = 0; i < SERVICE_COUNT; i++) {
			int port = this.processes.startStandin(ServiceMain.class.getName());
			this.servicePorts.add(port);
			setFaults(port, BOOKING_FAULTS);
			objects.add(UpstreamObject.service("crew-" + i, "crew", "127.0.0.1:" + port, "a",
					List.of(new ServiceOperation("POST", "/bookings", false),
							new ServiceOperation("GET", "/duct-records", true))));
		}
		HttpObjectStore store = new HttpObjectStore(this.client, new Address("127.0.0.1", platformPort), SETUP_TIMEOUT);
		for (OperatorObject object : objects) {
			store.create(object.key(), ObjectCodec.encode(object));
		}
		for (int i = 0; i < DAEMON_COUNT; i++) {
			this.daemonPorts.add(freePort());
			Files.writeString(settingsFile(i), """
					[instance]
					name = "daemon-%d"
					data_centre = "a"
					[listen]
					address = "127.0.0.1:%d"
					[platform]
					address = "127.0.0.1:%d"
					""".formatted(i, this.daemonPorts.get(i), platformPort));
			this.daemons.add(startDaemon(i));
		}
		for (int port : this.daemonPorts) {
			awaitReady(port);
		}
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
	}

	private Path settingsFile(int index) {
		return this.directory.resolve("daemon-" + index + ".toml");
	}

	private Process startDaemon(int index) throws IOException {
		return this.processes.start("daemon-" + index + ".log", "org.mulberrycross.daemon.RouterMain", "--settings",
				settingsFile(index).toString());
	}

	private void awaitReady(int port) throws InterruptedException, PeerException {
		for (int i = 0; i < 100; i++) {
			try {
				if (sendControl(port, "GET", "/readyz", new byte[0]).isSuccess()) {
					return;
				}
			}
			catch (NotRunException ex) {
				// The daemon does not listen yet.
			}
			TimeUnit.MILLISECONDS.sleep(200);
		}
		throw new IllegalStateException("the daemon on port " + port + " is not ready after 20 s");
	}

	private HttpReply sendControl(int port, String method, String path, byte[] body) throws PeerException {
		return this.client.send(new HttpCall(Step.PROBE, PEER, new Address("127.0.0.1", port), method, path, Map.of(),
				body, SETUP_TIMEOUT, true));
	}

	private void setFaults(int port, ServiceFaults faults) throws PeerException {
		sendControl(port, "POST", "/control/faults", Json.encode(faults));
	}

	private boolean runBookings(int keyCount, int seconds) throws Exception {
		long startNanos = System.nanoTime();
		Thread faultInjector = new Thread(this::injectFaults, "breaker");
		faultInjector.start();
		ExecutorService callers = Executors.newFixedThreadPool(CALLER_THREADS);
		for (int i = 0; i < keyCount; i++) {
			String key = "key-" + i;
			long seed = this.random.nextLong();
			callers.execute(() -> bookKey(key, new Random(seed)));
		}
		callers.shutdown();
		boolean finishedInTime = callers.awaitTermination(seconds, TimeUnit.SECONDS);
		callers.shutdownNow();
		this.finished = true;
		faultInjector.join();
		Map<String, Integer> executions = readExecutionCounts();
		int maxExecutions = executions.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		long notRunButExecuted = executions.keySet()
			.stream()
			.filter((key) -> !this.possiblyExecutedKeys.contains(key))
			.count();
		long bookedButNotExecuted = this.bookedKeys.stream().filter((key) -> !executions.containsKey(key)).count();
		System.out.printf("keys %d, in time %s, seconds %.1f%n", keyCount, finishedInTime,
				(System.nanoTime() - startNanos) / 1e9);
		System.out.println("events and answers: " + new TreeMap<>(this.eventCounts));
		System.out.printf("keys that ran %d, maximum executions of one key %d%n", executions.size(), maxExecutions);
		System.out.printf("keys that ran although all answers said \"not run\": %d%n", notRunButExecuted);
		System.out.printf("keys that were answered as booked and did not run: %d%n", bookedButNotExecuted);
		return finishedInTime && maxExecutions == 1 && notRunButExecuted == 0 && bookedButNotExecuted == 0;
	}

	private Map<String, Integer> readExecutionCounts() throws IOException, PeerException {
		Map<String, Integer> totals = new HashMap<>();
		for (int port : this.servicePorts) {
			JsonNode counts = Json.mapper()
				.readTree(sendControl(port, "GET", "/control/executions", new byte[0]).body());
			counts.properties()
				.forEach((entry) -> totals.merge(entry.getKey(), entry.getValue().asInt(), Integer::sum));
		}
		return totals;
	}

	private void bookKey(String key, Random choices) {
		int attempts = 2 + choices.nextInt(MAX_ATTEMPTS - 1);
		int firstDaemon = choices.nextInt(DAEMON_COUNT);
		List<Thread> concurrentAttempts = new ArrayList<>();
		for (int i = 0; i < attempts; i++) {
			int port = this.daemonPorts.get((firstDaemon + i) % DAEMON_COUNT);
			if (i == 0 && choices.nextInt(4) == 0) {
				Thread thread = new Thread(() -> sendBooking(key, port));
				thread.start();
				concurrentAttempts.add(thread);
				continue;
			}
			sendBooking(key, port);
		}
		for (Thread thread : concurrentAttempts) {
			try {
				thread.join();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	private void sendBooking(String key, int port) {
		HttpCall call = new HttpCall(Step.CALL_SERVICE, PEER, new Address("127.0.0.1", port), "POST",
				"/v1/services/crew/bookings",
				Map.of("Authorization", "Bearer " + API_KEY, "Idempotency-Key", key, "Content-Type",
						"application/json"),
				("{\"duct\":\"" + key + "\"}").getBytes(StandardCharsets.UTF_8), CALL_TIMEOUT, true);
		try {
			HttpReply reply = this.client.send(call);
			boolean replayed = reply.header("Idempotent-Replayed").isPresent();
			if (reply.isSuccess()) {
				this.bookedKeys.add(key);
			}
			JsonNode error = Json.mapper().readTree(reply.body()).path("error");
			if (!error.path("not_run").asBoolean(false)) {
				this.possiblyExecutedKeys.add(key);
			}
			countEvent(reply.status() + " " + error.path("code").asText(replayed ? "replayed" : "booked"));
		}
		catch (NotRunException ex) {
			countEvent("daemon not reached");
		}
		catch (PeerException | IOException ex) {
			this.possiblyExecutedKeys.add(key);
			countEvent("answer of the daemon lost");
		}
	}

	private void injectFaults() {
		try {
			while (!this.finished) {
				TimeUnit.MILLISECONDS.sleep(300);
				int index = this.random.nextInt(DAEMON_COUNT);
				int draw = this.random.nextInt(10);
				if (draw < 6) {
					this.daemons.get(index).destroyForcibly().waitFor();
					this.daemons.set(index, startDaemon(index));
					countEvent("event: daemon killed and restarted");
				}
				else if (draw < 8) {
					ProcessGroup.pause(this.daemons.get(index), 1500);
					countEvent("event: daemon paused");
				}
				else if (draw < 9) {
					// The platform stand-in is the first process of the group.
					ProcessGroup.pause(this.processes.process(0), 1500);
					countEvent("event: object API paused");
				}
				else {
					freezeService(this.servicePorts.get(this.random.nextInt(SERVICE_COUNT)));
					countEvent("event: service frozen");
				}
			}
		}
		catch (IOException | PeerException ex) {
			throw new IllegalStateException("injecting a fault failed", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void freezeService(int port) throws PeerException, InterruptedException {
		setFaults(port, new ServiceFaults(0, 0, 0, 0, true));
		TimeUnit.MILLISECONDS.sleep(800);
		setFaults(port, BOOKING_FAULTS);
	}

	private void countEvent(String event) {
		this.eventCounts.computeIfAbsent(event, (name) -> new AtomicInteger()).incrementAndGet();
	}

}
