package org.mulberrycross.platform;

import java.time.Duration;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;

/**
 * Publishes the operators' objects as generations of the configuration. Any number of
 * publishers may run at the same time, with or without the lease: only the conditional
 * update of the head accepts a generation. Not thread-safe; one thread owns it.
 */
public final class ConfigurationPublisher {

	private static final Logger logger = LoggerFactory.getLogger(ConfigurationPublisher.class);

	private static final long NOT_DECIDED = -1;

	private static final int CHUNK_ATTEMPTS = 3;

	private static final int SWEEP_PAGE_SIZE = 16;

	private final ObjectStore store;

	private final ConfigurationCodec codec;

	private final Supplier<String> tokens;

	private final BooleanSupplier candidate;

	private final ObjectMirror mirror;

	private final PublisherLease lease;

	private final RejectionStatus status;

	private final Map<String, Long> chunkVersions = new HashMap<>();

	private final Set<String> replacedChunks = new HashSet<>();

	private Optional<Published> published = Optional.empty();

	private long decidedEdition = NOT_DECIDED;

	private boolean sweepDue;

	private boolean leading;

	/**
	 * Creates a publisher.
	 * @param store the object API, not null
	 * @param codec encodes what is kept in the object API, not null
	 * @param instance the name of this daemon, not null
	 * @param clock this daemon's clock, not null
	 * @param tokens supplies unique tokens, not null
	 * @param candidate says whether this daemon may take the publisher's lease, not null
	 */
	public ConfigurationPublisher(ObjectStore store, ConfigurationCodec codec, String instance, MonotonicClock clock,
			Supplier<String> tokens, BooleanSupplier candidate) {
		this.store = Objects.requireNonNull(store, "store");
		this.codec = Objects.requireNonNull(codec, "codec");
		this.tokens = Objects.requireNonNull(tokens, "tokens");
		this.candidate = Objects.requireNonNull(candidate, "candidate");
		this.mirror = new ObjectMirror(store, codec);
		this.lease = new PublisherLease(store, codec, instance, clock, tokens);
		this.status = new RejectionStatus(store, codec);
	}

	/**
	 * Waits for edits of operators for a bounded time, takes or renews the lease if this
	 * daemon is a candidate, and publishes if it holds the lease.
	 * @param wait the longest wait for edits, zero or positive; less than half of the
	 * lease's term so that the lease is renewed in time
	 * @return true if a generation was published
	 * @throws PeerException if the store does not answer; the next call goes on from what
	 * the store then has
	 */
	public boolean step(Duration wait) throws PeerException {
		if (!isCandidate()) {
			this.leading = false;
			this.lease.release();
			return false;
		}
		this.mirror.refresh(wait);
		if (!this.lease.hold()) {
			this.leading = false;
			return false;
		}
		if (!this.leading) {
			this.published = Optional.empty();
			this.decidedEdition = NOT_DECIDED;
			this.status.forget();
			this.sweepDue = true;
			this.leading = true;
		}
		return publish();
	}

	/**
	 * Returns whether this daemon may take the publisher's lease at present.
	 * @return true if it may
	 */
	public boolean isCandidate() {
		return this.candidate.getAsBoolean();
	}

	/**
	 * Gives up the lease, so that another daemon can publish at once.
	 * @throws PeerException if the store does not answer; the lease then expires
	 */
	public void release() throws PeerException {
		this.lease.release();
	}

	/**
	 * Waits for edits for a bounded time and publishes without regard to the lease.
	 * @param wait the longest wait for edits, zero or positive
	 * @return true if a generation was published
	 * @throws PeerException if the store does not answer
	 */
	boolean publishWithoutLease(Duration wait) throws PeerException {
		this.mirror.refresh(wait);
		return publish();
	}

	/**
	 * Accepts what can be accepted of the edits that were seen, without regard to the
	 * lease.
	 * @return true if a generation was published
	 * @throws PeerException if the store does not answer
	 */
	boolean publish() throws PeerException {
		Published base = current();
		AcceptedSet accepted = base.snapshot().accepted();
		if (this.mirror.revision() < accepted.revision()) {
			return false;
		}
		boolean changed = false;
		if (this.mirror.edition() != this.decidedEdition) {
			Acceptance acceptance = Acceptance.decide(accepted, this.mirror.revision(), this.mirror.edits());
			changed = acceptance.next() != accepted;
			if (changed && !replaceHead(base, acceptance.next())) {
				return false;
			}
			this.status.update(acceptance.rejections());
			this.decidedEdition = this.mirror.edition();
		}
		if (this.sweepDue) {
			sweep(current().snapshot());
		}
		return changed;
	}

	private Published current() throws PeerException {
		if (this.published.isPresent()) {
			return this.published.get();
		}
		Optional<StoredObject> head = this.store.read(ConfigurationHead.KEY);
		Published read = new Published(OptionalLong.empty(), ConfigurationSnapshot.empty());
		if (head.isPresent()) {
			read = new Published(OptionalLong.of(head.get().version()), ConfigurationSnapshot.read(head.get().value(),
					this.codec, ConfigurationSnapshot.empty(), SnapshotSource.of(this.store)));
		}
		this.published = Optional.of(read);
		return read;
	}

	private boolean replaceHead(Published base, AcceptedSet next) throws PeerException {
		ConfigurationSnapshot snapshot = base.snapshot().successor(next, this.codec, this.tokens.get());
		// Cleared first, so that after any failure the head is read and decided on anew.
		this.published = Optional.empty();
		this.decidedEdition = NOT_DECIDED;
		this.sweepDue = true;
		for (Map.Entry<String, byte[]> chunk : snapshot.chunks().entrySet()) {
			if (!base.snapshot().chunks().containsKey(chunk.getKey())) {
				writeChunk(chunk.getKey(), chunk.getValue());
			}
		}
		ConfigurationHead head = snapshot.head();
		OptionalLong version = ConditionalWrite.write(this.store, ConfigurationHead.KEY,
				snapshot.headBytes().orElseThrow(), base.headVersion(),
				(value) -> this.codec.decode(value, ConfigurationHead.class).token().equals(head.token()));
		if (version.isEmpty()) {
			logger.info("generation {} was not published, the head has changed", head.generation());
			return false;
		}
		this.sweepDue = base.headVersion().isEmpty();
		this.published = Optional.of(new Published(version, snapshot));
		// Followers have the time of one generation to read chunks of the one before.
		remove(this.replacedChunks);
		this.replacedChunks.clear();
		base.snapshot()
			.chunks()
			.keySet()
			.stream()
			.filter((digest) -> !snapshot.chunks().containsKey(digest))
			.forEach(this.replacedChunks::add);
		logger.info("generation {} published, {} objects", head.generation(), next.objects().size());
		return true;
	}

	private void writeChunk(String digest, byte[] value) throws PeerException {
		String key = ConfigurationChunk.key(digest);
		for (int attempt = 0; attempt < CHUNK_ATTEMPTS; attempt++) {
			OptionalLong version = ConditionalWrite.write(this.store, key, value, OptionalLong.empty(),
					(stored) -> Arrays.equals(stored, value));
			if (version.isPresent()) {
				this.chunkVersions.put(digest, version.getAsLong());
				return;
			}
			Optional<StoredObject> stored = this.store.read(key);
			if (stored.isPresent()) {
				this.chunkVersions.put(digest, stored.get().version());
				return;
			}
		}
		throw new PeerException(Step.PUBLISH, new Peer(Peer.Kind.PLATFORM, ""), "chunk " + digest + " was not written");
	}

	/**
	 * Removes chunks. A chunk that cannot be removed is left to the next sweep.
	 * @param digests the digests of the chunks
	 */
	private void remove(Collection<String> digests) {
		for (String digest : digests) {
			String key = ConfigurationChunk.key(digest);
			try {
				Long version = this.chunkVersions.remove(digest);
				if (version == null) {
					version = this.store.read(key).map(StoredObject::version).orElse(0L);
				}
				this.store.delete(key, version);
			}
			catch (PeerException ex) {
				logger.info("chunk {} was not removed: {}", digest, ex.toString());
				this.sweepDue = true;
			}
		}
	}

	/**
	 * Removes chunks that no head names or can name any more, which publishers left that
	 * failed. A chunk written for a generation above the head's may still be named by the
	 * next head and stays.
	 * @param snapshot the snapshot that was last read or written
	 * @throws PeerException if the store does not answer
	 */
	private void sweep(ConfigurationSnapshot snapshot) throws PeerException {
		String after = "";
		ObjectPage page;
		do {
			page = this.store.list(Set.of(ConfigurationChunk.KIND), after, SWEEP_PAGE_SIZE);
			for (StoredObject stored : page.objects()) {
				after = stored.key();
				ConfigurationChunk chunk = this.codec.decode(stored.value(), ConfigurationChunk.class);
				if (chunk.generation() <= snapshot.head().generation()
						&& !snapshot.chunks().containsKey(stored.name())) {
					this.store.delete(stored.key(), stored.version());
				}
			}
		}
		while (page.more());
		this.sweepDue = false;
	}

	/**
	 * Head as this publisher last read or wrote it.
	 *
	 * @param headVersion the version of the head, empty if there is none
	 * @param snapshot the snapshot that the head names
	 */
	private record Published(OptionalLong headVersion, ConfigurationSnapshot snapshot) {

	}

}
