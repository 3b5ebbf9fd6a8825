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
 * Object API over HTTP with JSON. Versions travel as entity tags. Thread-safe.
 */
public final class HttpObjectStore implements ObjectStore {

	/**
	 * Time after a watch's own timeout at which its connection counts as silent.
	 */
	private static final Duration WATCH_MARGIN = Duration.ofSeconds(5);

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
	 * @param timeout the bound on calls other than a watch, positive
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
			.send(HttpCall.get(Step.READ_OBJECT, this.peer, this.address, path(key), this.timeout));
		if (reply.status() == NOT_FOUND) {
			return Optional.empty();
		}
		return Optional.of(new StoredObject(key, version(checked(Step.READ_OBJECT, reply)), reply.body()));
	}

	@Override
	public ObjectPage list(Set<String> kinds, String after, int limit) throws PeerException {
		String path = "/objects?kinds=" + join(kinds) + "&after=" + encode(after) + "&limit=" + limit;
		HttpReply reply = checked(Step.READ_OBJECT,
				this.client.send(HttpCall.get(Step.READ_OBJECT, this.peer, this.address, path, this.timeout)));
		ObjectMessages.Page page = Json.decode(reply.body(), ObjectMessages.Page.class, this.peer);
		return new ObjectPage(page.revision(),
				page.objects().stream().flatMap((item) -> object(item).stream()).toList(), page.more());
	}

	@Override
	public OptionalLong create(String key, byte[] value) throws PeerException {
		return write(key, value, "If-None-Match", "*");
	}

	@Override
	public OptionalLong replace(String key, byte[] value, long expectedVersion) throws PeerException {
		return write(key, value, "If-Match", tag(expectedVersion));
	}

	@Override
	public boolean delete(String key, long expectedVersion) throws PeerException {
		HttpCall call = new HttpCall(Step.WRITE_OBJECT, this.peer, this.address, "DELETE", path(key),
				Map.of("If-Match", tag(expectedVersion)), new byte[0], this.timeout, false);
		HttpReply reply = this.client.send(call);
		if (reply.status() == PRECONDITION_FAILED || reply.status() == NOT_FOUND) {
			return false;
		}
		checked(Step.WRITE_OBJECT, reply);
		return true;
	}

	@Override
	public WatchResult watch(Set<String> kinds, long afterRevision, Duration wait) throws PeerException {
		String path = "/objects?kinds=" + join(kinds) + "&watch=" + afterRevision + "&timeout-ms=" + wait.toMillis();
		HttpReply reply = checked(Step.WATCH,
				this.client.send(HttpCall.get(Step.WATCH, this.peer, this.address, path, wait.plus(WATCH_MARGIN))));
		ObjectMessages.Changes changes = Json.decode(reply.body(), ObjectMessages.Changes.class, this.peer);
		return new WatchResult(changes.revision(), changes.changes().stream().map(HttpObjectStore::change).toList(),
				changes.compacted());
	}

	private OptionalLong write(String key, byte[] value, String condition, String expected) throws PeerException {
		HttpCall call = new HttpCall(Step.WRITE_OBJECT, this.peer, this.address, "PUT", path(key),
				Map.of(condition, expected, "Content-Type", "application/json"), value, this.timeout, false);
		HttpReply reply = this.client.send(call);
		if (reply.status() == PRECONDITION_FAILED || reply.status() == NOT_FOUND) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(version(checked(Step.WRITE_OBJECT, reply)));
	}

	private HttpReply checked(Step step, HttpReply reply) throws NotRunException {
		if (!reply.isSuccess()) {
			throw new NotRunException(step, this.peer, "object API answered with status " + reply.status());
		}
		return reply;
	}

	private long version(HttpReply reply) throws PeerException {
		String tag = reply.header("ETag").orElse("");
		try {
			return Long.parseLong(tag.replace("\"", ""));
		}
		catch (NumberFormatException ex) {
			throw new PeerException(Step.CODEC, this.peer, "entity tag '" + tag + "' is not a version", ex);
		}
	}

	private static Optional<StoredObject> object(ObjectMessages.Item item) {
		// Jackson gives a JSON null for an absent tree, which marks a deletion.
		return item.value()
			.filter((value) -> !value.isNull())
			.map((value) -> new StoredObject(item.key(), item.version(), Json.encode(value)));
	}

	private static ObjectChange change(ObjectMessages.Item item) {
		return new ObjectChange(item.key(), item.version(), object(item));
	}

	private static String path(String key) {
		int slash = key.indexOf('/');
		return "/objects/" + encode(key.substring(0, slash)) + "/" + encode(key.substring(slash + 1));
	}

	private static String join(Set<String> kinds) {
		return encode(String.join(",", new TreeSet<>(kinds)));
	}

	private static String encode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8);
	}

	private static String tag(long version) {
		return "\"" + version + "\"";
	}

}
