package org.mulberrycross.standins.engine;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.mulberrycross.Address;
import org.mulberrycross.NotRunException;
import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.PeerException;
import org.mulberrycross.engine.KvCache;
import org.mulberrycross.engine.LayerRange;
import org.mulberrycross.engine.Stage;
import org.mulberrycross.engine.StepReply;
import org.mulberrycross.engine.StepRequest;
import org.mulberrycross.engine.http.HttpStageClient;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpListener;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.params.provider.Arguments.arguments;

/**
 * Contract of the calls to engines, tested with {@link HttpStageClient} against the
 * handler of the stand-in, with one row per fault.
 */
class EngineHandlerTest {

	private static final LayerRange LAYERS = new LayerRange(0, 4);

	private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);

	private static final Duration SHORT_TIMEOUT = Duration.ofMillis(150);

	private final EngineStandin engine = new EngineStandin(LAYERS, 8, "v1", 8, 100);

	private final EngineStandin otherEngine = new EngineStandin(LAYERS, 8, "v1", 8, 100);

	private final EngineFaults faults = new EngineFaults(this::crash);

	private final HttpListener listener = new HttpListener("127.0.0.1", 0, 4);

	private final HttpListener otherListener = new HttpListener("127.0.0.1", 0, 4);

	private HttpClient httpClient;

	private HttpStageClient client;

	@BeforeEach
	void start() throws IOException {
		this.listener.route(new EngineHandler(this.engine, this.faults), "/");
		this.listener.start();
		this.otherListener.route(new EngineHandler(this.otherEngine, new EngineFaults(() -> {
		})), "/");
		this.otherListener.start();
		this.httpClient = new HttpClient(1);
		this.client = new HttpStageClient(this.httpClient);
	}

	@AfterEach
	void stop() {
		this.httpClient.close();
		closeListener();
		this.otherListener.close();
		this.engine.close();
		this.otherEngine.close();
	}

	private void closeListener() {
		this.listener.close();
	}

	// Closes the listener and waits until connections are refused, as those to a process
	// that has ended are. The kernel accepts connections until the selector of the
	// listener has let go of its socket, which may be after the listener was closed.
	private void crash() {
		int port = this.listener.port();
		closeListener();
		while (!refusesConnections(port)) {
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
		}
	}

	private static boolean refusesConnections(int port) {
		try {
			new Socket("127.0.0.1", port).close();
			return false;
		}
		catch (ConnectException ex) {
			return true;
		}
		catch (IOException ex) {
			// Accepted and reset: the socket is still open.
			return false;
		}
	}

	/** Fails if the client reports a fault as another outcome than the expected one. */
	@ParameterizedTest(name = "{0}")
	@MethodSource("faultCases")
	void reportsEachFaultAsItsOutcome(String name, Fault fault, Call call, Optional<Class<?>> expected)
			throws PeerException {
		this.client.step(stage(), step("s", 1, 0, 3, "v1"), LONG_TIMEOUT);
		fault.inject(this);
		Optional<Class<?>> outcome;
		try {
			call.run(this);
			outcome = Optional.empty();
		}
		catch (PeerException ex) {
			outcome = Optional.of(ex.getClass());
			assertThat(ex.peer().name()).isEqualTo("e");
		}
		assertWithMessage(name).that(outcome).isEqualTo(expected);
	}

	/**
	 * Fails if a step on a pooled connection to a crashed engine gets a reply. Whether it
	 * is reported as not run or as unknown depends on whether the client has detected the
	 * close yet.
	 */
	@Test
	void crashedEngineAnswersNoStepOnOldConnection() throws PeerException {
		this.client.step(stage(), step("s", 1, 0, 3, "v1"), LONG_TIMEOUT);
		this.faults.crash();
		PeerException error = assertThrows(PeerException.class,
				() -> this.client.step(stage(), step("s", 1, 3, 1, "v1"), LONG_TIMEOUT));
		assertThat(error)
			.isInstanceOf((error instanceof NotRunException) ? NotRunException.class : OutcomeUnknownException.class);
	}

	static List<Arguments> faultCases() {
		Optional<Class<?>> success = Optional.empty();
		Optional<Class<?>> notRun = Optional.of(NotRunException.class);
		Optional<Class<?>> outcomeUnknown = Optional.of(OutcomeUnknownException.class);
		Fault none = (test) -> {
		};
		Fault freeze = (test) -> test.faults.setFrozen(true);
		Fault silent = (test) -> test.faults.silenceOpenConnections();
		Fault crash = (test) -> test.faults.crash();
		Fault refuse = (test) -> test.faults.setRefusingSteps(true);
		Fault draining = (test) -> test.engine.setDraining(true);
		Fault slow = (test) -> test.faults.setDelayMillis(2000);
		Fault cancelled = (test) -> test.engine.cancel("s", 1);
		Call next = (test) -> test.client.step(stage(test), step("s", 1, 3, 1, "v1"), LONG_TIMEOUT);
		Call nextWithShortTimeout = (test) -> test.client.step(stage(test), step("s", 1, 3, 1, "v1"), SHORT_TIMEOUT);
		Call nextOnNewConnection = (test) -> test.client.stepOnNewConnection(stage(test), step("s", 1, 3, 1, "v1"),
				LONG_TIMEOUT);
		Call probe = (test) -> test.client.probe(stage(test), LONG_TIMEOUT);
		Call probeWithShortTimeout = (test) -> test.client.probe(stage(test), SHORT_TIMEOUT);
		Call export = (test) -> test.client.exportCache(stage(test), "s", LONG_TIMEOUT);
		return Stream
			.of(arguments("step", none, next, success), arguments("probe", none, probe, success),
					arguments("frozen, step", freeze, nextWithShortTimeout, outcomeUnknown),
					arguments("frozen, probe", freeze, probeWithShortTimeout, outcomeUnknown),
					arguments("silent, step on old connection", silent, nextWithShortTimeout, outcomeUnknown),
					arguments("silent, step on new connection", silent, nextOnNewConnection, success),
					arguments("silent, probe", silent, probe, success),
					arguments("crashed, step on new connection", crash, nextOnNewConnection, notRun),
					arguments("crashed, probe", crash, probe, notRun),
					arguments("refusing, step", refuse, next, notRun),
					arguments("refusing, probe", refuse, probe, success),
					arguments("refusing, export", refuse, export, success),
					arguments("draining, running stream", draining, next, success),
					arguments("draining, new stream", draining, stepCall("t", 1, 0, "v1"), notRun),
					arguments("slow, step", slow, nextWithShortTimeout, outcomeUnknown),
					arguments("cancelled, next position", cancelled, next, notRun),
					arguments("cancelled, export", cancelled, export, notRun),
					arguments("cancelled, first position", cancelled, stepCall("s", 1, 0, "v1"), success),
					arguments("older attempt",
							(Fault) (test) -> test.client.step(stage(test), step("s", 3, 3, 1, "v1"), LONG_TIMEOUT),
							stepCall("s", 2, 4, "v1"), notRun),
					arguments("position skipped", none, stepCall("s", 1, 5, "v1"), notRun),
					arguments("other version", none, stepCall("s", 1, 3, "v2"), notRun))
			.toList();
	}

	/** Fails if a repeated step runs again or gets another reply than the first time. */
	@Test
	void answersRepeatedStepWithStoredReply() throws PeerException {
		StepReply first = this.client.step(stage(), step("s", 1, 0, 3, "v1"), LONG_TIMEOUT);
		StepReply repeated = this.client.stepOnNewConnection(stage(), step("s", 1, 0, 3, "v1"), LONG_TIMEOUT);
		assertThat(repeated.output()).isEqualTo(first.output());
		assertThat(this.engine.exportCache("s").orElseThrow().nextPosition()).isEqualTo(3);
	}

	/** Fails if a later attempt cannot restart a stream from its first position. */
	@Test
	void restartsStreamUnderLaterAttempt() throws PeerException {
		StepReply first = this.client.step(stage(), step("s", 1, 0, 3, "v1"), LONG_TIMEOUT);
		this.client.step(stage(), step("s", 1, 3, 1, "v1"), LONG_TIMEOUT);
		StepReply restarted = this.client.step(stage(), step("s", 2, 0, 3, "v1"), LONG_TIMEOUT);
		assertThat(restarted.output()).isEqualTo(first.output());
		assertThat(restarted.attempt()).isEqualTo(2);
	}

	/**
	 * Fails if a stream continues with other output from an imported cache than from the
	 * exported one, or if the cache of an older attempt is imported over it.
	 */
	@Test
	void continuesFromImportedCache() throws PeerException {
		this.client.step(stage(), step("s", 1, 0, 3, "v1"), LONG_TIMEOUT);
		KvCache cache = this.client.exportCache(stage(), "s", LONG_TIMEOUT);
		this.client.importCache(stage(this.otherListener), cache.withAttempt(2), LONG_TIMEOUT);
		StepReply moved = this.client.step(stage(this.otherListener), step("s", 2, 3, 1, "v1"), LONG_TIMEOUT);
		StepReply stayed = this.client.step(stage(), step("s", 1, 3, 1, "v1"), LONG_TIMEOUT);
		assertThat(moved.output()).isEqualTo(stayed.output());
		assertThrows(NotRunException.class,
				() -> this.client.importCache(stage(this.otherListener), cache.withAttempt(1), LONG_TIMEOUT));
	}

	/**
	 * Fails if the cache of a cancelled stream is kept, or the delayed cancellation of an
	 * attempt drops the cache of a later one.
	 */
	@Test
	void cancelsUpToGivenAttempt() throws PeerException {
		this.client.step(stage(), step("s", 2, 0, 3, "v1"), LONG_TIMEOUT);
		this.client.cancel(stage(), "s", 1, LONG_TIMEOUT);
		assertThat(this.engine.exportCache("s").isPresent()).isTrue();
		this.client.cancel(stage(), "s", 2, LONG_TIMEOUT);
		assertThat(this.engine.exportCache("s").isPresent()).isFalse();
	}

	/** Fails if an injected stale reply cannot be distinguished from the expected one. */
	@Test
	void staleReplyNamesAnotherPosition() throws PeerException {
		this.client.step(stage(), step("s", 1, 0, 3, "v1"), LONG_TIMEOUT);
		this.faults.setStaleReplyInterval(1);
		assertThat(this.client.step(stage(), step("s", 1, 3, 1, "v1"), LONG_TIMEOUT).position()).isEqualTo(0);
	}

	private Stage stage() {
		return stage(this.listener);
	}

	private static Stage stage(EngineHandlerTest test) {
		return test.stage();
	}

	private static Stage stage(HttpListener engineListener) {
		return new Stage("e", new Address("127.0.0.1", engineListener.port()), LAYERS);
	}

	private static Call stepCall(String stream, int attempt, int position, String version) {
		int count = (position == 0) ? 3 : 1;
		return (test) -> test.client.step(test.stage(), step(stream, attempt, position, count, version), LONG_TIMEOUT);
	}

	private static StepRequest step(String stream, int attempt, int position, int count, String version) {
		return new StepRequest(stream, attempt, "m", version, "", LAYERS, position, new long[count], 0);
	}

	/** Injects a fault. */
	@FunctionalInterface
	interface Fault {

		void inject(EngineHandlerTest test) throws PeerException;

	}

	/** Makes a call under a fault. */
	@FunctionalInterface
	interface Call {

		void run(EngineHandlerTest test) throws PeerException;

	}

}
