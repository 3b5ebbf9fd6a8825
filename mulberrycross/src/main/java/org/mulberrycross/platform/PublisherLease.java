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
 * Lease that keeps several daemons from doing the same publishing work. Nothing depends
 * on it for correctness: a holder that was paused past the end of its lease is stopped by
 * the conditional update of the head. Not thread-safe; one publisher owns it.
 */
public final class PublisherLease {

	/** Time that a lease lasts without a renewal. */
	public static final Duration TERM = Duration.ofSeconds(4);

	/** Key of the lease in the object API. */
	static final String KEY = "lease/publisher";

	/**
	 * Added to the term before another daemon takes over, for clocks that run at
	 * different rates.
	 */
	private static final Duration MARGIN = Duration.ofMillis(500);

	private final ObjectStore store;

	private final ConfigurationCodec codec;

	private final String holder;

	private final MonotonicClock clock;

	private final Supplier<String> tokens;

	private boolean held;

	private long heldUntil;

	private long version;

	private long fencing;

	private long seenSince;

	/**
	 * Creates a lease that is not held.
	 * @param store the object API, not null
	 * @param codec encodes the lease, not null
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
		this.tokens = Objects.requireNonNull(tokens, "tokens");
	}

	/**
	 * Returns whether this daemon holds the lease on its own clock.
	 * @return true if it does
	 */
	public boolean isHeld() {
		return this.held && this.heldUntil - this.clock.nanos() > 0;
	}

	/**
	 * Takes or renews the lease if possible. Writes only if less than half of the term is
	 * left.
	 * @return true if this daemon holds the lease
	 * @throws PeerException if the store does not answer and the lease is not held
	 */
	public boolean hold() throws PeerException {
		if (isHeld() && this.heldUntil - this.clock.nanos() > TERM.toNanos() / 2) {
			return true;
		}
		try {
			if (!isHeld() || !write(OptionalLong.of(this.version), this.fencing)) {
				this.held = false;
				take();
			}
		}
		catch (PeerException ex) {
			if (!isHeld()) {
				throw ex;
			}
		}
		return isHeld();
	}

	private void take() throws PeerException {
		Optional<StoredObject> stored = this.store.read(KEY);
		if (stored.isEmpty()) {
			write(OptionalLong.empty(), 1);
			return;
		}
		LeaseRecord lease = this.codec.decode(stored.get().value(), LeaseRecord.class);
		long now = this.clock.nanos();
		if (stored.get().version() != this.version) {
			this.version = stored.get().version();
			this.seenSince = now;
		}
		boolean expired = now - this.seenSince >= TERM.plus(MARGIN).toNanos();
		if (expired || lease.holder().equals(this.holder)) {
			write(OptionalLong.of(this.version), lease.fencing() + 1);
		}
	}

	private boolean write(OptionalLong expected, long fencingNumber) throws PeerException {
		long before = this.clock.nanos();
		LeaseRecord lease = new LeaseRecord(this.holder, this.tokens.get(), fencingNumber);
		OptionalLong written = ConditionalWrite.write(this.store, KEY, this.codec.encode(lease), expected,
				(value) -> this.codec.decode(value, LeaseRecord.class).token().equals(lease.token()));
		if (written.isEmpty()) {
			return false;
		}
		this.held = true;
		this.heldUntil = before + TERM.toNanos();
		this.version = written.getAsLong();
		this.seenSince = before;
		this.fencing = fencingNumber;
		return true;
	}

	/**
	 * Gives the lease up, so that another daemon can take it at once.
	 * @throws PeerException if the store does not answer; the lease then expires
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
			// The lease is gone or expires.
		}
	}

}
