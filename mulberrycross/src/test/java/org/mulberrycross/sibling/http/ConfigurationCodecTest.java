package org.mulberrycross.sibling.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.http.HttpReply;
import org.mulberrycross.sibling.ConfigurationReply;
import org.mulberrycross.sibling.SharedChange;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against configurations that siblings pass on incompletely, or that daemons of
 * another deployment pass on.
 */
class ConfigurationCodecTest {

	private static final Peer PEER = new Peer(Peer.Kind.SIBLING, "");

	private static HttpReply reply(int status, String body) {
		return new HttpReply(status, Map.of(), body.getBytes(StandardCharsets.UTF_8));
	}

	@Test
	void replyArrivesAsItWasSent() throws PeerException {
		byte[] value = { '{', (byte) 0xff, 0 };
		ConfigurationReply sent = new ConfigurationReply(
				Optional.of(new SharedChange("config/main", 8, Optional.of(value))),
				Optional.of(Duration.ofMillis(250)));
		ConfigurationReply decoded = ConfigurationCodec
			.decode(new HttpReply(200, Map.of(), ConfigurationCodec.encodeBody(sent)), PEER);
		assertThat(decoded.newer().orElseThrow().value().orElseThrow()).isEqualTo(value);
		assertThat(decoded.newer().orElseThrow().key()).isEqualTo("config/main");
		assertThat(decoded.restoredAgo()).isEqualTo(sent.restoredAgo());
	}

	/**
	 * Fails if a build that does not know the query, or fields of a later one, make a
	 * daemon that starts wait.
	 */
	@Test
	void otherBuildsAreUnderstood() throws PeerException {
		assertThat(ConfigurationCodec.decode(reply(404, "no such path"), PEER))
			.isEqualTo(ConfigurationReply.NOTHING_KNOWN);
		assertThat(ConfigurationCodec.decode(reply(200, "{\"added_later\":1}"), PEER))
			.isEqualTo(ConfigurationReply.NOTHING_KNOWN);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "null", "[]", "{\"newer\":{\"key\":\"config/main\",\"version\":1}}",
			"{\"newer\":{\"key\":\"main\",\"version\":1,\"value\":\"e30=\"}}", "{\"restored_ms\":-1}",
			"{\"restored_ms\":\"x\"}" })
	void invalidReplyIsAFailure(String body) {
		assertThrows(PeerException.class, () -> ConfigurationCodec.decode(reply(200, body), PEER));
		assertThrows(PeerException.class, () -> ConfigurationCodec.decode(reply(403, body), PEER));
	}

	@Test
	void queryArrivesAsItWasSent() {
		assertThat(ConfigurationCodec.decodeQuery(ConfigurationCodec.encodeQuery("a&b c", "d=e", Long.MIN_VALUE)))
			.hasValue(new ConfigurationCodec.Query("a&b c", "d=e", Long.MIN_VALUE));
	}

	@ParameterizedTest
	@ValueSource(strings = { "/v1/sibling/configuration", "/v1/sibling/configuration?from=a&to=b",
			"/v1/sibling/configuration?from=a&to=b&version=x", "/v1/sibling/configuration?from=%zz&to=b&version=1" })
	void invalidQueryIsRejected(String target) {
		assertThat(ConfigurationCodec.decodeQuery(target)).isEmpty();
	}

}
