package org.mulberrycross.platform;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.OptionalLong;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.mulberrycross.NotRunException;
import org.mulberrycross.PeerException;
import org.mulberrycross.StorePosition;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Contract tests that every implementation of {@link ObjectStore} must pass.
 */
public abstract class ObjectStoreContractTest {

	private static final Set<String> TEAM_KIND = Set.of("team");

	/**
	 * Returns the store under test, which is empty at the start of each test.
	 * @return the store
	 */
	protected abstract ObjectStore store();

	private static byte[] json(String text) {
		return ("{\"text\":\"" + text + "\"}").getBytes(StandardCharsets.UTF_8);
	}

	/** Fails if reading, replacing or deleting an absent object throws or succeeds. */
	@Test
	void callsOnAbsentObjectHaveNoEffect() throws PeerException {
		assertThat(store().read("team/a").isPresent()).isFalse();
		assertThat(store().replace("team/a", json("x"), 1)).isEqualTo(OptionalLong.empty());
		assertThat(store().delete("team/a", 1)).isFalse();
	}

	/**
	 * Fails if a conditional write overwrites an object that has changed since it was
	 * read, or does not report the conflict.
	 */
	@Test
	void conditionalWritesDetectConflicts() throws PeerException {
		long first = store().create("team/a", json("1")).orElseThrow();
		assertThat(store().create("team/a", json("2"))).isEqualTo(OptionalLong.empty());
		long second = store().replace("team/a", json("3"), first).orElseThrow();
		assertThat(second).isGreaterThan(first);
		assertThat(store().replace("team/a", json("4"), first)).isEqualTo(OptionalLong.empty());
		assertThat(store().delete("team/a", first)).isFalse();
		assertThat(store().read("team/a").orElseThrow().version()).isEqualTo(second);
		assertThat(store().read("team/a").orElseThrow().value()).isEqualTo(json("3"));
	}

	/**
	 * Fails if an object that is deleted and created again gets an old version.
	 */
	@Test
	void recreatedObjectHasHigherVersion() throws PeerException {
		long first = store().create("team/a", json("1")).orElseThrow();
		assertThat(store().delete("team/a", first)).isTrue();
		assertThat(store().create("team/a", json("1")).orElseThrow()).isGreaterThan(first);
	}

	/** Fails if a list omits or repeats objects at a page boundary. */
	@Test
	void pagesContainEachObjectOnce() throws PeerException {
		for (String key : new String[] { "team/c", "team/a", "model/m", "team/b" }) {
			store().create(key, json(key));
		}
		ObjectPage firstPage = store().list(TEAM_KIND, "", 2);
		assertThat(firstPage.objects().stream().map(StoredObject::key).toList()).containsExactly("team/a", "team/b");
		assertThat(firstPage.more()).isTrue();
		ObjectPage lastPage = store().list(TEAM_KIND, "team/b", 2);
		assertThat(lastPage.objects().stream().map(StoredObject::key).toList()).containsExactly("team/c");
		assertThat(lastPage.more()).isFalse();
	}

	/** Fails if a watch omits a change or a deletion, or returns them out of order. */
	@Test
	void watchReturnsChangesInOrder() throws PeerException {
		long startRevision = store().list(TEAM_KIND, "", 1).revision();
		long first = store().create("team/a", json("1")).orElseThrow();
		store().create("model/m", json("1"));
		long second = store().replace("team/a", json("2"), first).orElseThrow();
		store().delete("team/a", second);
		WatchResult result = store().watch(TEAM_KIND, StorePosition.of(startRevision), Duration.ofSeconds(5));
		assertThat(result.changes().stream().map(ObjectChange::key).toList()).containsExactly("team/a", "team/a",
				"team/a");
		assertThat(result.changes().stream().map((change) -> change.object().isPresent()).toList())
			.containsExactly(true, true, false)
			.inOrder();
		assertThat(result.revision()).isAtLeast(result.changes().get(2).version());
		assertThat(result.compacted()).isFalse();
	}

	/** Fails if a watch without changes does not time out or returns a lower revision. */
	@Test
	void watchTimesOut() throws PeerException {
		long first = store().create("team/a", json("1")).orElseThrow();
		WatchResult result = store().watch(TEAM_KIND, StorePosition.of(first), Duration.ofMillis(20));
		assertThat(result.changes()).isEmpty();
		assertThat(result.revision()).isAtLeast(first);
	}

	/**
	 * Fails if a value of more than 1 MB is stored or is not reported as not run, or if
	 * one of exactly 1 MB is rejected.
	 */
	@Test
	void valuesAboveSizeLimitAreRejected() throws PeerException {
		byte[] tooLong = json("x".repeat(1 << 20));
		assertThrows(NotRunException.class, () -> store().create("team/a", tooLong));
		assertThat(store().read("team/a").isPresent()).isFalse();
		byte[] maxValue = new byte[1 << 20];
		Arrays.fill(maxValue, (byte) ' ');
		maxValue[0] = '1';
		assertThat(store().create("team/a", maxValue).isPresent()).isTrue();
	}

}
