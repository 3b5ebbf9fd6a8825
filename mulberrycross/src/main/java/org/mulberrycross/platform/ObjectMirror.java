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
import org.mulberrycross.StorePosition;
import org.mulberrycross.operator.ObjectKind;
import org.mulberrycross.operator.OperatorObject;
import org.mulberrycross.operator.ValidationError;

/**
 * Local copy of the operators' objects at one revision of the object API. Not
 * thread-safe; owned by one publisher.
 */
public final class ObjectMirror {

	/**
	 * Labels of the kinds of objects that operators edit.
	 */
	public static final Set<String> KINDS = Stream.of(ObjectKind.values())
		.map(ObjectKind::label)
		.collect(Collectors.toUnmodifiableSet());

	private static final int PAGE_SIZE = 500;

	/**
	 * Timeout of a watch for changes that are known to exist; such a watch returns at
	 * once.
	 */
	private static final Duration CATCH_UP_WAIT = Duration.ofMillis(1);

	private final ObjectStore store;

	private final ConfigurationCodec codec;

	private final TreeMap<String, OperatorEdit> edits = new TreeMap<>();

	private boolean listed;

	private StorePosition position = StorePosition.of(0);

	private long modificationCount;

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
	 * @return the edits, ordered by key
	 */
	public Collection<OperatorEdit> edits() {
		return this.edits.values();
	}

	/**
	 * Returns the revision of the object API that this copy reflects.
	 * @return the revision, 0 if nothing was read yet
	 */
	public long revision() {
		return this.position.revision();
	}

	/**
	 * Returns the position in the object API that this copy reflects.
	 * @return the position, revision 0 if nothing was read yet
	 */
	StorePosition position() {
		return this.position;
	}

	/**
	 * Returns a counter that increases only when edits are read, unlike the revision,
	 * which also changes with objects of other kinds.
	 * @return the counter, 0 if nothing was read yet
	 */
	public long modificationCount() {
		return this.modificationCount;
	}

	/**
	 * Updates this copy. Lists the objects at the first call and when the store has
	 * compacted the changes since the last position or is in another era, otherwise waits
	 * for changes.
	 * @param wait the maximum wait for changes, zero or positive
	 * @throws PeerException if a call to the store fails; this copy then stays at its
	 * previous revision
	 */
	public void refresh(Duration wait) throws PeerException {
		if (!this.listed) {
			listAll();
			return;
		}
		WatchResult result = this.store.watch(KINDS, this.position, wait);
		if (result.compacted() || !result.position().isSameEra(this.position)) {
			this.listed = false;
			listAll();
			return;
		}
		applyChanges(result);
	}

	/**
	 * Lists all objects. Later pages may be newer than the first one, so the changes
	 * since the first page are applied as well to bring all objects to one revision.
	 */
	private void listAll() throws PeerException {
		TreeMap<String, OperatorEdit> listedEdits = new TreeMap<>();
		ObjectPage page = this.store.list(KINDS, "", PAGE_SIZE);
		StorePosition first = page.position();
		while (true) {
			for (StoredObject object : page.objects()) {
				listedEdits.put(object.key(), toEdit(object));
			}
			if (!page.more()) {
				break;
			}
			page = this.store.list(KINDS, listedEdits.lastKey(), PAGE_SIZE);
		}
		Optional<WatchResult> laterChanges = !page.position().equals(first)
				? Optional.of(this.store.watch(KINDS, first, CATCH_UP_WAIT)) : Optional.empty();
		// If the store has compacted the changes since the first page, or has come back
		// from an older copy since then, the next refresh lists the objects again.
		if (laterChanges.filter((result) -> result.compacted() || !result.position().isSameEra(first)).isPresent()) {
			return;
		}
		this.edits.clear();
		this.edits.putAll(listedEdits);
		this.position = first;
		this.modificationCount++;
		laterChanges.ifPresent(this::applyChanges);
		this.listed = true;
	}

	private void applyChanges(WatchResult result) {
		for (ObjectChange change : result.changes()) {
			OperatorEdit previous = this.edits.get(change.key());
			if (previous == null || previous.version() < change.version()) {
				this.modificationCount++;
				this.edits.put(change.key(),
						change.object()
							.map(this::toEdit)
							.orElseGet(() -> new OperatorEdit.Deleted(change.key(), change.version())));
			}
		}
		if (this.position.isCoveredBy(result.position())) {
			this.position = result.position();
		}
	}

	private OperatorEdit toEdit(StoredObject stored) {
		try {
			OperatorObject object = this.codec.decodeObject(ObjectKind.of(stored.kind()).orElseThrow(), stored.value());
			if (!object.key().equals(stored.key())) {
				return unreadableEdit(stored, "name", "'" + object.name() + "' is not the name in the key");
			}
			return new OperatorEdit.Put(stored.key(), stored.version(), object);
		}
		catch (PeerException ex) {
			return unreadableEdit(stored, "object", ex.getMessage());
		}
	}

	// The reason is stored in a status object and compared with the stored one, so its
	// text must not change.
	private static OperatorEdit unreadableEdit(StoredObject stored, String field, String reason) {
		return new OperatorEdit.Unreadable(stored.key(), stored.version(),
				new ValidationError(stored.key(), field, reason));
	}

}
