package org.mulberrycross.platform;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.OptionalLong;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.mulberrycross.NotRunException;
import org.mulberrycross.PeerException;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Contract that every object store keeps.
 */
public abstract class ObjectStoreContractTest {

	private static final Set<String> TEAMS = Set.of("team");

	/**
	 * Returns the store under test, which is empty at the start of each test.
	 * @return the store
	 */
	protected abstract ObjectStore store();

	private static byte[] json(String text) {
		return ("{\"text\":\"" + text + "\"}").getBytes(StandardCharsets.UTF_8);
	}

	/** Fails if an absent object is an error or has a version. */
	@Test
	void absentObject() throws PeerException {
		assertThat(store().read("team/a").isPresent()).isFalse();
		assertThat(store().replace("team/a", json("x"), 1)).isEqualTo(OptionalLong.empty());
		assertThat(store().delete("team/a", 1)).isFalse();
	}

	/** Fails if a write overwrites an object that has changed since it was read. */
	@Test
	void conditionalWrites() throws PeerException {
		long first = store().create("team/a", json("1")).orElseThrow();
		assertThat(store().create("team/a", json("2"))).isEqualTo(OptionalLong.empty());
		long second = store().replace("team/a", json("3"), first).orElseThrow();
		assertThat(second).isGreaterThan(first);
		assertThat(store().replace("team/a", json("4"), first)).isEqualTo(OptionalLong.empty());
		assertThat(store().delete("team/a", first)).isFalse();
		assertThat(store().read("team/a").orElseThrow().version()).isEqualTo(second);
		assertThat(store().read("team/a").orElseThrow().value()).isEqualTo(json("3"));
	}

	/** Fails if an object that is created again gets an old version. */
	@Test
	void createAfterDelete() throws PeerException {
		long first = store().create("team/a", json("1")).orElseThrow();
		assertThat(store().delete("team/a", first)).isTrue();
		assertThat(store().create("team/a", json("1")).orElseThrow()).isGreaterThan(first);
	}

	/** Fails if a list misses or repeats objects at the end of a page. */
	@Test
	void listInPages() throws PeerException {
		for (String key : new String[] { "team/c", "team/a", "model/m", "team/b" }) {
			store().create(key, json(key));
		}
		ObjectPage page = store().list(TEAMS, "", 2);
		assertThat(page.objects().stream().map(StoredObject::key).toList()).containsExactly("team/a", "team/b");
		assertThat(page.more()).isTrue();
		ObjectPage last = store().list(TEAMS, "team/b", 2);
		assertThat(last.objects().stream().map(StoredObject::key).toList()).containsExactly("team/c");
		assertThat(last.more()).isFalse();
	}

	/** Fails if a watch misses a change, a deletion or their order. */
	@Test
	void watchSeesChangesInOrder() throws PeerException {
		long start = store().list(TEAMS, "", 1).revision();
		long first = store().create("team/a", json("1")).orElseThrow();
		store().create("model/m", json("1"));
		long second = store().replace("team/a", json("2"), first).orElseThrow();
		store().delete("team/a", second);
		WatchResult seen = store().watch(TEAMS, start, Duration.ofSeconds(5));
		assertThat(seen.changes().stream().map(ObjectChange::key).toList()).containsExactly("team/a", "team/a",
				"team/a");
		assertThat(seen.changes().stream().map((change) -> change.object().isPresent()).toList())
			.containsExactly(true, true, false)
			.inOrder();
		assertThat(seen.revision()).isAtLeast(seen.changes().get(2).version());
		assertThat(seen.compacted()).isFalse();
	}

	/** Fails if a watch without changes does not end or loses its place. */
	@Test
	void watchEnds() throws PeerException {
		long first = store().create("team/a", json("1")).orElseThrow();
		WatchResult seen = store().watch(TEAMS, first, Duration.ofMillis(20));
		assertThat(seen.changes()).isEmpty();
		assertThat(seen.revision()).isAtLeast(first);
	}

	/** Fails if a value above the limit of 1 MB is stored or its refusal is unclear. */
	@Test
	void valueLimit() throws PeerException {
		byte[] value = json("x".repeat(1 << 20));
		assertThrows(NotRunException.class, () -> store().create("team/a", value));
		assertThat(store().read("team/a").isPresent()).isFalse();
		byte[] longest = new byte[1 << 20];
		Arrays.fill(longest, (byte) ' ');
		longest[0] = '1';
		assertThat(store().create("team/a", longest).isPresent()).isTrue();
	}

}
