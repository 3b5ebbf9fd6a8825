package org.mulberrycross.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against streams that are late because their engine stopped, and against moves of
 * streams that would have gone on by themselves.
 */
class StreamMovePlannerTest {

	private static final long MILLI = 1_000_000;

	private static final int CHECK_MILLIS = 25;

	private static final Duration PAUSE_TARGET = Duration.ofMillis(250);

	private static final int CRASH_MILLIS = 2000;

	private static final RestartEstimate RESTART = new RestartEstimate(70 * MILLI, 20 * MILLI);

	private final StreamMovePlanner planner = new StreamMovePlanner(Duration.ofMillis(CHECK_MILLIS));

	private final List<TestStream> streams = new ArrayList<>();

	private final Map<StreamMove, Integer> moves = new HashMap<>();

	private SplittableRandom random = new SplittableRandom(1);

	private RestartEstimator restarts = (stream, avoidedIds) -> Optional.of(RESTART);

	private void add(int count, boolean movable, String... engineIds) {
		IntStream.range(0, count)
			.forEach((i) -> this.streams.add(new TestStream("s" + this.streams.size(), List.of(engineIds), movable)));
	}

	// Runs until a time. A stream has an event in each millisecond for which the
	// predicate
	// holds for its index and its pause is over.
	private void run(int fromMillis, int toMillis, IntPredicate sound) {
		for (int milli = fromMillis; milli < toMillis; milli++) {
			for (int i = 0; i < this.streams.size(); i++) {
				TestStream stream = this.streams.get(i);
				if (sound.test(i) && milli >= stream.nextMillis) {
					stream.recordEvent(milli, milli + 25 + this.random.nextInt(20));
				}
			}
			if (milli % CHECK_MILLIS == 0) {
				check(milli);
			}
		}
	}

	private void check(int milli) {
		List<ObservedStream> observed = this.streams.stream()
			.filter((stream) -> stream.lastMillis > 0)
			.map(TestStream::observe)
			.toList();
		for (StreamMove move : this.planner.plan(observed, this.restarts, milli * MILLI)) {
			this.planner.recordMoved(move, milli * MILLI);
			this.moves.put(move, milli);
		}
	}

	private long lateMoves() {
		return this.moves.entrySet()
			.stream()
			.filter((move) -> move.getValue() * MILLI + RESTART.meanNanos()
					- move.getKey().stream().lastActivityNanos() > PAUSE_TARGET.toNanos())
			.count();
	}

	/**
	 * Fails if streams on an engine that stops are late although their restart fits into
	 * the pause target, or if the engine is not found. Without early moves, all of them
	 * are late, since they move after 600 ms.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 2, 4, 8 })
	void movesStreamsOfLostEngineInTime(int count) {
		add(count, true, "first", "lost");
		add(count + 1, true, "first", "sound");
		run(1, CRASH_MILLIS, (i) -> true);
		assertThat(this.moves).isEmpty();
		run(CRASH_MILLIS, CRASH_MILLIS + 600, (i) -> i >= count);
		assertThat(this.moves).hasSize(count);
		assertThat(lateMoves()).isEqualTo(0);
		this.moves.keySet().forEach((move) -> assertThat(move.culpritId()).hasValue("lost"));
	}

	/**
	 * Fails if an engine is blamed for other requests although the silent streams share
	 * several, or although streams on two lost engines share it by chance.
	 */
	@Test
	void blamesNoEngineIfSeveralAreShared() {
		add(2, true, "a", "b");
		add(1, true, "lost", "shared");
		add(1, true, "other", "shared");
		add(5, true, "c", "d");
		run(1, CRASH_MILLIS, (i) -> true);
		run(CRASH_MILLIS, CRASH_MILLIS + 300, (i) -> i >= 4);
		assertThat(this.moves).hasSize(4);
		this.moves.keySet().forEach((move) -> assertThat(move.culpritId()).isEmpty());
		assertThat(this.planner.isBlamed("a") || this.planner.isBlamed("shared")).isFalse();
	}

	/** Fails if an overload that slows all streams alike turns into a wave of moves. */
	@Test
	void movesNoStreamsIfAllSlowDown() {
		add(12, true, "a", "b");
		add(12, true, "c", "d");
		run(1, CRASH_MILLIS, (i) -> true);
		run(CRASH_MILLIS, CRASH_MILLIS + 1000, (i) -> false);
		run(CRASH_MILLIS + 1000, CRASH_MILLIS + 3000, (i) -> this.random.nextInt(300) == 0);
		assertThat(this.moves).isEmpty();
	}

	/**
	 * Fails if a stream is moved because it is slower than others, or for a pause of its
	 * own kind, on a calm day.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4 })
	void keepsSlowButSoundStreams(long seed) {
		this.random = new SplittableRandom(seed);
		add(1, true, "slow");
		add(10, true, "a", "b");
		run(1, 20_000, (i) -> i > 0 || this.random.nextInt(20) == 0);
		assertWithMessage("seed " + seed).that(this.moves).isEmpty();
	}

	/** Fails if the streams of a second engine that stops soon after are late. */
	@Test
	void movesStreamsOfTwoLostEnginesInTime() {
		add(3, true, "lost");
		add(3, true, "other");
		add(8, true, "sound");
		run(1, CRASH_MILLIS, (i) -> true);
		run(CRASH_MILLIS, CRASH_MILLIS + 300, (i) -> i >= 3);
		this.streams.subList(0, 3).clear();
		run(CRASH_MILLIS + 300, CRASH_MILLIS + 700, (i) -> i >= 3);
		assertThat(this.moves).hasSize(6);
		assertThat(lateMoves()).isEqualTo(0);
		assertThat(this.planner.isBlamed("lost") && this.planner.isBlamed("other")).isTrue();
	}

	/**
	 * Fails if a daemon that did not run for a second, as in a pause of its machine,
	 * moves its streams since they all look silent.
	 */
	@Test
	void movesNoStreamsAfterOwnPause() {
		add(2, true, "a");
		run(1, CRASH_MILLIS, (i) -> true);
		run(CRASH_MILLIS + 1000, CRASH_MILLIS + 2000, (i) -> true);
		assertThat(this.moves).isEmpty();
	}

	/** Fails if streams are given up although no retry or no other path is left. */
	@Test
	void keepsStreamsWithoutRetryOrPath() {
		add(3, false, "lost");
		add(4, true, "sound");
		run(1, CRASH_MILLIS, (i) -> true);
		run(CRASH_MILLIS, CRASH_MILLIS + 600, (i) -> i >= 3);
		assertThat(this.moves).isEmpty();
		this.restarts = (stream, avoidedIds) -> Optional.empty();
		run(CRASH_MILLIS + 600, CRASH_MILLIS + 1200, (i) -> i >= 6);
		assertThat(this.moves).isEmpty();
	}

	/**
	 * Fails if a request keeps waiting for its first event from an engine that the
	 * streams on it have shown to be silent, or moves from a path that is only busy.
	 */
	@Test
	void movesWaitingRequestFromSilentEngineOnly() {
		add(2, true, "lost");
		add(4, true, "sound");
		run(1, CRASH_MILLIS, (i) -> true);
		StreamPace firstEvents = new StreamPace(20, 80 * MILLI, 10 * MILLI, 120 * MILLI);
		for (String engineId : List.of("lost", "sound")) {
			this.streams.add(new TestStream(engineId, List.of(engineId), true, firstEvents, CRASH_MILLIS));
		}
		run(CRASH_MILLIS, CRASH_MILLIS + 240, (i) -> i >= 2 && i < 6);
		Set<String> movedIds = Set.copyOf(this.moves.keySet().stream().map((move) -> move.stream().id()).toList());
		assertThat(movedIds).containsExactly("s0", "s1", "lost");
	}

	/**
	 * Fails if the control thread selects a path for each of many silent streams at each
	 * check, or for streams that are late already.
	 */
	@Test
	void estimatesFewRestartsInCheck() {
		add(100, true, "lost");
		add(120, true, "sound");
		List<ObservedStream> estimated = new ArrayList<>();
		this.restarts = (stream, avoidedIds) -> {
			estimated.add(stream);
			return Optional.empty();
		};
		run(1, CRASH_MILLIS, (i) -> true);
		run(CRASH_MILLIS, CRASH_MILLIS + 101, (i) -> i >= 100);
		estimated.clear();
		run(CRASH_MILLIS + 101, CRASH_MILLIS + 126, (i) -> i >= 100);
		assertThat(estimated).hasSize(StreamMovePlanner.MAX_ESTIMATES);
		run(CRASH_MILLIS + 126, CRASH_MILLIS + 250, (i) -> i >= 100);
		estimated.clear();
		run(CRASH_MILLIS + 250, CRASH_MILLIS + 600, (i) -> i >= 100);
		assertThat(estimated).isEmpty();
	}

	/**
	 * Fails if streams move for a short shared silence since their restart grows so long
	 * in an overload that no time is left to wait.
	 */
	@Test
	void demandsSignificantSilenceWhenRestartTakesLong() {
		add(3, true, "slow");
		add(8, true, "sound");
		this.restarts = (stream, avoidedIds) -> Optional.empty();
		run(1, CRASH_MILLIS, (i) -> i >= 3 || this.random.nextInt(20) == 0);
		this.restarts = (stream, avoidedIds) -> Optional.of(new RestartEstimate(120 * MILLI, 20 * MILLI));
		run(CRASH_MILLIS, CRASH_MILLIS + 200, (i) -> i >= 3);
		this.moves.keySet()
			.forEach((move) -> assertThat((double) move.silenceNanos())
				.isAtLeast(move.stream().pace().significantNanos()));
	}

	/** Fails if moves away from an engine that goes on at once are not counted. */
	@Test
	void countsNeedlessMoves() {
		add(2, true, "paused");
		add(4, true, "sound");
		run(1, CRASH_MILLIS, (i) -> true);
		run(CRASH_MILLIS, CRASH_MILLIS + 250, (i) -> i >= 2);
		assertThat(this.moves).hasSize(2);
		assertThat(this.planner.isBlamed("paused")).isTrue();
		run(CRASH_MILLIS + 250, CRASH_MILLIS + 500, (i) -> true);
		assertThat(this.planner.takeNeedlessMoves()).isEqualTo(2);
		assertThat(this.planner.isBlamed("paused")).isFalse();
	}

	/** A stream with its events so far. */
	private final class TestStream {

		private final String id;

		private final List<String> engineIds;

		private final boolean movable;

		private final boolean begun;

		private StreamPace pace;

		private int lastMillis;

		private int nextMillis;

		TestStream(String id, List<String> engineIds, boolean movable) {
			this(id, engineIds, movable, StreamPace.initial(), 0);
		}

		TestStream(String id, List<String> engineIds, boolean movable, StreamPace pace, int sentMillis) {
			this.id = id;
			this.engineIds = engineIds;
			this.movable = movable;
			this.begun = sentMillis == 0;
			this.pace = pace;
			this.lastMillis = sentMillis;
		}

		void recordEvent(int milli, int next) {
			if (this.lastMillis > 0) {
				this.pace = this.pace.withPause((milli - this.lastMillis) * MILLI);
			}
			this.lastMillis = milli;
			this.nextMillis = next;
		}

		ObservedStream observe() {
			boolean moved = StreamMovePlannerTest.this.moves.keySet()
				.stream()
				.anyMatch((move) -> move.stream().id().equals(this.id));
			return new ObservedStream(this.id, this.engineIds, this.begun, this.lastMillis * MILLI, this.pace,
					PAUSE_TARGET, this.movable && !moved);
		}

	}

}
