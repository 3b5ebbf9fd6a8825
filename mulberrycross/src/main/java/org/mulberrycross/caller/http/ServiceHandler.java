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
 * Handles calls to plain services under {@code /v1/services/{service}/}. Validates the
 * request on a worker thread and runs the call on the call executor. Thread-safe.
 */
public final class ServiceHandler extends HttpHandler {

	/** Path pattern of the service endpoints. */
	public static final String PATHS = "/v1/services/*";

	private static final Logger logger = LoggerFactory.getLogger(ServiceHandler.class);

	private static final String PATH_PREFIX = "/v1/services/";

	private static final int MAX_IDEMPOTENCY_KEY_CHARS = 255;

	private final ServiceDirectory directory;

	private final TeamAuthenticator authenticator;

	private final ServiceGateway gateway;

	private final Executor callExecutor;

	private final int maxBodyBytes;

	/**
	 * Creates a handler.
	 * @param configuration returns the current configuration, not null
	 * @param directory finds the operations of services, not null
	 * @param gateway forwards the calls to services, not null
	 * @param callExecutor runs blocking calls, or rejects them if overloaded, not null
	 * @param maxBodyBytes the maximum size of a request body, in bytes
	 */
	public ServiceHandler(Supplier<Configuration> configuration, ServiceDirectory directory, ServiceGateway gateway,
			Executor callExecutor, int maxBodyBytes) {
		this.directory = Objects.requireNonNull(directory, "directory");
		this.authenticator = new TeamAuthenticator(configuration);
		this.gateway = Objects.requireNonNull(gateway, "gateway");
		this.callExecutor = Objects.requireNonNull(callExecutor, "callExecutor");
		this.maxBodyBytes = maxBodyBytes;
	}

	@Override
	public void service(Request request, Response response) throws IOException {
		try {
			TeamObject team = this.authenticator.authenticate(request);
			ServiceCall call = readCall(team, request);
			boolean idempotent = validate(team, call);
			response.suspend();
			this.callExecutor.execute(() -> runCall(call, idempotent, response));
		}
		catch (RequestRejectedException ex) {
			HttpMessages.writeJson(response, ex.status(), ErrorBody.of(ex.code(), ex));
		}
		catch (RejectedExecutionException ex) {
			writeNotRun(response, "overloaded", new NotRunException(Step.ADMIT, new Peer(Peer.Kind.CALLER, ""),
					"too many service calls are queued on this daemon"));
			response.resume();
		}
	}

	private ServiceCall readCall(TeamObject team, Request request) throws RequestRejectedException, IOException {
		String servicePath = request.getRequestURI().substring(PATH_PREFIX.length());
		int slash = servicePath.indexOf('/');
		if (slash < 1) {
			throw new RequestRejectedException(Step.READ_REQUEST, 404, "unknown_operation",
					"the path does not have the form " + PATH_PREFIX + "{service}/{path}");
		}
		byte[] body = HttpMessages.readBody(request, this.maxBodyBytes)
			.orElseThrow(() -> new RequestRejectedException(Step.READ_REQUEST, 413, "body_too_large",
					"the request body exceeds " + this.maxBodyBytes + " bytes"));
		return new ServiceCall(team.name(), servicePath.substring(0, slash), request.getMethod().getMethodString(),
				servicePath.substring(slash), Objects.requireNonNullElse(request.getQueryString(), ""),
				Objects.requireNonNullElse(request.getContentType(), ""), body,
				Optional.ofNullable(request.getHeader("Idempotency-Key")).filter((key) -> !key.isBlank()));
	}

	private boolean validate(TeamObject team, ServiceCall call) throws RequestRejectedException {
		if (!team.mayUse(call.service())) {
			throw new RequestRejectedException(Step.AUTHENTICATE, 403, "service_not_allowed",
					"team '" + team.name() + "' is not allowed to use service '" + call.service() + "'");
		}
		ServiceOperation operation = this.directory.findOperation(call)
			.orElseThrow(() -> new RequestRejectedException(Step.READ_REQUEST, 404, "unknown_operation",
					"service '" + call.service() + "' has no operation " + call.method() + " " + call.path()));
		if (!operation.idempotent() && call.idempotencyKey().isEmpty()) {
			throw new RequestRejectedException(Step.READ_REQUEST, 400, "missing_idempotency_key",
					"the operation is not idempotent and requires an Idempotency-Key header");
		}
		if (call.idempotencyKey().filter((key) -> key.length() > MAX_IDEMPOTENCY_KEY_CHARS).isPresent()) {
			throw new RequestRejectedException(Step.READ_REQUEST, 400, "bad_idempotency_key",
					"the Idempotency-Key header exceeds " + MAX_IDEMPOTENCY_KEY_CHARS + " characters");
		}
		return operation.idempotent();
	}

	private void runCall(ServiceCall call, boolean idempotent, Response response) {
		try {
			writeAnswer(call, this.gateway.call(call, idempotent), response);
		}
		catch (IOException ex) {
			logger.debug("failed to send the answer of service {} to the caller", call.service(), ex);
		}
		catch (RuntimeException ex) {
			logger.error("call to service {} failed with an unexpected exception", call.service(), ex);
			writeInternalError(call, response, ex);
		}
		finally {
			response.resume();
		}
	}

	private static void writeInternalError(ServiceCall call, Response response, RuntimeException cause) {
		try {
			HttpMessages.writeJson(response, 500, ErrorBody.of("outcome_unknown",
					new OutcomeUnknownException(Step.CALL_SERVICE, servicePeer(call), "internal error", cause)));
		}
		catch (IOException ex) {
			logger.debug("failed to send the error of service {} to the caller", call.service(), ex);
		}
	}

	private static void writeAnswer(ServiceCall call, CallAnswer answer, Response response) throws IOException {
		CallOutcome outcome = answer.outcome();
		Peer peer = servicePeer(call);
		switch (answer.kind()) {
			case KEY_REUSED -> HttpMessages.writeJson(response, 422,
					ErrorBody.of("key_reused", new NotRunException(Step.RECORD_INTENT, peer, outcome.reason())));
			case IN_PROGRESS -> HttpMessages.writeJson(response, 409,
					ErrorBody.of("in_progress", new PeerException(Step.RECORD_INTENT, peer, outcome.reason())));
			case STORED_WITHOUT_BODY -> HttpMessages.writeJson(response, 409,
					ErrorBody.of("result_not_stored",
							new PeerException(Step.RECORD_OUTCOME, peer, "the call completed with status "
									+ outcome.status() + ", but its body was too large to store")));
			case ATTEMPTED, STORED -> writeOutcome(outcome, answer.kind() == CallAnswer.Kind.STORED, peer, response);
		}
	}

	private static void writeOutcome(CallOutcome outcome, boolean stored, Peer peer, Response response)
			throws IOException {
		switch (outcome.kind()) {
			case NOT_RUN ->
				writeNotRun(response, "not_run", new NotRunException(Step.CALL_SERVICE, peer, outcome.reason()));
			case UNKNOWN -> HttpMessages.writeJson(response, 502, ErrorBody.of("outcome_unknown",
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

	private static void writeNotRun(Response response, String code, NotRunException error) throws IOException {
		response.setHeader("Retry-After", "1");
		HttpMessages.writeJson(response, 503, ErrorBody.of(code, error));
	}

	private static Peer servicePeer(ServiceCall call) {
		return new Peer(Peer.Kind.SERVICE, call.service());
	}

}
