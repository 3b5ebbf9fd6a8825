package org.mulberrycross.platform.http;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

import org.mulberrycross.Address;
import org.mulberrycross.NotRunException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.StorePosition;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpReply;
import org.mulberrycross.http.Json;
import org.mulberrycross.platform.ObjectChange;
import org.mulberrycross.platform.ObjectPage;
import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.platform.WatchResult;

/**
 * Accesses the object API over HTTP with JSON, with versions as entity tags. Thread-safe.
 */
public final class HttpObjectStore implements ObjectStore {

	/**
	 * Time that the server has to respond after the timeout of a watch has expired.
	 */
	private static final Duration WATCH_REPLY_MARGIN = Duration.ofSeconds(5);

	private static final int NOT_FOUND = 404;

	private static final int PRECONDITION_FAILED = 412;

	private final HttpClient client;

	private final Address address;

	private final Duration timeout;

	private final Peer peer;

	/**
	 * Creates a client.
	 * @param client the HTTP client, not null; not closed by this class
	 * @param address the address of the object API, not null
	 * @param timeout the timeout of calls other than a watch, positive
	 */
	public HttpObjectStore(HttpClient client, Address address, Duration timeout) {
		this.client = Objects.requireNonNull(client, "client");
		this.address = Objects.requireNonNull(address, "address");
		this.timeout = Objects.requireNonNull(timeout, "timeout");
		this.peer = new Peer(Peer.Kind.PLATFORM, address.toString());
	}

	@Override
	public Optional<StoredObject> read(String key) throws PeerException {
		HttpReply reply = this.client
			.send(HttpCall.get(Step.READ_OBJECT, this.peer, this.address, objectPath(key), this.timeout));
		if (reply.status() == NOT_FOUND) {
			return Optional.empty();
		}
		return Optional.of(new StoredObject(key, parseVersion(requireSuccess(Step.READ_OBJECT, reply)), reply.body()));
	}

	@Override
	public ObjectPage list(Set<String> kinds, String after, int limit) throws PeerException {
		String path = "/objects?kinds=" + joinKinds(kinds) + "&after=" + urlEncode(after) + "&limit=" + limit;
		HttpReply reply = requireSuccess(Step.READ_OBJECT,
				this.client.send(HttpCall.get(Step.READ_OBJECT, this.peer, this.address, path, this.timeout)));
		ObjectMessages.Page page = Json.decode(reply.body(), ObjectMessages.Page.class, this.peer);
		return new ObjectPage(page.revision(),
				page.objects().stream().flatMap((item) -> toStoredObject(item).stream()).toList(), page.more());
	}

	@Override
	public OptionalLong create(String key, byte[] value) throws PeerException {
		return write(key, value, "If-None-Match", "*");
	}

	@Override
	public OptionalLong replace(String key, byte[] value, long expectedVersion) throws PeerException {
		return write(key, value, "If-Match", entityTag(expectedVersion));
	}

	@Override
	public boolean delete(String key, long expectedVersion) throws PeerException {
		HttpCall call = new HttpCall(Step.WRITE_OBJECT, this.peer, this.address, "DELETE", objectPath(key),
				Map.of("If-Match", entityTag(expectedVersion)), new byte[0], this.timeout, false);
		HttpReply reply = this.client.send(call);
		if (reply.status() == PRECONDITION_FAILED || reply.status() == NOT_FOUND) {
			return false;
		}
		requireSuccess(Step.WRITE_OBJECT, reply);
		return true;
	}

	@Override
	public WatchResult watch(Set<String> kinds, StorePosition after, Duration wait) throws PeerException {
		String path = "/objects?kinds=" + joinKinds(kinds) + "&watch=" + after.revision() + "&timeout-ms="
				+ wait.toMillis();
		HttpReply reply = requireSuccess(Step.WATCH, this.client
			.send(HttpCall.get(Step.WATCH, this.peer, this.address, path, wait.plus(WATCH_REPLY_MARGIN))));
		ObjectMessages.Changes changes = Json.decode(reply.body(), ObjectMessages.Changes.class, this.peer);
		return new WatchResult(changes.revision(),
				changes.changes().stream().map(HttpObjectStore::toObjectChange).toList(), changes.compacted());
	}

	private OptionalLong write(String key, byte[] value, String conditionHeader, String conditionValue)
			throws PeerException {
		HttpCall call = new HttpCall(Step.WRITE_OBJECT, this.peer, this.address, "PUT", objectPath(key),
				Map.of(conditionHeader, conditionValue, "Content-Type", "application/json"), value, this.timeout,
				false);
		HttpReply reply = this.client.send(call);
		if (reply.status() == PRECONDITION_FAILED || reply.status() == NOT_FOUND) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(parseVersion(requireSuccess(Step.WRITE_OBJECT, reply)));
	}

	private HttpReply requireSuccess(Step step, HttpReply reply) throws NotRunException {
		if (!reply.isSuccess()) {
			throw new NotRunException(step, this.peer, "object API request failed with status " + reply.status());
		}
		return reply;
	}

	private long parseVersion(HttpReply reply) throws PeerException {
		String tag = reply.header("ETag").orElse("");
		try {
			return Long.parseLong(tag.replace("\"", ""));
		}
		catch (NumberFormatException ex) {
			throw new PeerException(Step.CODEC, this.peer, "entity tag '" + tag + "' is not an object version", ex);
		}
	}

	private static Optional<StoredObject> toStoredObject(ObjectMessages.Item item) {
		// Jackson returns a JSON null for an absent tree, which denotes a deletion.
		return item.value()
			.filter((value) -> !value.isNull())
			.map((value) -> new StoredObject(item.key(), item.version(), Json.encode(value)));
	}

	private static ObjectChange toObjectChange(ObjectMessages.Item item) {
		return new ObjectChange(item.key(), item.version(), toStoredObject(item));
	}

	private static String objectPath(String key) {
		int slash = key.indexOf('/');
		return "/objects/" + urlEncode(key.substring(0, slash)) + "/" + urlEncode(key.substring(slash + 1));
	}

	private static String joinKinds(Set<String> kinds) {
		return urlEncode(String.join(",", new TreeSet<>(kinds)));
	}

	private static String urlEncode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8);
	}

	private static String entityTag(long version) {
		return "\"" + version + "\"";
	}

}
