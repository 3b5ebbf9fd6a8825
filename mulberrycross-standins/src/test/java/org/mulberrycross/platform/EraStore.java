package org.mulberrycross.platform;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.mulberrycross.PeerException;
import org.mulberrycross.StorePosition;
import org.mulberrycross.standins.platform.ObjectTable;

/**
 * Object store that names eras and can come back from an older copy of itself. Not
 * thread-safe.
 */
final class EraStore implements ObjectStore {

	private static final Set<String> KINDS = Set.of("model", "pipeline", "team", "upstream", ConfigurationHead.KIND,
			ConfigurationChunk.KIND, "status", "lease");

	private static final int PAGE_SIZE = 1000;

	private ObjectTable table = new ObjectTable();

	private long era = 1;

	Collection<StoredObject> copy() {
		return this.table.list(KINDS, "", PAGE_SIZE).objects();
	}

	// Returns to a copy. The revisions start over, as low as those of any copy are.
	void restore(Collection<StoredObject> copy) throws PeerException {
		this.table = new ObjectTable();
		for (StoredObject object : copy) {
			this.table.create(object.key(), object.value());
		}
		this.era++;
	}

	@Override
	public OptionalLong era() {
		return OptionalLong.of(this.era);
	}

	@Override
	public Optional<StoredObject> read(String key) {
		return this.table.read(key);
	}

	@Override
	public ObjectPage list(Set<String> kinds, String after, int limit) {
		ObjectPage page = this.table.list(kinds, after, limit);
		return new ObjectPage(StorePosition.of(this.era, page.revision()), page.objects(), page.more());
	}

	@Override
	public OptionalLong create(String key, byte[] value) throws PeerException {
		return this.table.create(key, value);
	}

	@Override
	public OptionalLong replace(String key, byte[] value, long expectedVersion) throws PeerException {
		return this.table.replace(key, value, expectedVersion);
	}

	@Override
	public boolean delete(String key, long expectedVersion) {
		return this.table.delete(key, expectedVersion);
	}

	@Override
	public WatchResult watch(Set<String> kinds, StorePosition after, Duration timeout) {
		WatchResult result = this.table.watch(kinds, after, Duration.ZERO);
		boolean unknown = after.revision() > this.table.list(Set.of("model"), "", 1).revision();
		return new WatchResult(StorePosition.of(this.era, result.revision()), unknown ? List.of() : result.changes(),
				unknown || result.compacted());
	}

}
