package org.mulberrycross.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;

import org.mulberrycross.PeerException;
import org.mulberrycross.operator.Configuration;
import org.mulberrycross.operator.ModelObject;
import org.mulberrycross.platform.http.JsonConfigurationCodec;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests that a daemon applies only complete generations, in increasing order.
 */
class ConfigurationFollowerTest {

	private static final ConfigurationCodec CODEC = new JsonConfigurationCodec();

	private final List<Configuration> applied = new ArrayList<>();

	private final ConfigurationFollower follower = new ConfigurationFollower(CODEC, this.applied::add);

	private static ConfigurationSnapshot snapshot(ConfigurationSnapshot previous, long version, String token,
			String... models) {
		TreeMap<String, AcceptedObject> objects = new TreeMap<>();
		for (String name : models) {
			objects.put("model/" + name,
					new AcceptedObject(version, new ModelObject(name, 1, List.of("v1"), List.of())));
		}
		return previous.buildSuccessor(new AcceptedSet(previous.head().generation() + 1, version, objects), CODEC,
				token);
	}

	private static SnapshotSource source(ConfigurationSnapshot headSnapshot, ConfigurationSnapshot chunkSnapshot) {
		return new SnapshotSource() {

			@Override
			public Optional<byte[]> head() {
				return headSnapshot.headBytes();
			}

			@Override
			public Optional<byte[]> chunk(String digest) {
				return Optional.ofNullable(chunkSnapshot.chunks().get(digest));
			}

		};
	}

	/** Fails if an older generation replaces a newer one. */
	@Test
	void appliesOnlyNewerGenerations() throws PeerException {
		ConfigurationSnapshot first = snapshot(ConfigurationSnapshot.empty(), 1, "a", "m");
		ConfigurationSnapshot second = snapshot(first, 2, "b", "m", "n");
		assertThat(this.follower.applyIfNewer(source(second, second))).isTrue();
		assertThat(this.follower.applyIfNewer(source(first, first))).isFalse();
		assertThat(this.follower.applyIfNewer(source(second, second))).isFalse();
		assertThat(this.applied.stream().map(Configuration::generation).toList()).containsExactly(2L);
	}

	/** Fails if a generation with a missing chunk is applied partially. */
	@Test
	void doesNotApplyGenerationWithMissingChunk() throws PeerException {
		ConfigurationSnapshot first = snapshot(ConfigurationSnapshot.empty(), 1, "a", "m");
		ConfigurationSnapshot second = snapshot(first, 2, "b", "m", "n", "o");
		this.follower.applyIfNewer(source(first, first));
		assertThrows(PeerException.class, () -> this.follower.applyIfNewer(source(second, first)));
		assertThat(this.follower.generation()).isEqualTo(1);
		assertThat(this.follower.applyIfNewer(source(second, second))).isTrue();
	}

	/** Fails if a chunk that does not match its digest is applied. */
	@Test
	void rejectsChunkWithWrongDigest() {
		ConfigurationSnapshot first = snapshot(ConfigurationSnapshot.empty(), 1, "a", "m");
		byte[] otherChunk = snapshot(ConfigurationSnapshot.empty(), 1, "b", "m").chunks().values().iterator().next();
		SnapshotSource source = new SnapshotSource() {

			@Override
			public Optional<byte[]> head() {
				return first.headBytes();
			}

			@Override
			public Optional<byte[]> chunk(String digest) {
				return Optional.of(otherChunk);
			}

		};
		assertThrows(PeerException.class, () -> this.follower.applyIfNewer(source));
		assertThat(this.applied).isEmpty();
	}

	/**
	 * Fails if a daemon applies a generation that reverts an object to an older version.
	 */
	@Test
	void rejectsGenerationThatRevertsAnObject() throws PeerException {
		ConfigurationSnapshot first = snapshot(ConfigurationSnapshot.empty(), 5, "a", "m");
		ConfigurationSnapshot reverting = snapshot(snapshot(ConfigurationSnapshot.empty(), 1, "b", "n"), 4, "c", "m");
		this.follower.applyIfNewer(source(first, first));
		assertThrows(IllegalStateException.class, () -> this.follower.applyIfNewer(source(reverting, reverting)));
		assertThat(this.follower.generation()).isEqualTo(1);
	}

	/**
	 * Fails if a daemon cannot serve its snapshot to a sibling without a configuration.
	 */
	@Test
	void servesSnapshotToSiblings() throws PeerException {
		ConfigurationSnapshot first = snapshot(ConfigurationSnapshot.empty(), 1, "a", "m", "n");
		this.follower.applyIfNewer(source(first, first));
		ConfigurationFollower sibling = new ConfigurationFollower(CODEC, (configuration) -> {
		});
		assertThat(sibling.applyIfNewer(this.follower)).isTrue();
		assertThat(sibling.accepted()).isEqualTo(first.accepted());
	}

}
