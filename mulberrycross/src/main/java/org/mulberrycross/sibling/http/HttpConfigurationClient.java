package org.mulberrycross.sibling.http;

import java.time.Duration;
import java.util.Objects;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.sibling.ConfigurationClient;
import org.mulberrycross.sibling.ConfigurationReply;
import org.mulberrycross.sibling.Sibling;

/**
 * Asks siblings over HTTP for the newest configuration. Thread-safe; calls block.
 */
public final class HttpConfigurationClient implements ConfigurationClient {

	private final HttpClient client;

	private final String name;

	private final Duration timeout;

	/**
	 * Creates a client.
	 * @param client the HTTP client, not null; not closed by this class
	 * @param name the name of this daemon, sent with each query; not null
	 * @param timeout the maximum duration of one request, positive
	 */
	public HttpConfigurationClient(HttpClient client, String name, Duration timeout) {
		this.client = Objects.requireNonNull(client, "client");
		this.name = Objects.requireNonNull(name, "name");
		this.timeout = Objects.requireNonNull(timeout, "timeout");
	}

	@Override
	public ConfigurationReply request(Sibling sibling, long version) throws PeerException {
		Peer peer = new Peer(Peer.Kind.SIBLING, sibling.address().toString());
		HttpCall call = HttpCall
			.get(Step.ASK_CONFIGURATION, peer, sibling.address(),
					ConfigurationCodec.encodeQuery(this.name, sibling.name(), version), this.timeout)
			.withMaxReplyBytes(ConfigurationCodec.MAX_REPLY_BYTES);
		return ConfigurationCodec.decode(this.client.send(call), peer);
	}

}
