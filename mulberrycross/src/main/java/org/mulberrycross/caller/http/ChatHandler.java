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
 * Serves {@code POST /v1/chat/completions}. Reads and checks the request on a worker
 * thread and hands it to the completion service. Thread-safe.
 */
public final class ChatHandler extends HttpHandler {

	/** Path that this handler serves. */
	public static final String PATH = "/v1/chat/completions";

	private static final int DEFAULT_MAX_TOKENS = 64;

	private final Supplier<Configuration> configuration;

	private final TeamAuthenticator authenticator;

	private final CompletionService service;

	private final Tokenizer tokenizer;

	private final Supplier<String> identifiers;

	private final MonotonicClock clock;

	private final ChatLimits limits;

	/**
	 * Creates a handler.
	 * @param configuration returns the configuration in force, not null
	 * @param service serves the requests, not null
	 * @param tokenizer turns prompts into tokens, not null
	 * @param identifiers returns a new request identifier at each call, not null
	 * @param clock the daemon's clock, not null
	 * @param limits the limits on requests, not null
	 */
	public ChatHandler(Supplier<Configuration> configuration, CompletionService service, Tokenizer tokenizer,
			Supplier<String> identifiers, MonotonicClock clock, ChatLimits limits) {
		this.configuration = Objects.requireNonNull(configuration, "configuration");
		this.authenticator = new TeamAuthenticator(configuration);
		this.service = Objects.requireNonNull(service, "service");
		this.tokenizer = Objects.requireNonNull(tokenizer, "tokenizer");
		this.identifiers = Objects.requireNonNull(identifiers, "identifiers");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.limits = Objects.requireNonNull(limits, "limits");
	}

	@Override
	public void service(Request request, Response response) throws IOException {
		try {
			TeamObject team = this.authenticator.authenticate(request);
			ChatRequest chat = read(request);
			CallerRequest checked = check(team, chat);
			response.suspend();
			this.service.serve(checked, answer(response, chat, checked));
		}
		catch (RequestFault fault) {
			HttpMessages.reply(response, fault.status(), ErrorBody.of(fault.code(), fault));
		}
	}

	private static HttpAnswer answer(Response response, ChatRequest chat, CallerRequest checked) {
		return chat.stream().orElse(false) ? new StreamedAnswer(response, checked) : new WholeAnswer(response, checked);
	}

	private ChatRequest read(Request request) throws RequestFault, IOException {
		byte[] body = HttpMessages.body(request, this.limits.maxBodyBytes())
			.orElseThrow(() -> new RequestFault(Step.READ_REQUEST, 413, "body_too_large",
					"the body is longer than " + this.limits.maxBodyBytes() + " bytes"));
		try {
			return Json.decode(body, ChatRequest.class, new Peer(Peer.Kind.CALLER, ""));
		}
		catch (PeerException ex) {
			throw new RequestFault(Step.READ_REQUEST, 400, "malformed_json",
					"the body is not a chat completion request in JSON");
		}
	}

	private CallerRequest check(TeamObject team, ChatRequest chat) throws RequestFault {
		if (chat.model() == null || chat.model().isEmpty()) {
			throw parameter("model", "is missing");
		}
		PipelineObject pipeline = this.configuration.get()
			.pipeline(chat.model())
			.orElseThrow(() -> new RequestFault(Step.READ_REQUEST, 404, "unknown_pipeline",
					"there is no pipeline '" + chat.model() + "'"));
		if (!team.mayUse(pipeline.name())) {
			throw new RequestFault(Step.AUTHENTICATE, 403, "pipeline_not_allowed",
					"team '" + team.name() + "' may not use pipeline '" + pipeline.name() + "'");
		}
		int maxTokens = chat.maxTokens().orElse(Math.min(DEFAULT_MAX_TOKENS, pipeline.maxTokens()));
		if (maxTokens < 1 || maxTokens > pipeline.maxTokens()) {
			throw parameter("max_tokens", maxTokens + " is outside 1 to " + pipeline.maxTokens());
		}
		long[] prompt = this.tokenizer.tokens(prompt(chat));
		if (prompt.length == 0) {
			throw parameter("messages", "hold no text");
		}
		long now = this.clock.nanos();
		return new CallerRequest(this.identifiers.get(), team.name(), pipeline.name(), prompt, maxTokens, now,
				now + this.limits.maxWait().toNanos());
	}

	private static String prompt(ChatRequest chat) throws RequestFault {
		if (chat.messages() == null || chat.messages().isEmpty()) {
			throw parameter("messages", "are missing");
		}
		for (ChatRequest.Message message : chat.messages()) {
			if (message == null || message.content() == null) {
				throw parameter("messages", "hold a message without content");
			}
		}
		return chat.messages().stream().map(ChatRequest.Message::content).collect(Collectors.joining("\n"));
	}

	private static RequestFault parameter(String name, String problem) {
		return new RequestFault(Step.READ_REQUEST, 400, "bad_parameter", "'" + name + "' " + problem);
	}

	/**
	 * Limits on requests. Immutable and thread-safe.
	 *
	 * @param maxBodyBytes the longest body, in bytes
	 * @param maxWait the longest time from arrival to start, positive
	 */
	public record ChatLimits(int maxBodyBytes, Duration maxWait) {

	}

}
