package org.mulberrycross.router.relay;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.mulberrycross.StorePosition;
import org.mulberrycross.platform.ObjectChange;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.platform.WatchResult;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against changes that are missing, or undone, for a sibling that follows.
 */
class ChangeLogTest {

	private static final ClockReading NOW = new ClockReading(0, 0);

	private final ChangeLog log = new ChangeLog();

	private static ObjectChange put(String name, long version) {
		String key = "servers/" + name;
		return new ObjectChange(key, version, Optional.of(new StoredObject(key, version, new byte[] { 1 })));
	}

	// The store may report a deletion with the version of the object before it.
	private static ObjectChange deleted(String name, long version) {
		return new ObjectChange("servers/" + name, version, Optional.empty());
	}

	private void append(long after, long revision, ObjectChange... changes) {
		this.log.append(StorePosition.of(after), new WatchResult(revision, List.of(changes), false), NOW);
	}

	/** Fails if a sibling gets changes that it has, or not all that it lacks. */
	@Test
	void returnsChangesAfterRevision() {
		this.log.restart(StorePosition.of(5), NOW);
		append(5, 8, put("a", 6), put("b", 8));
		append(8, 9);
		append(9, 12, put("c", 11));
		assertThat(this.log.changesAfter(StorePosition.of(6)).orElseThrow().stream().map(ObjectChange::key))
			.containsExactly("servers/b", "servers/c")
			.inOrder();
		assertThat(this.log.changesAfter(StorePosition.of(12))).hasValue(List.of());
	}

	/**
	 * Pattern: an entry is put, deleted and put again within one batch, and a sibling has
	 * seen part of it. Fails if the deletion is repeated without the put after it, or a
	 * deletion with an old version is left out.
	 */
	@Test
	void deletionsAreComplete() {
		this.log.restart(StorePosition.of(5), NOW);
		append(5, 9, put("a", 6), deleted("a", 6), put("a", 8), put("b", 7), deleted("b", 7));
		assertThat(this.log.changesAfter(StorePosition.of(8)).orElseThrow()).containsExactly(deleted("b", 7));
	}

	/**
	 * Pattern: all daemons restart, or a hub replaces another one. Fails if a log that
	 * starts later than the sibling's revision claims to know the changes between.
	 */
	@Test
	void doesNotCoverTimeBeforeItsStart() {
		this.log.restart(StorePosition.of(20), NOW);
		assertThat(this.log.changesAfter(StorePosition.of(19))).isEmpty();
		assertThat(this.log.changesAfter(StorePosition.of(20))).isPresent();
	}

	/** Fails if a hub answers for a revision that it has not read yet. */
	@Test
	void doesNotCoverRevisionBeyondItsOwn() {
		this.log.restart(StorePosition.of(20), NOW);
		assertThat(this.log.changesAfter(StorePosition.of(21))).isEmpty();
	}

	/**
	 * Pattern: a daemon that followed a hub becomes the hub. Fails if the changes that it
	 * heard from the former hub, and does not have, count as covered.
	 */
	@Test
	void startsAgainAfterGap() {
		this.log.restart(StorePosition.of(5), NOW);
		this.log.clear();
		assertThat(this.log.changesAfter(StorePosition.of(5))).isEmpty();
		append(30, 31, put("a", 31));
		assertThat(this.log.changesAfter(StorePosition.of(29))).isEmpty();
		assertThat(this.log.changesAfter(StorePosition.of(30)).orElseThrow()).hasSize(1);
	}

	/** Fails if a storm of changes grows the log without limit, or leaves a gap. */
	@Test
	void dropsOldestBatches() {
		this.log.restart(StorePosition.of(0), NOW);
		IntStream.range(0, 1000).forEach((i) -> append(i, i + 1, put("a" + i, i + 1)));
		assertThat(this.log.changesAfter(StorePosition.of(700))).isEmpty();
		assertThat(this.log.changesAfter(StorePosition.of(800)).orElseThrow()).hasSize(200);
	}

}
