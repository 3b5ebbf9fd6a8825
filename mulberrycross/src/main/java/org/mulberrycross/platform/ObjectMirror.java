package org.mulberrycross.platform;

import java.time.Duration;
import java.util.Collection;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.mulberrycross.PeerException;
import org.mulberrycross.operator.Fault;
import org.mulberrycross.operator.ObjectKind;
import org.mulberrycross.operator.OperatorObject;

/**
 * Copy of the operators' objects at one revision of the object API. Not thread-safe; one
 * publisher owns it.
 */
public final class ObjectMirror {

	/**
	 * Kinds of objects that operators edit, as labels.
	 */
	public static final Set<String> KINDS = Stream.of(ObjectKind.values())
		.map(ObjectKind::label)
		.collect(Collectors.toUnmodifiableSet());

	private static final int PAGE_SIZE = 500;

	/**
	 * Shortest watch, for changes that are known to exist.
	 */
	private static final Duration CATCH_UP = Duration.ofMillis(1);

	private final ObjectStore store;

	private final ConfigurationCodec codec;

	private final TreeMap<String, OperatorEdit> edits = new TreeMap<>();

	private boolean listed;

	private long revision;

	private long edition;

	/**
	 * Creates an empty mirror.
	 * @param store the object API, not null
	 * @param codec decodes objects, not null
	 */
	public ObjectMirror(ObjectStore store, ConfigurationCodec codec) {
		this.store = Objects.requireNonNull(store, "store");
		this.codec = Objects.requireNonNull(codec, "codec");
	}

	/**
	 * Returns the latest edit of each key, deletions included.
	 * @return the edits in the order of their keys
	 */
	public Collection<OperatorEdit> edits() {
		return this.edits.values();
	}

	/**
	 * Returns the revision that this mirror shows.
	 * @return the revision, 0 if nothing was read yet
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Returns a number that changes with the edits, unlike the revision, which also
	 * changes with other objects.
	 * @return the number, 0 if nothing was read yet
	 */
	public long edition() {
		return this.edition;
	}

	/**
	 * Brings this mirror up to date. Lists the objects if this is the first call or the
	 * store has dropped the changes, else waits for changes.
	 * @param wait the longest wait for changes, zero or positive
	 * @throws PeerException if the store does not answer; the mirror then still shows the
	 * revision that it showed before
	 */
	public void refresh(Duration wait) throws PeerException {
		if (!this.listed) {
			list();
			return;
		}
		WatchResult result = this.store.watch(KINDS, this.revision, wait);
		if (result.compacted()) {
			this.listed = false;
			list();
			return;
		}
		apply(result);
	}

	/**
	 * Reads all pages. Later pages may be newer than the first one, so the changes since
	 * the first page are applied as well to reach one revision.
	 */
	private void list() throws PeerException {
		TreeMap<String, OperatorEdit> found = new TreeMap<>();
		ObjectPage page = this.store.list(KINDS, "", PAGE_SIZE);
		long first = page.revision();
		while (true) {
			for (StoredObject object : page.objects()) {
				found.put(object.key(), decode(object));
			}
			if (!page.more()) {
				break;
			}
			page = this.store.list(KINDS, found.lastKey(), PAGE_SIZE);
		}
		Optional<WatchResult> since = (page.revision() != first) ? Optional.of(this.store.watch(KINDS, first, CATCH_UP))
				: Optional.empty();
		if (since.isPresent() && since.get().compacted()) {
			return;
		}
		this.edits.clear();
		this.edits.putAll(found);
		this.revision = first;
		this.edition++;
		since.ifPresent(this::apply);
		this.listed = true;
	}

	private void apply(WatchResult result) {
		for (ObjectChange change : result.changes()) {
			OperatorEdit known = this.edits.get(change.key());
			if (known == null || known.version() < change.version()) {
				this.edition++;
				this.edits.put(change.key(),
						change.object()
							.map(this::decode)
							.orElseGet(() -> new OperatorEdit.Deleted(change.key(), change.version())));
			}
		}
		this.revision = Math.max(this.revision, result.revision());
	}

	private OperatorEdit decode(StoredObject stored) {
		try {
			OperatorObject object = this.codec.decodeObject(ObjectKind.of(stored.kind()).orElseThrow(), stored.value());
			if (!object.key().equals(stored.key())) {
				return unreadable(stored, "name", "'" + object.name() + "' is not the name in the key");
			}
			return new OperatorEdit.Put(stored.key(), stored.version(), object);
		}
		catch (PeerException ex) {
			return unreadable(stored, "object", ex.getMessage());
		}
	}

	private static OperatorEdit unreadable(StoredObject stored, String field, String reason) {
		return new OperatorEdit.Unreadable(stored.key(), stored.version(), new Fault(stored.key(), field, reason));
	}

}
