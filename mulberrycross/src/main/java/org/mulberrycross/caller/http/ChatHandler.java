package org.mulberrycross.caller.http;

import java.io.IOException;
import java.time.Duration;
import java.util.Objects;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.caller.CallerRequest;
import org.mulberrycross.caller.CompletionService;
import org.mulberrycross.caller.Tokenizer;
import org.mulberrycross.http.HttpMessages;
import org.mulberrycross.http.Json;
import org.mulberrycross.operator.Configuration;
import org.mulberrycross.operator.PipelineObject;
import org.mulberrycross.operator.TeamObject;

/**
 * Handles {@code POST /v1/chat/completions}. Reads and validates the request on a worker
 * thread and passes it to the completion service. Thread-safe.
 */
public final class ChatHandler extends HttpHandler {

	/** Path of the chat completion endpoint. */
	public static final String PATH = "/v1/chat/completions";

	/** Output limit of requests without one, unless the pipeline's limit is lower. */
	private static final int DEFAULT_MAX_TOKENS = 64;

	private final Supplier<Configuration> configuration;

	private final TeamAuthenticator authenticator;

	private final CompletionService service;

	private final Tokenizer tokenizer;

	private final Supplier<String> requestIds;

	private final MonotonicClock clock;

	private final ChatLimits limits;

	/**
	 * Creates a handler.
	 * @param configuration returns the current configuration, not null
	 * @param service serves the requests, not null
	 * @param tokenizer converts prompts to tokens, not null
	 * @param requestIds returns a new request identifier on each call, not null
	 * @param clock the daemon's clock, not null
	 * @param limits the limits on requests, not null
	 */
	public ChatHandler(Supplier<Configuration> configuration, CompletionService service, Tokenizer tokenizer,
			Supplier<String> requestIds, MonotonicClock clock, ChatLimits limits) {
		this.configuration = Objects.requireNonNull(configuration, "configuration");
		this.authenticator = new TeamAuthenticator(configuration);
		this.service = Objects.requireNonNull(service, "service");
		this.tokenizer = Objects.requireNonNull(tokenizer, "tokenizer");
		this.requestIds = Objects.requireNonNull(requestIds, "requestIds");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.limits = Objects.requireNonNull(limits, "limits");
	}

	@Override
	public void service(Request request, Response response) throws IOException {
		try {
			TeamObject team = this.authenticator.authenticate(request);
			ChatRequest chat = readChatRequest(request);
			CallerRequest callerRequest = validate(team, chat);
			response.suspend();
			this.service.serve(callerRequest, createAnswer(response, chat, callerRequest));
		}
		catch (RequestRejectedException ex) {
			HttpMessages.writeJson(response, ex.status(), ErrorBody.of(ex.code(), ex));
		}
	}

	private static HttpAnswer createAnswer(Response response, ChatRequest chat, CallerRequest request) {
		return chat.stream().orElse(false) ? new StreamedAnswer(response, request)
				: new BufferedAnswer(response, request);
	}

	private ChatRequest readChatRequest(Request request) throws RequestRejectedException, IOException {
		byte[] body = HttpMessages.readBody(request, this.limits.maxBodyBytes())
			.orElseThrow(() -> new RequestRejectedException(Step.READ_REQUEST, 413, "body_too_large",
					"the request body exceeds " + this.limits.maxBodyBytes() + " bytes"));
		try {
			return Json.decode(body, ChatRequest.class, new Peer(Peer.Kind.CALLER, ""));
		}
		catch (PeerException ex) {
			throw new RequestRejectedException(Step.READ_REQUEST, 400, "malformed_json",
					"the request body is not a valid JSON chat completion request");
		}
	}

	private CallerRequest validate(TeamObject team, ChatRequest chat) throws RequestRejectedException {
		if (chat.model() == null || chat.model().isEmpty()) {
			throw badParameter("model", "is missing");
		}
		PipelineObject pipeline = this.configuration.get()
			.pipeline(chat.model())
			.orElseThrow(() -> new RequestRejectedException(Step.READ_REQUEST, 404, "unknown_pipeline",
					"pipeline '" + chat.model() + "' does not exist"));
		if (!team.mayUse(pipeline.name())) {
			throw new RequestRejectedException(Step.AUTHENTICATE, 403, "pipeline_not_allowed",
					"team '" + team.name() + "' is not allowed to use pipeline '" + pipeline.name() + "'");
		}
		int maxTokens = chat.maxTokens().orElse(Math.min(DEFAULT_MAX_TOKENS, pipeline.maxTokens()));
		if (maxTokens < 1 || maxTokens > pipeline.maxTokens()) {
			throw badParameter("max_tokens", maxTokens + " is outside the range 1 to " + pipeline.maxTokens());
		}
		long[] promptTokens = this.tokenizer.tokenize(joinPrompt(chat));
		if (promptTokens.length == 0) {
			throw badParameter("messages", "contain no text");
		}
		long now = this.clock.nanos();
		return new CallerRequest(this.requestIds.get(), team.name(), pipeline.name(), promptTokens, maxTokens, now,
				now + this.limits.maxWait().toNanos());
	}

	private static String joinPrompt(ChatRequest chat) throws RequestRejectedException {
		if (chat.messages() == null || chat.messages().isEmpty()) {
			throw badParameter("messages", "are missing");
		}
		for (ChatRequest.Message message : chat.messages()) {
			if (message == null || message.content() == null) {
				throw badParameter("messages", "contain a message without content");
			}
		}
		return chat.messages().stream().map(ChatRequest.Message::content).collect(Collectors.joining("\n"));
	}

	private static RequestRejectedException badParameter(String name, String problem) {
		return new RequestRejectedException(Step.READ_REQUEST, 400, "bad_parameter", "'" + name + "' " + problem);
	}

	/**
	 * Limits on chat completion requests. Immutable and thread-safe.
	 *
	 * @param maxBodyBytes the maximum size of the request body, in bytes
	 * @param maxWait the maximum time from arrival to start, positive
	 */
	public record ChatLimits(int maxBodyBytes, Duration maxWait) {

	}

}
