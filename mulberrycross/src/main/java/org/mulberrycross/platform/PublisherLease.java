package org.mulberrycross.platform;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.PeerException;

/**
 * Lease that keeps several daemons from doing the same publishing work. Correctness does
 * not depend on it: a holder that was paused past the expiry of its lease is stopped by
 * the conditional update of the head. Not thread-safe; owned by one publisher.
 */
public final class PublisherLease {

	/** Time after which a lease expires unless it is renewed. */
	public static final Duration TERM = Duration.ofSeconds(4);

	/** Key of the lease in the object API. */
	static final String KEY = "lease/publisher";

	/**
	 * Added to the term before another daemon takes the lease over, since clocks run at
	 * different rates.
	 */
	private static final Duration CLOCK_DRIFT_MARGIN = Duration.ofMillis(500);

	private final ObjectStore store;

	private final ConfigurationCodec codec;

	private final String holder;

	private final MonotonicClock clock;

	private final Supplier<String> tokenSupplier;

	private boolean held;

	private long heldUntilNanos;

	private long version;

	private long fencingNumber;

	private long versionFirstSeenNanos;

	/**
	 * Creates a lease that is not held.
	 * @param store the object API, not null
	 * @param codec encodes and decodes the lease, not null
	 * @param holder the name of this daemon, not null
	 * @param clock this daemon's clock, not null
	 * @param tokens supplies unique tokens, not null
	 */
	public PublisherLease(ObjectStore store, ConfigurationCodec codec, String holder, MonotonicClock clock,
			Supplier<String> tokens) {
		this.store = Objects.requireNonNull(store, "store");
		this.codec = Objects.requireNonNull(codec, "codec");
		this.holder = Objects.requireNonNull(holder, "holder");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.tokenSupplier = Objects.requireNonNull(tokens, "tokens");
	}

	/**
	 * Returns whether this daemon holds the lease, by its own clock.
	 * @return true if the lease is held and has not expired
	 */
	public boolean isHeld() {
		return this.held && this.heldUntilNanos - this.clock.nanos() > 0;
	}

	/**
	 * Acquires or renews the lease if possible. Writes to the store only if at most half
	 * of the term remains.
	 * @return true if this daemon holds the lease
	 * @throws PeerException if a call to the store fails and the lease is not held
	 */
	public boolean acquireOrRenew() throws PeerException {
		if (isHeld() && this.heldUntilNanos - this.clock.nanos() > TERM.toNanos() / 2) {
			return true;
		}
		try {
			if (!isHeld() || !write(OptionalLong.of(this.version), this.fencingNumber)) {
				this.held = false;
				acquireIfFree();
			}
		}
		catch (PeerException ex) {
			if (!isHeld()) {
				throw ex;
			}
		}
		return isHeld();
	}

	/**
	 * Acquires the lease if none is stored, if the stored one was not renewed for a term
	 * and a margin on this daemon's clock, or if it names this daemon as the holder.
	 */
	private void acquireIfFree() throws PeerException {
		Optional<StoredObject> stored = this.store.read(KEY);
		if (stored.isEmpty()) {
			write(OptionalLong.empty(), 1);
			return;
		}
		PublisherLeaseRecord lease = this.codec.decode(stored.get().value(), PublisherLeaseRecord.class);
		long now = this.clock.nanos();
		if (stored.get().version() != this.version) {
			this.version = stored.get().version();
			this.versionFirstSeenNanos = now;
		}
		boolean expired = now - this.versionFirstSeenNanos >= TERM.plus(CLOCK_DRIFT_MARGIN).toNanos();
		if (expired || lease.holder().equals(this.holder)) {
			write(OptionalLong.of(this.version), lease.fencing() + 1);
		}
	}

	private boolean write(OptionalLong expectedVersion, long newFencingNumber) throws PeerException {
		long writeStartNanos = this.clock.nanos();
		PublisherLeaseRecord lease = new PublisherLeaseRecord(this.holder, this.tokenSupplier.get(), newFencingNumber);
		OptionalLong newVersion = ConditionalWrite.write(this.store, KEY, this.codec.encode(lease), expectedVersion,
				(value) -> this.codec.decode(value, PublisherLeaseRecord.class).token().equals(lease.token()));
		if (newVersion.isEmpty()) {
			return false;
		}
		this.held = true;
		this.heldUntilNanos = writeStartNanos + TERM.toNanos();
		this.version = newVersion.getAsLong();
		this.versionFirstSeenNanos = writeStartNanos;
		this.fencingNumber = newFencingNumber;
		return true;
	}

	/**
	 * Releases the lease so that another daemon can acquire it immediately.
	 * @throws PeerException if the call to the store fails; the lease then expires after
	 * its term
	 */
	public void release() throws PeerException {
		if (!this.held) {
			return;
		}
		this.held = false;
		try {
			this.store.delete(KEY, this.version);
		}
		catch (OutcomeUnknownException ex) {
			// The lease was deleted or expires after its term.
		}
	}

}
