package org.mulberrycross.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

import org.mulberrycross.NotRunException;
import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;

/**
 * In-memory lease store. A supplier decides the fault of each call. Not thread-safe.
 */
final class FakeLeaseStore implements LeaseStore {

	private static final Peer PEER = new Peer(Peer.Kind.PLATFORM, "fake");

	private final Map<String, StoredLease> records = new HashMap<>();

	private final Deque<Runnable> delayedWrites = new ArrayDeque<>();

	private final Supplier<Fault> nextFault;

	private long revision;

	private long era = 1;

	FakeLeaseStore(Supplier<Fault> nextFault) {
		this.nextFault = nextFault;
	}

	boolean deliverDelayedWrite() {
		Optional<Runnable> write = Optional.ofNullable(this.delayedWrites.poll());
		write.ifPresent(Runnable::run);
		return write.isPresent();
	}

	// Returns a copy of the records, empty if there are none.
	Optional<Map<String, StoredLease>> copy() {
		return this.records.isEmpty() ? Optional.empty() : Optional.of(Map.copyOf(this.records));
	}

	// Returns to a copy in the next era, and gives the revisions out again. Calls that
	// were
	// still under way are lost with the store.
	void restore(Map<String, StoredLease> copy) {
		this.records.clear();
		this.records.putAll(copy);
		this.delayedWrites.clear();
		this.revision = copy.values().stream().mapToLong(StoredLease::version).max().orElse(0);
		this.era++;
	}

	@Override
	public OptionalLong era() {
		return OptionalLong.of(this.era);
	}

	@Override
	public Optional<StoredLease> read(String name) throws PeerException {
		if (this.nextFault.get() != Fault.NONE) {
			throw new OutcomeUnknownException(Step.READ_OBJECT, PEER, "no response to read", null);
		}
		return Optional.ofNullable(this.records.get(name));
	}

	@Override
	public OptionalLong write(String name, OrderLeaseRecord lease, long expectedVersion) throws PeerException {
		Fault fault = this.nextFault.get();
		if (fault == Fault.UNAVAILABLE) {
			throw new NotRunException(Step.WRITE_OBJECT, PEER, "store is unavailable");
		}
		if (fault == Fault.NONE) {
			return putIfVersionMatches(name, lease, expectedVersion);
		}
		if (fault == Fault.RESPONSE_LOST) {
			putIfVersionMatches(name, lease, expectedVersion);
		}
		if (fault == Fault.DELAYED) {
			this.delayedWrites.add(() -> putIfVersionMatches(name, lease, expectedVersion));
		}
		throw new OutcomeUnknownException(Step.WRITE_OBJECT, PEER, "no response to write", null);
	}

	private OptionalLong putIfVersionMatches(String name, OrderLeaseRecord lease, long expectedVersion) {
		if (this.records.getOrDefault(name, StoredLease.NONE).version() != expectedVersion) {
			return OptionalLong.empty();
		}
		this.records.put(name, new StoredLease(++this.revision, lease));
		return OptionalLong.of(this.revision);
	}

	/**
	 * Fault of one call: none; rejected without effect; executed but the response is
	 * lost; the request is lost; or executed later without a response. A read fails on
	 * any of them.
	 */
	enum Fault {

		NONE, UNAVAILABLE, RESPONSE_LOST, REQUEST_LOST, DELAYED

	}

}
