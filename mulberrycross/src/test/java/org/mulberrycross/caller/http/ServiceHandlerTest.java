package org.mulberrycross.caller.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.commons.codec.digest.DigestUtils;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mulberrycross.Address;
import org.mulberrycross.Peer;
import org.mulberrycross.Step;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpListener;
import org.mulberrycross.http.HttpReply;
import org.mulberrycross.operator.Configuration;
import org.mulberrycross.operator.ServiceOperation;
import org.mulberrycross.operator.TeamObject;
import org.mulberrycross.operator.UpstreamObject;
import org.mulberrycross.service.CallAnswer;
import org.mulberrycross.service.CallOutcome;
import org.mulberrycross.service.ServiceDirectory;
import org.mulberrycross.service.ServiceGateway;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ServiceHandler} over HTTP: the statuses and error codes that callers'
 * programs rely on.
 */
class ServiceHandlerTest {

	private static final Configuration CONFIGURATION = Configuration.of(1,
			List.of(new TeamObject("team", DigestUtils.sha256Hex("secret"), 1, 1, List.of("crew")),
					UpstreamObject.service("crew-1", "crew", "127.0.0.1:1", "dc",
							List.of(new ServiceOperation("POST", "/bookings", false),
									new ServiceOperation("GET", "/records", true)))));

	private final AtomicInteger callCount = new AtomicInteger();

	/**
	 * Fails if the status or error code of an outcome changes, or if a call that may have
	 * run is reported as not run.
	 */
	@ParameterizedTest
	@CsvSource({ "ATTEMPTED, COMPLETED, 201, booked", "STORED, COMPLETED, 201, booked",
			"ATTEMPTED, NOT_RUN, 503, '\"code\":\"not_run\" \"not_run\":true'",
			"ATTEMPTED, UNKNOWN, 502, '\"code\":\"outcome_unknown\" \"not_run\":false'",
			"STORED, UNKNOWN, 502, '\"code\":\"outcome_unknown\" \"not_run\":false'",
			"STORED_WITHOUT_BODY, COMPLETED, 409, '\"code\":\"result_not_stored\" \"not_run\":false'",
			"IN_PROGRESS, UNKNOWN, 409, '\"code\":\"in_progress\" \"not_run\":false'",
			"KEY_REUSED, NOT_RUN, 422, '\"code\":\"key_reused\" \"not_run\":true'" })
	void answersHaveStableCodes(CallAnswer.Kind kind, CallOutcome.Kind outcome, int status, String parts)
			throws Exception {
		CallOutcome callOutcome = switch (outcome) {
			case NOT_RUN -> CallOutcome.notRun("refused");
			case UNKNOWN -> CallOutcome.unknown("lost");
			case COMPLETED -> CallOutcome.completed(201, "text/plain", "booked".getBytes(StandardCharsets.UTF_8));
		};
		HttpReply reply = send((call, idempotent) -> new CallAnswer(kind, callOutcome), Runnable::run, "POST",
				"/v1/services/crew/bookings", Map.of("Authorization", "Bearer secret", "Idempotency-Key", "k"));
		assertReply(reply, status, parts.split(" "));
		assertThat(reply.header("Idempotent-Replayed").isPresent())
			.isEqualTo(status == 201 && kind.name().equals("STORED"));
	}

	/** Fails if a request that must be rejected reaches a service. */
	@ParameterizedTest
	@CsvSource({ "POST, /v1/services/crew/bookings, '', k, 401, missing_key",
			"POST, /v1/services/crew/bookings, other, k, 401, wrong_key",
			"POST, /v1/services/crew/bookings, secret, '', 400, missing_idempotency_key",
			"POST, /v1/services/press/bookings, secret, k, 403, service_not_allowed",
			"POST, /v1/services/crew/records, secret, k, 404, unknown_operation",
			"POST, /v1/services/crew, secret, k, 404, unknown_operation" })
	void rejectedRequestsDoNotRun(String method, String path, String apiKey, String idempotencyKey, int status,
			String code) throws Exception {
		Map<String, String> headers = apiKey.isEmpty() ? Map.of()
				: Map.of("Authorization", "Bearer " + apiKey, "Idempotency-Key", idempotencyKey);
		assertReply(send(completingGateway(), Runnable::run, method, path, headers), status,
				"\"code\":\"" + code + "\"", "\"not_run\":true");
		assertThat(this.callCount.get()).isEqualTo(0);
	}

	/** Fails if an overloaded daemon does not report that the call did not run. */
	@Test
	void overloadIsReportedAsNotRun() throws Exception {
		HttpReply reply = send(completingGateway(), (task) -> {
			throw new RejectedExecutionException();
		}, "GET", "/v1/services/crew/records", Map.of("Authorization", "Bearer secret"));
		assertReply(reply, 503, "\"code\":\"overloaded\"", "\"not_run\":true");
		assertThat(reply.header("Retry-After").isPresent()).isTrue();
	}

	/**
	 * Fails if a daemon that has just started, and has no configuration yet, rejects a
	 * valid key as wrong.
	 */
	@Test
	void daemonWithoutConfigurationIsNotReady() throws Exception {
		HttpReply reply = send(Configuration.empty(), completingGateway(), Runnable::run, "GET",
				"/v1/services/crew/records", Map.of("Authorization", "Bearer secret"));
		assertReply(reply, 503, "\"code\":\"not_ready\"", "\"not_run\":true");
	}

	private ServiceGateway completingGateway() {
		return (call, idempotent) -> {
			this.callCount.incrementAndGet();
			return new CallAnswer(CallAnswer.Kind.ATTEMPTED, CallOutcome.completed(200, "", new byte[0]));
		};
	}

	private static void assertReply(HttpReply reply, int status, String... parts) {
		assertThat(reply.status()).isEqualTo(status);
		for (String part : parts) {
			assertThat(new String(reply.body(), StandardCharsets.UTF_8)).contains(part);
		}
	}

	private static HttpReply send(ServiceGateway gateway, Executor callExecutor, String method, String path,
			Map<String, String> headers) throws Exception {
		return send(CONFIGURATION, gateway, callExecutor, method, path, headers);
	}

	private static HttpReply send(Configuration configuration, ServiceGateway gateway, Executor callExecutor,
			String method, String path, Map<String, String> headers) throws Exception {
		try (HttpListener listener = new HttpListener("127.0.0.1", 0, 2); HttpClient client = new HttpClient(1)) {
			listener.route(new ServiceHandler(() -> configuration,
					new ServiceDirectory(() -> configuration, (upstream) -> false), gateway, callExecutor, 1024),
					ServiceHandler.PATHS);
			listener.start();
			return client.send(new HttpCall(Step.CALL_SERVICE, new Peer(Peer.Kind.CALLER, ""),
					new Address("127.0.0.1", listener.port()), method, path, headers, new byte[0],
					Duration.ofSeconds(10), false));
		}
	}

}
