package org.mulberrycross.platform.http;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.mulberrycross.Address;
import org.mulberrycross.NotRunException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpReply;
import org.mulberrycross.http.Json;
import org.mulberrycross.platform.Instance;
import org.mulberrycross.platform.InstanceList;

/**
 * Reads the instance list over HTTP as JSON. Thread-safe.
 */
public final class HttpInstanceList implements InstanceList {

	/** Path of the instance list on the platform. */
	public static final String PATH = "/instances";

	private final HttpClient client;

	private final Address address;

	private final Duration timeout;

	private final Peer peer;

	/**
	 * Creates a client.
	 * @param client the HTTP client, not null; not closed by this class
	 * @param address the address of the platform, not null
	 * @param timeout the timeout of one call, positive
	 */
	public HttpInstanceList(HttpClient client, Address address, Duration timeout) {
		this.client = Objects.requireNonNull(client, "client");
		this.address = Objects.requireNonNull(address, "address");
		this.timeout = Objects.requireNonNull(timeout, "timeout");
		this.peer = new Peer(Peer.Kind.PLATFORM, address.toString());
	}

	@Override
	public List<Instance> read() throws PeerException {
		HttpReply reply = this.client
			.send(HttpCall.get(Step.READ_INSTANCES, this.peer, this.address, PATH, this.timeout));
		if (!reply.isSuccess()) {
			throw new NotRunException(Step.READ_INSTANCES, this.peer,
					"instance list request failed with status " + reply.status());
		}
		InstanceMessages.Instances body = Json.decode(reply.body(), InstanceMessages.Instances.class, this.peer);
		if (body.instances() == null) {
			throw new PeerException(Step.CODEC, this.peer, "instance list has no field 'instances'");
		}
		return body.instances().stream().flatMap((item) -> InstanceMessages.toInstance(item).stream()).toList();
	}

}
