package org.mulberrycross.caller.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.codec.digest.DigestUtils;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mulberrycross.Address;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.caller.CompletionService;
import org.mulberrycross.caller.WordTokenizer;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpListener;
import org.mulberrycross.http.HttpReply;
import org.mulberrycross.http.Json;
import org.mulberrycross.operator.Configuration;
import org.mulberrycross.operator.PipelineObject;
import org.mulberrycross.operator.TeamObject;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ChatHandler} over HTTP, in particular for the responses to invalid
 * requests and for incomplete answers.
 */
class ChatHandlerTest {

	private static final Configuration CONFIGURATION = Configuration.of(1,
			List.of(new PipelineObject("p", "m", "v1", "", 100, 50), new PipelineObject("q", "m", "v1", "", 100, 50),
					new TeamObject("t", DigestUtils.sha256Hex("key"), 1, 10, List.of("p"))));

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private final AtomicInteger servedCount = new AtomicInteger();

	private CompletionService service = (request, answer) -> {
	};

	private HttpListener listener;

	private HttpClient client;

	@BeforeEach
	void start() throws Exception {
		this.client = new HttpClient(1);
		this.listener = new HttpListener("127.0.0.1", 0, 2);
		this.listener.route(new ChatHandler(() -> CONFIGURATION, (request, answer) -> {
			this.servedCount.incrementAndGet();
			this.service.serve(request, answer);
		}, new WordTokenizer(), () -> "id-1", MonotonicClock.system(),
				new ChatHandler.ChatLimits(1000, Duration.ofSeconds(1))), ChatHandler.PATH);
		this.listener.start();
	}

	@AfterEach
	void stop() {
		this.client.close();
		this.listener.close();
	}

	/**
	 * Fails if an invalid request is served, or rejected without its stable error code or
	 * the {@code not_run} flag.
	 */
	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			textBlock = """
					wrong | {"model":"p","messages":[{"role":"user","content":"a"}]}                    | 401 | wrong_key
					key   | {"model":"p","messages":[                                                   | 400 | malformed_json
					key   | []                                                                          | 400 | malformed_json
					key   | null                                                                        | 400 | malformed_json
					key   | {"messages":[{"role":"user","content":"a"}]}                                | 400 | bad_parameter
					key   | {"model":"p"}                                                               | 400 | bad_parameter
					key   | {"model":"p","messages":[]}                                                 | 400 | bad_parameter
					key   | {"model":"p","messages":[{"role":"user"}]}                                  | 400 | bad_parameter
					key   | {"model":"p","messages":[{"role":"user","content":"  "}]}                   | 400 | bad_parameter
					key   | {"model":"p","messages":[{"role":"user","content":"a"}],"max_tokens":0}     | 400 | bad_parameter
					key   | {"model":"p","messages":[{"role":"user","content":"a"}],"max_tokens":101}   | 400 | bad_parameter
					key   | {"model":"p","messages":[{"role":"user","content":"a"}],"max_tokens":"x"}   | 400 | malformed_json
					key   | {"model":"none","messages":[{"role":"user","content":"a"}]}                 | 404 | unknown_pipeline
					key   | {"model":"q","messages":[{"role":"user","content":"a"}]}                    | 403 | pipeline_not_allowed
					""")
	void rejectsInvalidRequests(String key, String body, int status, String code) throws Exception {
		HttpReply reply = post(key, body);
		assertThat(reply.status()).isEqualTo(status);
		JsonNode error = Json.mapper().readTree(reply.body()).get("error");
		assertThat(error.get("code").asText()).isEqualTo(code);
		assertThat(error.get("not_run").asBoolean()).isTrue();
		assertThat(error.get("step").asText()).isNotEmpty();
		assertThat(error.get("peer").asText()).isNotEmpty();
		assertThat(this.servedCount.get()).isEqualTo(0);
	}

	/** Fails if a request with a body over the limit is accepted. */
	@Test
	void rejectsOversizedBody() throws Exception {
		HttpReply reply = post("key", "{\"model\":\"" + "x".repeat(1000) + "\"}");
		assertThat(reply.status()).isEqualTo(413);
		assertThat(text(reply)).contains("\"code\":\"body_too_large\"");
	}

	/** Fails if a complete streamed answer lacks a token or its completion events. */
	@Test
	void streamedAnswerEndsWithCompletionEvent() throws Exception {
		this.service = (request, answer) -> {
			sendToAnswer(() -> answer.sendToken(0, " a"));
			sendToAnswer(answer::complete);
		};
		String text = text(post("key", body(true)));
		assertThat(text).contains("\"content\":\" a\"");
		assertThat(text).contains("\"finish_reason\":\"length\"");
		assertThat(text).endsWith("data: [DONE]\n\n");
	}

	/** Fails if an answer that failed midway looks like a short complete answer. */
	@Test
	void failedStreamHasNoCompletionEvent() throws Exception {
		this.service = (request, answer) -> {
			sendToAnswer(() -> answer.sendToken(0, " a"));
			answer.fail(new PeerException(Step.DECODE, new Peer(Peer.Kind.ENGINE, "e1"), "stage lost"));
		};
		String text = text(post("key", body(true)));
		assertThat(text).contains("\"error\"");
		assertThat(text).doesNotContain("[DONE]");
		assertThat(text).doesNotContain("finish_reason");
	}

	/** Fails if a request that may have run is reported as not run. */
	@Test
	void unknownOutcomeIsNotReportedAsNotRun() throws Exception {
		this.service = (request, answer) -> answer
			.fail(new OutcomeUnknownException(Step.PREFILL, new Peer(Peer.Kind.ENGINE, "e1"), "no reply", null));
		HttpReply reply = post("key", body(false));
		assertThat(reply.status()).isEqualTo(502);
		assertThat(text(reply)).contains("\"not_run\":false");
	}

	private static String body(boolean stream) {
		return "{\"model\":\"p\",\"stream\":" + stream + ",\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}";
	}

	private HttpReply post(String key, String body) throws PeerException {
		return this.client.send(HttpCall
			.post(Step.READ_REQUEST, new Peer(Peer.Kind.SIBLING, ""), new Address("127.0.0.1", this.listener.port()),
					ChatHandler.PATH, body.getBytes(StandardCharsets.UTF_8), TIMEOUT)
			.withHeader("Authorization", "Bearer " + key));
	}

	private static String text(HttpReply reply) {
		return new String(reply.body(), StandardCharsets.UTF_8);
	}

	private static void sendToAnswer(AnswerCall call) {
		try {
			call.run();
		}
		catch (PeerException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Call of a method of the answer, which may throw a checked exception.
	 */
	@FunctionalInterface
	private interface AnswerCall {

		void run() throws PeerException;

	}

}
