package org.mulberrycross.caller.http;

import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Supplier;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.NotRunException;
import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.http.HttpMessages;
import org.mulberrycross.operator.Configuration;
import org.mulberrycross.operator.ServiceOperation;
import org.mulberrycross.operator.TeamObject;
import org.mulberrycross.service.CallAnswer;
import org.mulberrycross.service.CallOutcome;
import org.mulberrycross.service.ServiceCall;
import org.mulberrycross.service.ServiceDirectory;
import org.mulberrycross.service.ServiceGateway;

/**
 * Serves calls to plain services under {@code /v1/services/{service}/}. Checks the
 * request on a worker thread and runs the call on a call thread. Thread-safe.
 */
public final class ServiceHandler extends HttpHandler {

	/** Paths that this handler serves. */
	public static final String PATHS = "/v1/services/*";

	private static final Logger logger = LoggerFactory.getLogger(ServiceHandler.class);

	private static final String PREFIX = "/v1/services/";

	private static final int MAX_KEY_LENGTH = 255;

	private final ServiceDirectory directory;

	private final TeamAuthenticator authenticator;

	private final ServiceGateway gateway;

	private final Executor calls;

	private final int maxBodyBytes;

	/**
	 * Creates a handler.
	 * @param configuration returns the configuration in force, not null
	 * @param directory finds the operations of services, not null
	 * @param gateway runs the calls, not null
	 * @param calls runs blocking work and refuses it when too much waits, not null
	 * @param maxBodyBytes the longest body, in bytes
	 */
	public ServiceHandler(Supplier<Configuration> configuration, ServiceDirectory directory, ServiceGateway gateway,
			Executor calls, int maxBodyBytes) {
		this.directory = Objects.requireNonNull(directory, "directory");
		this.authenticator = new TeamAuthenticator(configuration);
		this.gateway = Objects.requireNonNull(gateway, "gateway");
		this.calls = Objects.requireNonNull(calls, "calls");
		this.maxBodyBytes = maxBodyBytes;
	}

	@Override
	public void service(Request request, Response response) throws IOException {
		try {
			TeamObject team = this.authenticator.authenticate(request);
			ServiceCall call = read(team, request);
			boolean idempotent = check(team, call);
			response.suspend();
			this.calls.execute(() -> run(call, idempotent, response));
		}
		catch (RequestFault fault) {
			HttpMessages.reply(response, fault.status(), ErrorBody.of(fault.code(), fault));
		}
		catch (RejectedExecutionException ex) {
			notRun(response, "overloaded", new NotRunException(Step.ADMIT, new Peer(Peer.Kind.CALLER, ""),
					"too many service calls wait at this daemon"));
			response.resume();
		}
	}

	private ServiceCall read(TeamObject team, Request request) throws RequestFault, IOException {
		String rest = request.getRequestURI().substring(PREFIX.length());
		int slash = rest.indexOf('/');
		if (slash < 1) {
			throw new RequestFault(Step.READ_REQUEST, 404, "unknown_operation",
					"the path is not of the form " + PREFIX + "{service}/{path}");
		}
		byte[] body = HttpMessages.body(request, this.maxBodyBytes)
			.orElseThrow(() -> new RequestFault(Step.READ_REQUEST, 413, "body_too_large",
					"the body is longer than " + this.maxBodyBytes + " bytes"));
		return new ServiceCall(team.name(), rest.substring(0, slash), request.getMethod().getMethodString(),
				rest.substring(slash), Objects.requireNonNullElse(request.getQueryString(), ""),
				Objects.requireNonNullElse(request.getContentType(), ""), body,
				Optional.ofNullable(request.getHeader("Idempotency-Key")).filter((key) -> !key.isBlank()));
	}

	private boolean check(TeamObject team, ServiceCall call) throws RequestFault {
		if (!team.mayUse(call.service())) {
			throw new RequestFault(Step.AUTHENTICATE, 403, "service_not_allowed",
					"team '" + team.name() + "' may not use service '" + call.service() + "'");
		}
		ServiceOperation operation = this.directory.operation(call)
			.orElseThrow(() -> new RequestFault(Step.READ_REQUEST, 404, "unknown_operation",
					"service '" + call.service() + "' has no operation " + call.method() + " " + call.path()));
		if (!operation.idempotent() && call.idempotencyKey().isEmpty()) {
			throw new RequestFault(Step.READ_REQUEST, 400, "missing_idempotency_key",
					"the operation is not idempotent and needs an Idempotency-Key header");
		}
		if (call.idempotencyKey().filter((key) -> key.length() > MAX_KEY_LENGTH).isPresent()) {
			throw new RequestFault(Step.READ_REQUEST, 400, "bad_idempotency_key",
					"the Idempotency-Key is longer than " + MAX_KEY_LENGTH + " characters");
		}
		return operation.idempotent();
	}

	private void run(ServiceCall call, boolean idempotent, Response response) {
		try {
			answer(call, this.gateway.call(call, idempotent), response);
		}
		catch (IOException ex) {
			logger.debug("answer of service {} could not be sent to the caller", call.service(), ex);
		}
		catch (RuntimeException ex) {
			logger.error("call of service {} failed", call.service(), ex);
			fail(call, response, ex);
		}
		finally {
			response.resume();
		}
	}

	private static void fail(ServiceCall call, Response response, RuntimeException cause) {
		try {
			HttpMessages.reply(response, 500, ErrorBody.of("outcome_unknown",
					new OutcomeUnknownException(Step.CALL_SERVICE, peer(call), "internal error", cause)));
		}
		catch (IOException ex) {
			logger.debug("error of service {} could not be sent to the caller", call.service(), ex);
		}
	}

	private static void answer(ServiceCall call, CallAnswer answer, Response response) throws IOException {
		CallOutcome outcome = answer.outcome();
		Peer peer = peer(call);
		switch (answer.kind()) {
			case KEY_REUSED -> HttpMessages.reply(response, 422,
					ErrorBody.of("key_reused", new NotRunException(Step.RECORD_INTENT, peer, outcome.reason())));
			case IN_PROGRESS -> HttpMessages.reply(response, 409,
					ErrorBody.of("in_progress", new PeerException(Step.RECORD_INTENT, peer, outcome.reason())));
			case STORED_WITHOUT_BODY -> HttpMessages.reply(response, 409,
					ErrorBody.of("result_not_stored", new PeerException(Step.RECORD_OUTCOME, peer,
							"the call completed with status " + outcome.status() + "; its body was too long to keep")));
			case ATTEMPTED, STORED -> outcome(outcome, answer.kind() == CallAnswer.Kind.STORED, peer, response);
		}
	}

	private static void outcome(CallOutcome outcome, boolean stored, Peer peer, Response response) throws IOException {
		switch (outcome.kind()) {
			case NOT_RUN -> notRun(response, "not_run", new NotRunException(Step.CALL_SERVICE, peer, outcome.reason()));
			case UNKNOWN -> HttpMessages.reply(response, 502, ErrorBody.of("outcome_unknown",
					new OutcomeUnknownException(Step.CALL_SERVICE, peer, outcome.reason(), null)));
			case COMPLETED -> {
				response.setStatus(outcome.status());
				if (!outcome.contentType().isEmpty()) {
					response.setContentType(outcome.contentType());
				}
				if (stored) {
					response.setHeader("Idempotent-Replayed", "true");
				}
				response.setContentLength(outcome.body().length);
				response.getOutputStream().write(outcome.body());
				response.getOutputStream().flush();
			}
		}
	}

	private static void notRun(Response response, String code, NotRunException error) throws IOException {
		response.setHeader("Retry-After", "1");
		HttpMessages.reply(response, 503, ErrorBody.of(code, error));
	}

	private static Peer peer(ServiceCall call) {
		return new Peer(Peer.Kind.SERVICE, call.service());
	}

}
