package org.mulberrycross.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mulberrycross.PeerException;
import org.mulberrycross.operator.ConfigurationValidator;
import org.mulberrycross.operator.ModelObject;
import org.mulberrycross.operator.ObjectStatus;
import org.mulberrycross.operator.OperatorObject;
import org.mulberrycross.operator.PipelineObject;
import org.mulberrycross.operator.TeamObject;
import org.mulberrycross.platform.http.JsonConfigurationCodec;
import org.mulberrycross.standins.platform.ObjectTable;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests that accepted configurations are valid, reach all daemons and never revert.
 */
class ConfigurationPublisherTest {

	private static final ConfigurationCodec CODEC = new JsonConfigurationCodec();

	/** 20 seeds of 500 steps are 10,000 steps in total. */
	private static final int STEPS_PER_SEED = 500;

	private static final int PUBLISHERS = 3;

	private static final int FOLLOWERS = 3;

	private final ObjectTable table = new ObjectTable();

	private final AtomicLong nowNanos = new AtomicLong();

	private final AtomicLong tokens = new AtomicLong();

	private ConfigurationPublisher newPublisher(ObjectStore store, String name) {
		return new ConfigurationPublisher(store, CODEC, name, this.nowNanos::get,
				() -> name + "-" + this.tokens.incrementAndGet(), () -> true);
	}

	private static ModelObject model(String name) {
		return new ModelObject(name, 4, List.of("v1"), List.of());
	}

	private static PipelineObject pipeline(String name, String model) {
		return new PipelineObject(name, model, "v1", "", 10, 10);
	}

	private static TeamObject team(String name, int keyNumber, String... pipelines) {
		return new TeamObject(name, String.format("%064x", keyNumber), 1, 1, List.of(pipelines));
	}

	private void put(OperatorObject object) throws PeerException {
		OperatorWorkspace.open(this.table, CODEC).put(object);
	}

	private ConfigurationSnapshot readPublishedSnapshot() throws PeerException {
		Optional<StoredObject> head = this.table.read(ConfigurationHead.KEY);
		return head.isEmpty() ? ConfigurationSnapshot.empty() : ConfigurationSnapshot.read(head.get().value(), CODEC,
				ConfigurationSnapshot.empty(), SnapshotSource.of(this.table));
	}

	private ObjectStatus readStatus(String key) throws PeerException {
		return OperatorWorkspace.open(this.table, CODEC)
			.status()
			.objects()
			.stream()
			.filter((status) -> status.key().equals(key))
			.findFirst()
			.orElseThrow();
	}

	/**
	 * Fails if two concurrent edits that conflict with each other are both accepted.
	 */
	@Test
	void concurrentEditsNeverProduceInvalidConfiguration() throws Exception {
		ExecutorService threads = Executors.newFixedThreadPool(4);
		List<ConfigurationPublisher> publishers = List.of(newPublisher(this.table, "a"), newPublisher(this.table, "b"));
		try {
			put(model("m"));
			for (int pair = 0; pair < 200; pair++) {
				String name = "p" + pair;
				put(pipeline(name, "m"));
				for (ConfigurationPublisher publisher : publishers) {
					refreshAndPublish(publisher);
				}
				int key = pair;
				boolean sameKey = pair % 2 == 0;
				threads.invokeAll(List.of(Executors.callable(() -> putUnchecked(() -> team("t" + key, key, name))),
						Executors.callable(() -> {
							if (sameKey) {
								putUnchecked(() -> team("u" + key, key));
							}
							else {
								deleteUnchecked("pipeline/" + name);
							}
						}), Executors.callable(() -> refreshAndPublish(publishers.get(0))),
						Executors.callable(() -> refreshAndPublish(publishers.get(1)))));
				refreshAndPublish(publishers.get(0));
				refreshAndPublish(publishers.get(1));
				refreshAndPublish(publishers.get(0));
				AcceptedSet accepted = readPublishedSnapshot().accepted();
				assertWithMessage("pair %s", pair).that(ConfigurationValidator.validate(accepted.configuration()))
					.isEmpty();
				boolean firstAccepted = accepted.objects().containsKey("team/t" + key);
				boolean secondAccepted = sameKey ? accepted.objects().containsKey("team/u" + key)
						: !accepted.objects().containsKey("pipeline/" + name);
				assertWithMessage("pair %s: exactly one edit is accepted", pair).that(firstAccepted)
					.isNotEqualTo(secondAccepted);
				// Rejected edits are reverted, so that each pair starts from a valid set.
				if (!firstAccepted) {
					deleteUnchecked("team/t" + key);
				}
				else if (sameKey) {
					deleteUnchecked("team/u" + key);
				}
				else {
					put(pipeline(name, "m"));
				}
			}
		}
		finally {
			threads.shutdownNow();
			threads.awaitTermination(10, TimeUnit.SECONDS);
		}
	}

	private void putUnchecked(Supplier<OperatorObject> object) {
		try {
			put(object.get());
		}
		catch (PeerException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void deleteUnchecked(String key) {
		try {
			OperatorWorkspace.open(this.table, CODEC).delete(key);
		}
		catch (PeerException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void refreshAndPublish(ConfigurationPublisher publisher) {
		try {
			publisher.publishWithoutLease(Duration.ZERO);
		}
		catch (PeerException ex) {
			// Another publisher replaced the head first; the next call reads it again.
		}
	}

	/**
	 * Fails if an invalid edit gets no status, or a valid one keeps an old status.
	 */
	@Test
	void statusFollowsEdits() throws PeerException {
		ConfigurationPublisher publisher = newPublisher(this.table, "a");
		put(pipeline("p", "m"));
		assertThat(readStatus("pipeline/p").state()).isEqualTo(ObjectStatus.State.PENDING);
		publisher.pollAndPublish(Duration.ZERO);
		assertThat(readStatus("pipeline/p").state()).isEqualTo(ObjectStatus.State.REJECTED);
		assertThat(readStatus("pipeline/p").faults().get(0).field()).isEqualTo("model");
		put(model("m"));
		publisher.pollAndPublish(Duration.ZERO);
		assertThat(readStatus("pipeline/p").state()).isEqualTo(ObjectStatus.State.ACCEPTED);
		assertThat(this.table.list(Set.of("status"), "", 10).objects()).isEmpty();
	}

	/**
	 * Fails if a publisher that was paused until its lease expired reverts a later
	 * generation that another publisher has written.
	 */
	@Test
	void pausedLeaseHolderDoesNotRevertLaterGeneration() throws PeerException {
		ConfigurationPublisher paused = newPublisher(this.table, "a");
		put(model("m"));
		assertThat(paused.pollAndPublish(Duration.ZERO)).isTrue();
		this.table.delete("model/m", this.table.read("model/m").orElseThrow().version());
		ConfigurationPublisher other = newPublisher(this.table, "b");
		other.pollAndPublish(Duration.ZERO);
		this.nowNanos.addAndGet(PublisherLease.TERM.multipliedBy(2).toNanos());
		assertThat(other.pollAndPublish(Duration.ZERO)).isTrue();
		assertThat(paused.publish()).isFalse();
		put(model("n"));
		other.pollAndPublish(Duration.ZERO);
		assertThat(paused.publish()).isFalse();
		assertThat(readPublishedSnapshot().accepted().objects().keySet()).containsExactly("model/n");
	}

	/**
	 * Fails if chunks that no generation references any more remain in the object API.
	 */
	@Test
	void removesUnreferencedChunks() throws PeerException {
		ConfigurationPublisher publisher = newPublisher(this.table, "a");
		for (int i = 0; i < 20; i++) {
			put(new ModelObject("m", 1 + i, List.of("v1"), List.of()));
			publisher.pollAndPublish(Duration.ZERO);
		}
		assertThat(this.table.list(Set.of("chunk"), "", 10).objects().size()).isAtMost(2);
		this.table.create("chunk/left", CODEC.encode(new ConfigurationChunk(7, "x", List.of())));
		this.table.create("chunk/next", CODEC.encode(new ConfigurationChunk(21, "x", List.of())));
		publisher.release();
		newPublisher(this.table, "b").pollAndPublish(Duration.ZERO);
		assertThat(this.table.read("chunk/left").isPresent()).isFalse();
		assertThat(this.table.read("chunk/next").isPresent()).isTrue();
	}

	/**
	 * Fails if store failures, lost responses, pauses or concurrent publishers violate an
	 * invariant or prevent the daemons from converging on one valid configuration.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
	void randomisedRunKeepsInvariants(long seed) throws PeerException {
		RandomisedRun run = new RandomisedRun(seed);
		for (int step = 0; step < STEPS_PER_SEED; step++) {
			run.step();
		}
		run.convergeAndVerify();
	}

	/**
	 * Runs several publishers and followers on one thread. Any store call of an actor may
	 * be preceded by steps of other actors, during which leases may expire.
	 */
	private final class RandomisedRun {

		private final RandomGenerator random;

		private final FaultyStore store;

		private final List<ConfigurationPublisher> publishers = new ArrayList<>();

		private final List<ConfigurationFollower> followers = new ArrayList<>();

		private final List<HeadWatch> watches = new ArrayList<>();

		private final boolean[] activeActors = new boolean[PUBLISHERS + FOLLOWERS];

		private final long[] appliedGenerations = new long[FOLLOWERS];

		RandomisedRun(long seed) {
			this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
			this.store = new FaultyStore(ConfigurationPublisherTest.this.table, this.random, this::runOtherActors);
			for (int i = 0; i < PUBLISHERS; i++) {
				this.publishers.add(newPublisher(this.store, "p" + i));
			}
			for (int i = 0; i < FOLLOWERS; i++) {
				int index = i;
				ConfigurationFollower follower = new ConfigurationFollower(CODEC, (configuration) -> {
					assertThat(configuration.generation()).isGreaterThan(this.appliedGenerations[index]);
					assertThat(ConfigurationValidator.validate(configuration)).isEmpty();
					this.appliedGenerations[index] = configuration.generation();
				});
				this.followers.add(follower);
				this.watches.add(new HeadWatch(this.store, follower));
			}
		}

		void step() throws PeerException {
			ConfigurationPublisherTest.this.nowNanos.addAndGet(this.random.nextLong(200_000_000));
			if (this.random.nextInt(4) == 0) {
				editRandomObject();
			}
			runActor(this.random.nextInt(this.activeActors.length));
		}

		private void runOtherActors() {
			if (this.random.nextInt(4) == 0) {
				ConfigurationPublisherTest.this.nowNanos.addAndGet(PublisherLease.TERM.multipliedBy(2).toNanos());
			}
			try {
				for (int i = this.random.nextInt(4); i > 0; i--) {
					step();
				}
			}
			catch (PeerException ex) {
				throw new IllegalStateException(ex);
			}
		}

		private void runActor(int actor) {
			if (this.activeActors[actor]) {
				return;
			}
			this.activeActors[actor] = true;
			try {
				if (actor >= PUBLISHERS) {
					this.watches.get(actor - PUBLISHERS).poll(Duration.ZERO);
				}
				else if (this.random.nextInt(10) == 0) {
					this.publishers.get(actor).publishWithoutLease(Duration.ZERO);
				}
				else {
					this.publishers.get(actor).pollAndPublish(Duration.ZERO);
				}
			}
			catch (PeerException ex) {
				// The next step of the actor resumes from the state of the store.
			}
			finally {
				this.activeActors[actor] = false;
			}
		}

		private void editRandomObject() throws PeerException {
			int number = this.random.nextInt(4);
			OperatorObject object = switch (this.random.nextInt(3)) {
				case 0 -> model("m" + number);
				case 1 -> pipeline("p" + number, "m" + this.random.nextInt(5));
				default -> team("t" + number, this.random.nextInt(4), "p" + this.random.nextInt(5));
			};
			ObjectTable objects = ConfigurationPublisherTest.this.table;
			Optional<StoredObject> stored = objects.read(object.key());
			if (stored.isEmpty()) {
				objects.create(object.key(), CODEC.encodeObject(object));
			}
			else if (this.random.nextInt(3) == 0) {
				objects.delete(object.key(), stored.get().version());
			}
			else {
				byte[] value = CODEC.encodeObject(object);
				objects.replace(object.key(), (this.random.nextInt(20) == 0) ? Arrays.copyOf(value, 3) : value,
						stored.get().version());
			}
		}

		void convergeAndVerify() throws PeerException {
			this.store.disableFaults();
			for (int round = 0; round < 4; round++) {
				ConfigurationPublisherTest.this.nowNanos.addAndGet(PublisherLease.TERM.multipliedBy(2).toNanos());
				for (int actor = 0; actor < this.activeActors.length; actor++) {
					runActor(actor);
					runActor(actor);
				}
			}
			ConfigurationSnapshot head = readPublishedSnapshot();
			assertThat(head.head().generation()).isGreaterThan(10);
			for (ConfigurationFollower follower : this.followers) {
				assertThat(follower.accepted()).isEqualTo(head.accepted());
			}
			for (ObjectStatus status : OperatorWorkspace.open(ConfigurationPublisherTest.this.table, CODEC)
				.status()
				.objects()) {
				assertThat(status.state()).isNotEqualTo(ObjectStatus.State.PENDING);
			}
		}

	}

}
