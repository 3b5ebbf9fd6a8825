package org.mulberrycross.sibling.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mulberrycross.Address;
import org.mulberrycross.NotRunException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpListener;
import org.mulberrycross.sibling.Digest;
import org.mulberrycross.sibling.HealthReport;
import org.mulberrycross.sibling.LeavingNotice;
import org.mulberrycross.sibling.LoadReport;
import org.mulberrycross.sibling.Member;
import org.mulberrycross.sibling.ShareReply;
import org.mulberrycross.sibling.ShareRequest;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class SiblingHandlerTest {

	private static final Member SELF = new Member("a", new Address("127.0.0.1", 1), 3, 4);

	private static final Digest DIGEST = new Digest(Digest.PROTOCOL, SELF, 9, List.of(new LeavingNotice("e", 5)),
			List.of(new HealthReport("e", "a", 6, 7, true)), List.of(new LoadReport("e", "a", 1, 2, 3, 4, 5, 6)),
			List.of(new Member("b", new Address("127.0.0.1", 2), 1, 1)));

	private final HttpListener listener = new HttpListener("127.0.0.1", 0, 2);

	private HttpClient httpClient;

	private Address address;

	private HttpSiblingClient siblingClient;

	private Optional<Digest> reply = Optional.of(DIGEST);

	@BeforeEach
	void start() throws Exception {
		this.httpClient = new HttpClient(1);
		this.listener.route(
				new SiblingHandler((digest) -> this.reply,
						(request) -> Optional.of(new ShareReply(Digest.PROTOCOL, SELF, 5000,
								List.of(new ShareReply.Grant(request.items().get(0).team(), 2)))),
						() -> Optional.of("head".getBytes(StandardCharsets.UTF_8)),
						(digest) -> digest.equals("known") ? Optional.of(new byte[] { 1 }) : Optional.empty()),
				SiblingHandler.PATHS);
		this.listener.start();
		this.address = new Address("127.0.0.1", this.listener.port());
		this.siblingClient = new HttpSiblingClient(this.httpClient, Duration.ofSeconds(10));
	}

	@AfterEach
	void stop() {
		this.listener.close();
		this.httpClient.close();
	}

	/** Fails if a value of a message is lost or altered between client and handler. */
	@Test
	void messagesRoundTripUnchanged() throws PeerException {
		assertThat(this.siblingClient.exchangeDigests(this.address, DIGEST)).isEqualTo(DIGEST);
		ShareRequest request = new ShareRequest(Digest.PROTOCOL, SELF, 1,
				List.of(new ShareRequest.Item("team", 1, 1, 2)));
		assertThat(this.siblingClient.requestShares(this.address, request).grants())
			.containsExactly(new ShareReply.Grant("team", 2));
		assertThat(this.siblingClient.configurationHead(this.address)).isPresent();
		assertThat(this.siblingClient.configurationChunk(this.address, "known")).isPresent();
		assertThat(this.siblingClient.configurationChunk(this.address, "unknown")).isEmpty();
	}

	/** Fails if the 503 response of an overloaded daemon is decoded as a digest. */
	@Test
	void overloadedSiblingRaisesNotRunException() {
		this.reply = Optional.empty();
		assertThrows(NotRunException.class, () -> this.siblingClient.exchangeDigests(this.address, DIGEST));
	}

	/** Fails if a malformed message reaches the digest handler. */
	@ParameterizedTest
	@ValueSource(strings = { "", "null", "[]", "{}", "{\"sender\":5}" })
	void malformedMessageIsRejected(String body) throws PeerException {
		assertThat(
				this.httpClient
					.send(HttpCall.post(Step.GOSSIP, new Peer(Peer.Kind.SIBLING, "a"), this.address,
							SiblingHandler.GOSSIP_PATH, body.getBytes(StandardCharsets.UTF_8), Duration.ofSeconds(10)))
					.status())
			.isEqualTo(400);
	}

	/** Fails if daemons of different versions cannot communicate in a rolling restart. */
	@Test
	void unknownFieldsAndElementsAreIgnored() throws PeerException {
		String json = "{\"protocol\":2,\"sender\":[\"a\",[\"127.0.0.1\",1,\"x\"],3,4,{\"y\":1}],\"generation\":9,"
				+ "\"new\":[1],\"leaving\":[[\"e\",5,\"z\"]]}";
		Digest digest = SiblingCodec.decode(json.getBytes(StandardCharsets.UTF_8), Digest.class,
				new Peer(Peer.Kind.SIBLING, "a"));
		assertThat(digest.sender()).isEqualTo(SELF);
		assertThat(digest.leaving()).containsExactly(new LeavingNotice("e", 5));
	}

}
