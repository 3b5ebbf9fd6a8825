package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.caller.CallerLimits;
import org.mulberrycross.caller.RouteTable;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.sibling.ConfigurationReply;
import org.mulberrycross.sibling.Sibling;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a daemon that serves an older version than its siblings after the store
 * came back from an older copy.
 */
class ConfigurationSyncTest {

	private static final List<Sibling> SIBLINGS = List.of(sibling(1), sibling(2));

	private final List<Long> applied = new ArrayList<>();

	private final List<Duration> restorations = new ArrayList<>();

	private final List<Query> queries = new ArrayList<>();

	private long nowNanos;

	private boolean storeNamesEras = true;

	private final ConfigurationSync sync = new ConfigurationSync(
			(configuration) -> this.applied.add(configuration.version()), this.restorations::add,
			() -> this.storeNamesEras, Optional.of((sibling, version, onAnswer, onFailure) -> this.queries
				.add(new Query(sibling, version, onAnswer, onFailure))),
			() -> this.nowNanos, new SplittableRandom(1));

	private static Sibling sibling(int number) {
		return new Sibling("router-" + number, new Address("10.0.0." + number, 7000), "dc", 1);
	}

	private static KnownConfiguration version(long version) {
		return new KnownConfiguration(
				new ServingConfiguration(version, RouteTable.of(List.of()), Optional.empty(), Map.of(), Map.of(),
						new CallerLimits(1000, Duration.ofSeconds(1), Duration.ofSeconds(1))),
				new StoredObject("config/main", version * 10, new byte[] { 1 }));
	}

	private static ConfigurationSync.SiblingAnswer answer(Optional<Long> newer) {
		return new ConfigurationSync.SiblingAnswer(newer.map(ConfigurationSyncTest::version), Optional.empty());
	}

	private void pass(Duration time) {
		this.nowNanos += time.toNanos();
		this.sync.check();
	}

	/**
	 * Pattern: a daemon starts after the store came back without a confirmed version.
	 * Fails if it applies the version of the copy, also if one sibling has started after
	 * the return as well and knows nothing newer.
	 */
	@Test
	void firstVersionIsThatOfTheSiblingThatKnowsTheNewest() {
		this.sync.updateSiblings(SIBLINGS);
		this.sync.update(List.of(version(5)));
		assertThat(this.queries).hasSize(2);
		assertThat(this.queries.get(0).version()).isEqualTo(5);
		this.queries.get(0).onAnswer().accept(answer(Optional.empty()));
		assertThat(this.applied).isEmpty();
		this.queries.get(1).onAnswer().accept(answer(Optional.of(7L)));
		assertThat(this.applied).containsExactly(7L);
		this.sync.update(List.of(version(8)));
		assertThat(this.applied).containsExactly(7L, 8L).inOrder();
	}

	/** Fails if a version that the store changes meanwhile is lost or applied twice. */
	@Test
	void newestOfStoreAndSiblingsIsApplied() {
		this.sync.update(List.of(version(5)));
		this.sync.updateSiblings(SIBLINGS);
		this.sync.update(List.of(version(9)));
		this.queries.get(0).onAnswer().accept(answer(Optional.of(7L)));
		this.queries.get(1).onFailure().run();
		assertThat(this.applied).containsExactly(9L);
	}

	/**
	 * Fails if a daemon without a sibling that answers never serves, or if an answer that
	 * arrives later is ignored.
	 */
	@Test
	void servesVersionOfStoreIfNoSiblingAnswers() {
		this.sync.updateSiblings(SIBLINGS);
		this.sync.update(List.of(version(5)));
		this.queries.forEach((query) -> query.onFailure().run());
		pass(ConfigurationSync.RETRY_PERIOD);
		assertThat(this.queries).hasSize(4);
		assertThat(this.applied).isEmpty();
		pass(ConfigurationSync.MAX_HOLD);
		assertThat(this.applied).containsExactly(5L);
		this.queries.get(2).onAnswer().accept(answer(Optional.of(7L)));
		assertThat(this.applied).containsExactly(5L, 7L).inOrder();
	}

	/**
	 * Pattern: entries of machines that are gone stay listed, and their addresses are
	 * silent. Fails if each start waits for them, or not for siblings that run.
	 */
	@Test
	void silentSiblingDelaysNoStart() {
		this.sync.updateSiblings(SIBLINGS);
		this.sync.update(List.of(version(5)));
		this.queries.get(0).onAnswer().accept(answer(Optional.empty()));
		pass(ConfigurationSync.ANSWER_WAIT.minusMillis(1));
		assertThat(this.applied).isEmpty();
		pass(Duration.ofMillis(1));
		assertThat(this.applied).containsExactly(5L);
		this.queries.get(1).onAnswer().accept(answer(Optional.of(7L)));
		assertThat(this.applied).containsExactly(5L, 7L).inOrder();
	}

	/** Fails if siblings that never answer are asked for good. */
	@Test
	void askingEnds() {
		this.sync.updateSiblings(SIBLINGS);
		this.sync.update(List.of(version(5)));
		int answered = 0;
		for (int i = 0; i < 1000; i++) {
			for (; answered < this.queries.size(); answered++) {
				this.queries.get(answered).onFailure().run();
			}
			pass(Duration.ofMillis(50));
		}
		long rounds = ConfigurationSync.MAX_RETRY_TIME.dividedBy(ConfigurationSync.RETRY_PERIOD);
		assertThat((long) this.queries.size()).isAtMost(SIBLINGS.size() * rounds);
	}

	/** Fails if a store that names no eras costs queries or a delay. */
	@Test
	void storeWithoutErasIsBelievedAtOnce() {
		this.storeNamesEras = false;
		this.sync.updateSiblings(SIBLINGS);
		this.sync.update(List.of(version(5)));
		assertThat(this.applied).containsExactly(5L);
		assertThat(this.queries).isEmpty();
	}

	/**
	 * Fails if a daemon whose siblings are all unlisted waits, or never asks those that
	 * register again.
	 */
	@Test
	void siblingsThatRegisterLaterAreAsked() {
		this.sync.updateSiblings(List.of());
		this.sync.update(List.of(version(5)));
		assertThat(this.applied).containsExactly(5L);
		this.sync.updateSiblings(SIBLINGS);
		pass(ConfigurationSync.RETRY_PERIOD);
		assertThat(this.queries).hasSize(2);
	}

	/**
	 * Pattern: a daemon cut off from the store misses a version that its siblings apply,
	 * and the store comes back without it. Fails if the daemon asks nobody.
	 */
	@Test
	void runningDaemonAsksAfterReturnOfStore() {
		this.storeNamesEras = false;
		this.sync.updateSiblings(SIBLINGS);
		this.sync.update(List.of(version(5)));
		this.sync.recordRestoration();
		pass(ConfigurationSync.MAX_SPREAD);
		assertThat(this.queries).hasSize(2);
		this.queries.get(0).onAnswer().accept(answer(Optional.of(7L)));
		assertThat(this.applied).containsExactly(5L, 7L).inOrder();
	}

	/** Fails if a large fleet is asked as a whole by each daemon that starts. */
	@Test
	void numberOfQueriesIsBounded() {
		this.sync.updateSiblings(IntStream.rangeClosed(1, 200).mapToObj(ConfigurationSyncTest::sibling).toList());
		this.sync.update(List.of(version(5)));
		assertThat(this.queries).hasSize(ConfigurationSync.MAX_ASKED);
		assertThat(this.queries.stream().map(Query::sibling).distinct().count()).isEqualTo(ConfigurationSync.MAX_ASKED);
	}

	/**
	 * Fails if siblings get an older version or none, or not the object as it was read.
	 */
	@Test
	void answersWithTheObjectOfANewerVersion() {
		assertThat(this.sync.answer(Long.MIN_VALUE)).isEqualTo(ConfigurationReply.NOTHING_KNOWN);
		this.sync.update(List.of(version(5)));
		assertThat(this.sync.answer(4).newer().orElseThrow().version()).isEqualTo(50);
		assertThat(this.sync.answer(5).newer()).isEmpty();
		this.sync.recordRestoration();
		this.nowNanos += Duration.ofMillis(300).toNanos();
		assertThat(this.sync.answer(5).restoredAgo()).hasValue(Duration.ofMillis(300));
	}

	/** Fails if a daemon does not learn that the store came back before it started. */
	@Test
	void returnThatSiblingsHaveSeenIsPassedOn() {
		this.sync.updateSiblings(SIBLINGS);
		this.sync.update(List.of(version(5)));
		this.queries.get(0)
			.onAnswer()
			.accept(new ConfigurationSync.SiblingAnswer(Optional.empty(), Optional.of(Duration.ofSeconds(2))));
		assertThat(this.restorations).containsExactly(Duration.ofSeconds(2));
	}

	private record Query(Sibling sibling, long version, Consumer<ConfigurationSync.SiblingAnswer> onAnswer,
			Runnable onFailure) {

	}

}
