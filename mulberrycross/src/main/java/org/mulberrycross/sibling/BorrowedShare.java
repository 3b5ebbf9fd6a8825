package org.mulberrycross.sibling;

import java.time.Duration;

/**
 * The share of one limit that this daemon holds, and its demand. Not thread-safe;
 * confined to the control thread.
 */
final class BorrowedShare {

	/**
	 * Time without a running request or an attempt to acquire a slot after which a share
	 * is returned to the owner.
	 */
	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(1);

	private final ShareTiming timing;

	private int amount;

	private long leaseEndNanos;

	private int running;

	private int peakRunning;

	/**
	 * Number of failed attempts to acquire a slot since the last admitted request or the
	 * last share request, whichever is later.
	 */
	private int unmetDemand;

	private long lastUsedNanos;

	private boolean requestSent;

	private long lastRequestNanos;

	private boolean reportedTo;

	private long reportEndNanos;

	private boolean closed;

	private String owner = "";

	private long ownerViewNumber = -1;

	BorrowedShare(ShareTiming timing) {
		this.timing = timing;
	}

	String owner() {
		return this.owner;
	}

	boolean hasOwnerOf(long viewNumber) {
		return this.ownerViewNumber == viewNumber;
	}

	void setOwner(String name, long viewNumber) {
		this.owner = name;
		this.ownerViewNumber = viewNumber;
	}

	int running() {
		return this.running;
	}

	boolean hasFreeSlot(int limit, long nanos) {
		return this.running < Math.min(validAmount(nanos), limit);
	}

	void recordUnmetDemand(long nanos) {
		this.unmetDemand++;
		this.lastUsedNanos = nanos;
	}

	void acquire(long nanos) {
		this.running++;
		this.peakRunning = Math.max(this.peakRunning, this.running);
		this.unmetDemand = 0;
		this.lastUsedNanos = nanos;
	}

	void release(long nanos) {
		this.running--;
		this.lastUsedNanos = nanos;
	}

	// Slots that are not wanted are given up now, before the owner receives the request
	// and can grant them to another daemon.
	void recordRequest(ShareRequest.Item item, long nanos) {
		this.amount = item.held();
		this.requestSent = true;
		this.lastRequestNanos = nanos;
		this.peakRunning = this.running;
		this.unmetDemand = 0;
	}

	// The owner counts this daemon as a borrower until the end of its own lease time.
	void applyGrant(int granted, long newLeaseEndNanos, long reportEnd) {
		this.amount = granted;
		this.leaseEndNanos = newLeaseEndNanos;
		this.reportedTo = true;
		this.reportEndNanos = reportEnd;
	}

	// Returns whether an owner may still count this daemon as a borrower.
	boolean isReported(long nanos) {
		return this.reportedTo && nanos - this.reportEndNanos < 0;
	}

	// Reports to the owner, also after the share was closed.
	void open() {
		this.closed = false;
	}

	// Returns the share to the owner and reports no more.
	void close() {
		this.closed = true;
	}

	int validAmount(long nanos) {
		return (this.leaseEndNanos - nanos > 0) ? this.amount : 0;
	}

	private boolean isIdle(long nanos) {
		return this.running == 0 && (this.closed || nanos - this.lastUsedNanos >= IDLE_TIMEOUT.toNanos());
	}

	// Returns whether nothing has to be kept or reported.
	boolean isRemovable(long nanos) {
		return isIdle(nanos) && validAmount(nanos) == 0 && (this.closed || !this.timing.reportsIdle());
	}

	boolean isRequestUrgent(long nanos) {
		int wanted = wantedAmount(nanos);
		int valid = validAmount(nanos);
		boolean reports = wanted > 0 || (this.timing.reportsIdle() && !this.closed);
		boolean needsMore = wanted > valid
				&& nanos - this.lastRequestNanos >= this.timing.minRequestInterval().toNanos();
		boolean needsRenewal = reports && nanos - this.lastRequestNanos >= LimitShares.LEASE.toNanos() / 2;
		boolean hasUnusedShare = wanted == 0 && valid > 0;
		return !this.requestSent || needsMore || needsRenewal || hasUnusedShare;
	}

	boolean isRequestDue(long nanos) {
		return isRequestUrgent(nanos)
				|| (wantedAmount(nanos) > 0 && nanos - this.lastRequestNanos >= LimitShares.LEASE.toNanos() / 4);
	}

	ShareRequest.Item toItem(String name, long nanos) {
		int wanted = wantedAmount(nanos);
		return new ShareRequest.Item(name, Math.min(validAmount(nanos), wanted), this.running, wanted);
	}

	private int wantedAmount(long nanos) {
		return isIdle(nanos) ? 0 : Math.max(1, Math.max(this.peakRunning, this.running + this.unmetDemand));
	}

}
