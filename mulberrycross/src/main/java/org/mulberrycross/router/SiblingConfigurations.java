package org.mulberrycross.router;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.PeerException;
import org.mulberrycross.platform.ConfigurationFollower;
import org.mulberrycross.platform.SnapshotSource;
import org.mulberrycross.sibling.Member;
import org.mulberrycross.sibling.Membership;
import org.mulberrycross.sibling.Rendezvous;
import org.mulberrycross.sibling.SiblingClient;

/**
 * Reads the configuration from siblings and selects the daemons that may publish it. The
 * control thread updates the members; other threads read an immutable copy. Thread-safe.
 */
final class SiblingConfigurations {

	private static final Logger logger = LoggerFactory.getLogger(SiblingConfigurations.class);

	/** Rendezvous hashing key; its highest-ranked members may publish. */
	private static final String PUBLISHER_KEY = "configuration-publisher";

	/**
	 * Number of daemons that watch the operators' objects. Publishing goes on without
	 * delay when two of them fail at once, and the other daemons need no watch.
	 */
	private static final int PUBLISHER_CANDIDATE_COUNT = 3;

	private static final int MAX_SOURCES = 3;

	private final SiblingClient client;

	private final ConfigurationFollower follower;

	private final Random random;

	private volatile List<Member> siblings = List.of();

	private volatile boolean publisherCandidate = true;

	/**
	 * Creates an object without siblings, with this daemon as a publisher candidate.
	 * @param client reads from siblings, not null
	 * @param follower applies newer configurations, not null
	 * @param random seeds the random order of siblings, not null
	 */
	SiblingConfigurations(SiblingClient client, ConfigurationFollower follower, RandomGenerator random) {
		this.client = Objects.requireNonNull(client, "client");
		this.follower = Objects.requireNonNull(follower, "follower");
		this.random = new Random(random.nextLong());
	}

	/**
	 * Updates the siblings and the publisher candidates from the members that are alive.
	 * Called on the control thread.
	 * @param membership the members, not null
	 */
	void updateMembers(Membership membership) {
		String self = membership.self().name();
		List<String> alive = membership.aliveNames();
		this.siblings = alive.stream()
			.filter((name) -> !name.equals(self))
			.flatMap((name) -> membership.member(name).stream())
			.toList();
		this.publisherCandidate = Rendezvous.rank(PUBLISHER_KEY, alive)
			.stream()
			.limit(PUBLISHER_CANDIDATE_COUNT)
			.anyMatch(self::equals);
	}

	boolean isPublisherCandidate() {
		return this.publisherCandidate;
	}

	List<SnapshotSource> sources() {
		List<Member> shuffled = new ArrayList<>(this.siblings);
		Collections.shuffle(shuffled, this.random);
		return shuffled.stream().limit(MAX_SOURCES).map(this::createSource).toList();
	}

	/**
	 * Applies the configuration of a sibling if it is newer, and logs a failure. Blocks.
	 * @param sibling the sibling, not null
	 */
	void applyConfiguration(Member sibling) {
		try {
			this.follower.applyIfNewer(createSource(sibling));
		}
		catch (PeerException ex) {
			logger.info("configuration cannot be read from sibling {}: {}", sibling.name(), ex.toString());
		}
	}

	private SnapshotSource createSource(Member sibling) {
		return new SnapshotSource() {

			@Override
			public Optional<byte[]> head() throws PeerException {
				return SiblingConfigurations.this.client.configurationHead(sibling.address());
			}

			@Override
			public Optional<byte[]> chunk(String digest) throws PeerException {
				return SiblingConfigurations.this.client.configurationChunk(sibling.address(), digest);
			}

		};
	}

}
