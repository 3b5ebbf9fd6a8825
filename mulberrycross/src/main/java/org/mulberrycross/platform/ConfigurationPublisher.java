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
 * publishers may run concurrently, with or without the lease: a generation is accepted
 * only by the conditional update of the head. Not thread-safe; owned by one thread.
 */
public final class ConfigurationPublisher {

	private static final Logger logger = LoggerFactory.getLogger(ConfigurationPublisher.class);

	private static final long NOT_DECIDED = -1;

	private static final int MAX_CHUNK_WRITE_ATTEMPTS = 3;

	private static final int ORPHAN_SCAN_PAGE_SIZE = 16;

	private final ObjectStore store;

	private final ConfigurationCodec codec;

	private final Supplier<String> tokenSupplier;

	private final BooleanSupplier candidate;

	private final ObjectMirror mirror;

	private final PublisherLease lease;

	private final RejectionStatus status;

	private final Map<String, Long> chunkVersions = new HashMap<>();

	/** Digests of the chunks that the last published head no longer references. */
	private final Set<String> replacedChunks = new HashSet<>();

	private Optional<CachedHead> cachedHead = Optional.empty();

	/** The era that the mirror was in when the cached head was read. */
	private OptionalLong headEra = OptionalLong.empty();

	/** The mirror's modification count at the last decision on its edits. */
	private long decidedModificationCount = NOT_DECIDED;

	private boolean orphanCleanupDue;

	private boolean leading;

	/**
	 * Creates a publisher.
	 * @param store the object API, not null
	 * @param codec encodes and decodes the values in the object API, not null
	 * @param instance the name of this daemon, not null
	 * @param clock this daemon's clock, not null
	 * @param tokens supplies unique tokens, not null
	 * @param candidate returns whether this daemon may acquire the lease, not null
	 */
	public ConfigurationPublisher(ObjectStore store, ConfigurationCodec codec, String instance, MonotonicClock clock,
			Supplier<String> tokens, BooleanSupplier candidate) {
		this.store = Objects.requireNonNull(store, "store");
		this.codec = Objects.requireNonNull(codec, "codec");
		this.tokenSupplier = Objects.requireNonNull(tokens, "tokens");
		this.candidate = Objects.requireNonNull(candidate, "candidate");
		this.mirror = new ObjectMirror(store, codec);
		this.lease = new PublisherLease(store, codec, instance, clock, tokens);
		this.status = new RejectionStatus(store, codec);
	}

	/**
	 * Waits for operators' edits for a bounded time, acquires or renews the lease if this
	 * daemon is a candidate, and publishes if it holds the lease.
	 * @param wait the maximum wait for edits, zero or positive; less than half of the
	 * lease term so that the lease is renewed in time
	 * @return true if a generation was published
	 * @throws PeerException if a call to the store fails; the next call resumes from the
	 * state of the store at that time
	 */
	public boolean pollAndPublish(Duration wait) throws PeerException {
		if (!isCandidate()) {
			this.leading = false;
			this.lease.release();
			return false;
		}
		this.mirror.refresh(wait);
		if (!this.lease.acquireOrRenew()) {
			this.leading = false;
			return false;
		}
		if (!this.leading) {
			// Other publishers may have changed the store since this daemon last held the
			// lease.
			this.cachedHead = Optional.empty();
			this.decidedModificationCount = NOT_DECIDED;
			this.status.invalidate();
			this.orphanCleanupDue = true;
			this.leading = true;
		}
		return publish();
	}

	/**
	 * Returns whether this daemon may acquire the publisher lease at present.
	 * @return true if it is a candidate
	 */
	public boolean isCandidate() {
		return this.candidate.getAsBoolean();
	}

	/**
	 * Releases the lease so that another daemon can publish immediately.
	 * @throws PeerException if the call to the store fails; the lease then expires after
	 * its term
	 */
	public void release() throws PeerException {
		this.lease.release();
	}

	/**
	 * Waits for edits for a bounded time and publishes whether or not this daemon holds
	 * the lease.
	 * @param wait the maximum wait for edits, zero or positive
	 * @return true if a generation was published
	 * @throws PeerException if a call to the store fails
	 */
	boolean publishWithoutLease(Duration wait) throws PeerException {
		this.mirror.refresh(wait);
		return publish();
	}

	/**
	 * Publishes a generation with every valid edit read so far, whether or not this
	 * daemon holds the lease.
	 * @return true if a generation was published
	 * @throws PeerException if a call to the store fails
	 */
	boolean publish() throws PeerException {
		CachedHead base = loadHead();
		AcceptedSet accepted = base.snapshot().accepted();
		// A mirror that is behind the accepted set could lack accepted edits.
		if (this.mirror.revision() < accepted.revision()) {
			return false;
		}
		boolean changed = false;
		if (this.mirror.modificationCount() != this.decidedModificationCount) {
			Acceptance acceptance = Acceptance.decide(accepted, this.mirror.revision(), this.mirror.edits());
			changed = acceptance.next() != accepted;
			if (changed && !replaceHead(base, acceptance.next())) {
				return false;
			}
			this.status.update(acceptance.rejections());
			this.decidedModificationCount = this.mirror.modificationCount();
		}
		if (this.orphanCleanupDue) {
			deleteOrphanedChunks(loadHead().snapshot());
		}
		return changed;
	}

	private CachedHead loadHead() throws PeerException {
		// What this publisher wrote in another era may be lost.
		if (this.cachedHead.isPresent() && this.headEra.equals(this.mirror.position().era())) {
			return this.cachedHead.get();
		}
		this.headEra = this.mirror.position().era();
		Optional<StoredObject> head = this.store.read(ConfigurationHead.KEY);
		CachedHead loaded = new CachedHead(OptionalLong.empty(), ConfigurationSnapshot.empty());
		if (head.isPresent()) {
			loaded = new CachedHead(OptionalLong.of(head.get().version()), ConfigurationSnapshot
				.read(head.get().value(), this.codec, ConfigurationSnapshot.empty(), SnapshotSource.of(this.store)));
		}
		this.cachedHead = Optional.of(loaded);
		return loaded;
	}

	private boolean replaceHead(CachedHead base, AcceptedSet next) throws PeerException {
		ConfigurationSnapshot snapshot = base.snapshot().buildSuccessor(next, this.codec, this.tokenSupplier.get());
		// Reset before the write, so that the head is read again and the edits are
		// evaluated again after any failure.
		this.cachedHead = Optional.empty();
		this.decidedModificationCount = NOT_DECIDED;
		this.orphanCleanupDue = true;
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
			logger.info("generation {} was not published: the conditional update of the head failed",
					head.generation());
			return false;
		}
		this.orphanCleanupDue = base.headVersion().isEmpty();
		this.cachedHead = Optional.of(new CachedHead(version, snapshot));
		// Replaced chunks are kept for one more generation, since followers may still be
		// reading them.
		deleteChunks(this.replacedChunks);
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
		for (int attempt = 0; attempt < MAX_CHUNK_WRITE_ATTEMPTS; attempt++) {
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
		throw new PeerException(Step.PUBLISH, new Peer(Peer.Kind.PLATFORM, ""),
				"chunk " + digest + " was not written in " + MAX_CHUNK_WRITE_ATTEMPTS + " attempts");
	}

	/**
	 * Deletes chunks. A chunk that cannot be deleted is left to the next cleanup of
	 * orphaned chunks.
	 * @param digests the digests of the chunks
	 */
	private void deleteChunks(Collection<String> digests) {
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
				logger.info("chunk {} was not deleted: {}", digest, ex.toString());
				this.orphanCleanupDue = true;
			}
		}
	}

	/**
	 * Deletes chunks that failed publishers left behind and that no head references or
	 * can reference any more. A chunk written for a generation above that of the head is
	 * kept, since the next head may reference it.
	 * @param snapshot the snapshot that was last read or written
	 * @throws PeerException if a call to the store fails
	 */
	private void deleteOrphanedChunks(ConfigurationSnapshot snapshot) throws PeerException {
		String afterKey = "";
		ObjectPage page;
		do {
			page = this.store.list(Set.of(ConfigurationChunk.KIND), afterKey, ORPHAN_SCAN_PAGE_SIZE);
			for (StoredObject stored : page.objects()) {
				afterKey = stored.key();
				ConfigurationChunk chunk = this.codec.decode(stored.value(), ConfigurationChunk.class);
				if (chunk.generation() <= snapshot.head().generation()
						&& !snapshot.chunks().containsKey(stored.name())) {
					this.store.delete(stored.key(), stored.version());
				}
			}
		}
		while (page.more());
		this.orphanCleanupDue = false;
	}

	/**
	 * Head and snapshot as this publisher last read or wrote them.
	 *
	 * @param headVersion the version of the head, empty if there is none
	 * @param snapshot the snapshot that the head references
	 */
	private record CachedHead(OptionalLong headVersion, ConfigurationSnapshot snapshot) {

	}

}
