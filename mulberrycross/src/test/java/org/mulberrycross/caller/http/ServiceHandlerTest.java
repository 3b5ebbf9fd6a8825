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
 * Guards the statuses and codes that callers' programs rely on.
 */
class ServiceHandlerTest {

	private static final Configuration CONFIGURATION = Configuration.of(1,
			List.of(new TeamObject("team", DigestUtils.sha256Hex("secret"), 1, 1, List.of("crew")),
					UpstreamObject.service("crew-1", "crew", "127.0.0.1:1", "dc",
							List.of(new ServiceOperation("POST", "/bookings", false),
									new ServiceOperation("GET", "/records", true)))));

	private final AtomicInteger calls = new AtomicInteger();

	/**
	 * Fails if an answer gets another status or code, or "not run" where it may have run.
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
		CallOutcome given = switch (outcome) {
			case NOT_RUN -> CallOutcome.notRun("refused");
			case UNKNOWN -> CallOutcome.unknown("lost");
			case COMPLETED -> CallOutcome.completed(201, "text/plain", "booked".getBytes(StandardCharsets.UTF_8));
		};
		HttpReply reply = send((call, idempotent) -> new CallAnswer(kind, given), Runnable::run, "POST",
				"/v1/services/crew/bookings", Map.of("Authorization", "Bearer secret", "Idempotency-Key", "k"));
		expect(reply, status, parts.split(" "));
		assertThat(reply.header("Idempotent-Replayed").isPresent())
			.isEqualTo(status == 201 && kind.name().equals("STORED"));
	}

	/** Fails if a request that must be refused reaches a service. */
	@ParameterizedTest
	@CsvSource({ "POST, /v1/services/crew/bookings, '', k, 401, missing_key",
			"POST, /v1/services/crew/bookings, other, k, 401, wrong_key",
			"POST, /v1/services/crew/bookings, secret, '', 400, missing_idempotency_key",
			"POST, /v1/services/press/bookings, secret, k, 403, service_not_allowed",
			"POST, /v1/services/crew/records, secret, k, 404, unknown_operation",
			"POST, /v1/services/crew, secret, k, 404, unknown_operation" })
	void wrongRequestsDoNotRun(String method, String path, String secret, String key, int status, String code)
			throws Exception {
		Map<String, String> headers = secret.isEmpty() ? Map.of()
				: Map.of("Authorization", "Bearer " + secret, "Idempotency-Key", key);
		expect(send(completed(), Runnable::run, method, path, headers), status, "\"code\":\"" + code + "\"",
				"\"not_run\":true");
		assertThat(this.calls.get()).isEqualTo(0);
	}

	/** Fails if an overloaded daemon hides that it did not run the call. */
	@Test
	void overloadIsNotRun() throws Exception {
		HttpReply reply = send(completed(), (task) -> {
			throw new RejectedExecutionException();
		}, "GET", "/v1/services/crew/records", Map.of("Authorization", "Bearer secret"));
		expect(reply, 503, "\"code\":\"overloaded\"", "\"not_run\":true");
		assertThat(reply.header("Retry-After").isPresent()).isTrue();
	}

	/** Fails if a daemon that just started calls good keys wrong. */
	@Test
	void daemonWithoutConfigurationIsNotReady() throws Exception {
		HttpReply reply = send(Configuration.empty(), completed(), Runnable::run, "GET", "/v1/services/crew/records",
				Map.of("Authorization", "Bearer secret"));
		expect(reply, 503, "\"code\":\"not_ready\"", "\"not_run\":true");
	}

	private ServiceGateway completed() {
		return (call, idempotent) -> {
			this.calls.incrementAndGet();
			return new CallAnswer(CallAnswer.Kind.ATTEMPTED, CallOutcome.completed(200, "", new byte[0]));
		};
	}

	private static void expect(HttpReply reply, int status, String... parts) {
		assertThat(reply.status()).isEqualTo(status);
		for (String part : parts) {
			assertThat(new String(reply.body(), StandardCharsets.UTF_8)).contains(part);
		}
	}

	private static HttpReply send(ServiceGateway gateway, Executor calls, String method, String path,
			Map<String, String> headers) throws Exception {
		return send(CONFIGURATION, gateway, calls, method, path, headers);
	}

	private static HttpReply send(Configuration configuration, ServiceGateway gateway, Executor calls, String method,
			String path, Map<String, String> headers) throws Exception {
		try (HttpListener listener = new HttpListener("127.0.0.1", 0, 2); HttpClient client = new HttpClient(1)) {
			listener.route(
					new ServiceHandler(() -> configuration,
							new ServiceDirectory(() -> configuration, (upstream) -> false), gateway, calls, 1024),
					ServiceHandler.PATHS);
			listener.start();
			return client.send(new HttpCall(Step.CALL_SERVICE, new Peer(Peer.Kind.CALLER, ""),
					new Address("127.0.0.1", listener.port()), method, path, headers, new byte[0],
					Duration.ofSeconds(10), false));
		}
	}

}
