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
 * Runs bookings through real daemons that are killed, paused and restarted, and counts
 * the executions of each key at the services. Exits with 1 if a key ran more than once or
 * ran although all its answers said "not run".
 */
public final class BookingRunMain {

	private static final int DAEMONS = 5;

	private static final int SERVICES = 2;

	private static final int CALLERS = 24;

	private static final int MAX_ATTEMPTS = 5;

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);

	private static final Duration SETUP_TIMEOUT = Duration.ofSeconds(5);

	private static final String SECRET = "run-secret";

	private static final Peer PEER = new Peer(Peer.Kind.SIBLING, "");

	/** Per cent of the bookings; silent ones are few since each waits for a timeout. */
	private static final ServiceFaults FAULTS = new ServiceFaults(15, 8, 10, 1, false);

	private final ProcessGroup processes;

	private final Path directory;

	private final HttpClient client = new HttpClient(2);

	private final Random random;

	private final List<Integer> daemonPorts = new ArrayList<>();

	private final List<Process> daemons = new ArrayList<>();

	private final List<Integer> servicePorts = new ArrayList<>();

	private final Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();

	private final Set<String> mayHaveRun = ConcurrentHashMap.newKeySet();

	private final Set<String> booked = ConcurrentHashMap.newKeySet();

	private volatile boolean finished;

	private BookingRunMain(ProcessGroup processes, Path directory, long seed) throws IOException {
		this.processes = processes;
		this.directory = directory;
		this.random = new Random(seed);
	}

	/**
	 * Does one run.
	 * @param arguments see the options
	 * @throws Exception if the run cannot be set up
	 */
	public static void main(String[] arguments) throws Exception {
		CommandLine line = CommandLines.parse(new Options().addOption(null, "keys", true, "number of keys")
			.addOption(null, "seed", true, "seed of the faults")
			.addOption(null, "seconds", true, "longest time of the run"), arguments);
		Path directory = Files.createTempDirectory("bookings");
		boolean good;
		try (ProcessGroup processes = new ProcessGroup(System.getProperty("java.class.path"), directory)) {
			Runtime.getRuntime().addShutdownHook(new Thread(processes::close));
			BookingRunMain run = new BookingRunMain(processes, directory, CommandLines.number(line, "seed", 1));
			run.setUp();
			good = run.run(CommandLines.number(line, "keys", 3000), CommandLines.number(line, "seconds", 180));
		}
		System.out.println("logs of the daemons are in " + directory);
		System.exit(good ? 0 : 1);
	}

	private void setUp() throws IOException, PeerException, InterruptedException {
		int platform = this.processes.startStandin(PlatformMain.class.getName());
		List<OperatorObject> objects = new ArrayList<>();
		objects.add(new TeamObject("andes", DigestUtils.sha256Hex(SECRET), 1, 100, List.of("crew")));
		for (int i = 0; i < SERVICES; i++) {
			int port = this.processes.startStandin(ServiceMain.class.getName());
			this.servicePorts.add(port);
			faults(port, FAULTS);
			objects.add(UpstreamObject.service("crew-" + i, "crew", "127.0.0.1:" + port, "a",
					List.of(new ServiceOperation("POST", "/bookings", false),
							new ServiceOperation("GET", "/duct-records", true))));
		}
		HttpObjectStore store = new HttpObjectStore(this.client, new Address("127.0.0.1", platform), SETUP_TIMEOUT);
		for (OperatorObject object : objects) {
			store.create(object.key(), ObjectCodec.encode(object));
		}
		for (int i = 0; i < DAEMONS; i++) {
			this.daemonPorts.add(freePort());
			Files.writeString(settings(i), """
					[instance]
					name = "daemon-%d"
					data_centre = "a"
					[listen]
					address = "127.0.0.1:%d"
					[platform]
					address = "127.0.0.1:%d"
					""".formatted(i, this.daemonPorts.get(i), platform));
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

	private Path settings(int index) {
		return this.directory.resolve("daemon-" + index + ".toml");
	}

	private Process startDaemon(int index) throws IOException {
		return this.processes.start("daemon-" + index + ".log", "org.mulberrycross.daemon.RouterMain", "--settings",
				settings(index).toString());
	}

	private void awaitReady(int port) throws InterruptedException, PeerException {
		for (int i = 0; i < 100; i++) {
			try {
				if (control(port, "GET", "/readyz", new byte[0]).isSuccess()) {
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

	private HttpReply control(int port, String method, String path, byte[] body) throws PeerException {
		return this.client.send(new HttpCall(Step.PROBE, PEER, new Address("127.0.0.1", port), method, path, Map.of(),
				body, SETUP_TIMEOUT, true));
	}

	private void faults(int port, ServiceFaults faults) throws PeerException {
		control(port, "POST", "/control/faults", Json.encode(faults));
	}

	private boolean run(int keys, int seconds) throws Exception {
		long start = System.nanoTime();
		Thread breaker = new Thread(this::breakThings, "breaker");
		breaker.start();
		ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
		for (int i = 0; i < keys; i++) {
			String key = "key-" + i;
			long seed = this.random.nextLong();
			callers.execute(() -> book(key, new Random(seed)));
		}
		callers.shutdown();
		boolean inTime = callers.awaitTermination(seconds, TimeUnit.SECONDS);
		callers.shutdownNow();
		this.finished = true;
		breaker.join();
		Map<String, Integer> executions = executions();
		int most = executions.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		long refusedButRan = executions.keySet().stream().filter((key) -> !this.mayHaveRun.contains(key)).count();
		long bookedButNotRun = this.booked.stream().filter((key) -> !executions.containsKey(key)).count();
		System.out.printf("keys %d, in time %s, seconds %.1f%n", keys, inTime, (System.nanoTime() - start) / 1e9);
		System.out.println("events and answers: " + new TreeMap<>(this.answers));
		System.out.printf("keys that ran %d, maximum executions of one key %d%n", executions.size(), most);
		System.out.printf("keys that ran although all answers said \"not run\": %d%n", refusedButRan);
		System.out.printf("keys that were answered as booked and did not run: %d%n", bookedButNotRun);
		return inTime && most == 1 && refusedButRan == 0 && bookedButNotRun == 0;
	}

	private Map<String, Integer> executions() throws IOException, PeerException {
		Map<String, Integer> sum = new HashMap<>();
		for (int port : this.servicePorts) {
			JsonNode counts = Json.mapper().readTree(control(port, "GET", "/control/executions", new byte[0]).body());
			counts.properties().forEach((entry) -> sum.merge(entry.getKey(), entry.getValue().asInt(), Integer::sum));
		}
		return sum;
	}

	private void book(String key, Random choice) {
		int attempts = 2 + choice.nextInt(MAX_ATTEMPTS - 1);
		int first = choice.nextInt(DAEMONS);
		List<Thread> parallel = new ArrayList<>();
		for (int i = 0; i < attempts; i++) {
			int port = this.daemonPorts.get((first + i) % DAEMONS);
			if (i == 0 && choice.nextInt(4) == 0) {
				Thread thread = new Thread(() -> attempt(key, port));
				thread.start();
				parallel.add(thread);
				continue;
			}
			attempt(key, port);
		}
		for (Thread thread : parallel) {
			try {
				thread.join();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	private void attempt(String key, int port) {
		HttpCall call = new HttpCall(Step.CALL_SERVICE, PEER, new Address("127.0.0.1", port), "POST",
				"/v1/services/crew/bookings",
				Map.of("Authorization", "Bearer " + SECRET, "Idempotency-Key", key, "Content-Type", "application/json"),
				("{\"duct\":\"" + key + "\"}").getBytes(StandardCharsets.UTF_8), CALL_TIMEOUT, true);
		try {
			HttpReply reply = this.client.send(call);
			boolean replayed = reply.header("Idempotent-Replayed").isPresent();
			if (reply.isSuccess()) {
				this.booked.add(key);
			}
			JsonNode error = Json.mapper().readTree(reply.body()).path("error");
			if (!error.path("not_run").asBoolean(false)) {
				this.mayHaveRun.add(key);
			}
			count(reply.status() + " " + error.path("code").asText(replayed ? "replayed" : "booked"));
		}
		catch (NotRunException ex) {
			count("daemon not reached");
		}
		catch (PeerException | IOException ex) {
			this.mayHaveRun.add(key);
			count("answer of the daemon lost");
		}
	}

	private void breakThings() {
		try {
			while (!this.finished) {
				TimeUnit.MILLISECONDS.sleep(300);
				int index = this.random.nextInt(DAEMONS);
				int draw = this.random.nextInt(10);
				if (draw < 6) {
					this.daemons.get(index).destroyForcibly().waitFor();
					this.daemons.set(index, startDaemon(index));
					count("event: daemon killed and restarted");
				}
				else if (draw < 8) {
					ProcessGroup.pause(this.daemons.get(index), 1500);
					count("event: daemon paused");
				}
				else if (draw < 9) {
					ProcessGroup.pause(this.processes.at(0), 1500);
					count("event: object API paused");
				}
				else {
					freeze(this.servicePorts.get(this.random.nextInt(SERVICES)));
					count("event: service frozen");
				}
			}
		}
		catch (IOException | PeerException ex) {
			throw new IllegalStateException("a fault could not be made", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void freeze(int port) throws PeerException, InterruptedException {
		faults(port, new ServiceFaults(0, 0, 0, 0, true));
		TimeUnit.MILLISECONDS.sleep(800);
		faults(port, FAULTS);
	}

	private void count(String event) {
		this.answers.computeIfAbsent(event, (name) -> new AtomicInteger()).incrementAndGet();
	}

}
