package org.mulberrycross.sibling.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.StorePosition;
import org.mulberrycross.http.HttpReply;
import org.mulberrycross.sibling.ChangesQuery;
import org.mulberrycross.sibling.ChangesReply;
import org.mulberrycross.sibling.ChangesReply.Status;
import org.mulberrycross.sibling.SharedChange;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against replies whose changes or age are lost on the way.
 */
class ChangesCodecTest {

	private static final Peer PEER = new Peer(Peer.Kind.SIBLING, "");

	/** Fails if an entry of another writer that is not valid JSON cannot be passed on. */
	@Test
	void passesOnAnyBytes() throws PeerException {
		byte[] value = { '{', (byte) 0xff, 0 };
		ChangesReply reply = new ChangesReply(Status.KNOWN, StorePosition.of(9), -3,
				List.of(new SharedChange("servers/a", 8, Optional.of(value)),
						new SharedChange("servers/b", 9, Optional.empty())));
		ChangesReply decoded = ChangesCodec.decode(
				new HttpReply(ChangesCodec.statusCode(reply), Map.of(), ChangesCodec.encodeBody(reply)), "servers",
				PEER);
		assertThat(decoded.position().revision()).isEqualTo(9);
		assertThat(decoded.ageMillis()).isEqualTo(-3);
		assertThat(decoded.changes().get(0).value().orElseThrow()).isEqualTo(value);
		assertThat(decoded.changes().get(1)).isEqualTo(reply.changes().get(1));
	}

	/**
	 * Fails if the era is lost on the way, or if what a build before eras sends is not
	 * understood.
	 */
	@Test
	void eraIsOptional() throws PeerException {
		ChangesReply reply = ChangesReply.otherEra(StorePosition.of(3, 9));
		assertThat(ChangesCodec
			.decode(new HttpReply(ChangesCodec.statusCode(reply), Map.of(), ChangesCodec.encodeBody(reply)), "servers",
					PEER)
			.position()).isEqualTo(StorePosition.of(3, 9));
		byte[] former = "{\"revision\":9,\"age_ms\":0,\"changes\":[]}".getBytes(StandardCharsets.UTF_8);
		assertThat(ChangesCodec.decode(new HttpReply(200, Map.of(), former), "servers", PEER).position())
			.isEqualTo(StorePosition.of(9));
		ChangesQuery query = new ChangesQuery("servers", StorePosition.of(3, 9), Duration.ofMillis(900));
		assertThat(ChangesCodec.decodeQuery(ChangesCodec.encodeQuery(query, "b"))).hasValue(query);
		assertThat(ChangesCodec.decodeQuery("/v1/changes?kind=servers&after=9&wait_ms=1").orElseThrow().after())
			.isEqualTo(StorePosition.of(9));
		assertThat(ChangesCodec.decodeQuery("/v1/changes?kind=servers&after=9&era=x&wait_ms=1")).isEmpty();
	}

	/** Fails if a reply without a sound age, or about other objects, is believed. */
	@ParameterizedTest
	@ValueSource(strings = { "{\"revision\":9,\"changes\":[]}", "{\"age_ms\":0,\"changes\":[]}",
			"{\"revision\":9,\"age_ms\":0}", "{\"revision\":9,\"age_ms\":-9223372036854775808,\"changes\":[]}",
			"{\"revision\":9,\"age_ms\":0,\"changes\":[{\"key\":\"config/main\",\"version\":9}]}",
			"{\"revision\":9,\"age_ms\":0,\"changes\":[null]}", "[]", "x" })
	void rejectsIncompleteReply(String body) {
		HttpReply reply = new HttpReply(200, Map.of(), body.getBytes(StandardCharsets.UTF_8));
		assertThrows(PeerException.class, () -> ChangesCodec.decode(reply, "servers", PEER));
	}

	/** Fails if a refusal loses its reason, or an odd query ends the handler. */
	@Test
	void keepsStatusAndQuery() throws PeerException {
		for (Status status : Status.values()) {
			ChangesReply reply = ChangesReply.of(status);
			assertThat(ChangesCodec
				.decode(new HttpReply(ChangesCodec.statusCode(reply), Map.of(), ChangesCodec.encodeBody(reply)),
						"servers", PEER)
				.status()).isEqualTo(status);
		}
		ChangesQuery query = new ChangesQuery("a b&c", StorePosition.of(7), Duration.ofMillis(900));
		String target = ChangesCodec.encodeQuery(query, "d&1");
		assertThat(ChangesCodec.decodeQuery(target)).hasValue(query);
		assertThat(ChangesCodec.decodeSender(target)).hasValue("d&1");
		assertThat(ChangesCodec.decodeSender("/v1/changes?from=%")).isEmpty();
		assertThat(ChangesCodec.decodeQuery("/v1/changes?kind=%&after=1&wait_ms=1")).isEmpty();
		assertThat(ChangesCodec.decodeQuery("/v1/changes")).isEmpty();
	}

}
