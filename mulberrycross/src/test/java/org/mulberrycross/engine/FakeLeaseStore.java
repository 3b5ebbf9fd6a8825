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
 * Lease store in memory. A fault is drawn for each call. Not thread-safe.
 */
final class FakeLeaseStore implements LeaseStore {

	private static final Peer PEER = new Peer(Peer.Kind.PLATFORM, "fake");

	private final Map<String, StoredLease> records = new HashMap<>();

	private final Deque<Runnable> delayed = new ArrayDeque<>();

	private final Supplier<Fault> faults;

	private long revision;

	FakeLeaseStore(Supplier<Fault> faults) {
		this.faults = faults;
	}

	boolean deliverDelayed() {
		Optional<Runnable> write = Optional.ofNullable(this.delayed.poll());
		write.ifPresent(Runnable::run);
		return write.isPresent();
	}

	@Override
	public Optional<StoredLease> read(String name) throws PeerException {
		if (this.faults.get() != Fault.NONE) {
			throw new OutcomeUnknownException(Step.READ_OBJECT, PEER, "read was not answered", null);
		}
		return Optional.ofNullable(this.records.get(name));
	}

	@Override
	public OptionalLong write(String name, LeaseRecord lease, long version) throws PeerException {
		Fault fault = this.faults.get();
		if (fault == Fault.DOWN) {
			throw new NotRunException(Step.WRITE_OBJECT, PEER, "store is down");
		}
		if (fault == Fault.NONE) {
			return put(name, lease, version);
		}
		if (fault == Fault.ANSWER_LOST) {
			put(name, lease, version);
		}
		if (fault == Fault.DELAYED) {
			this.delayed.add(() -> put(name, lease, version));
		}
		throw new OutcomeUnknownException(Step.WRITE_OBJECT, PEER, "write was not answered", null);
	}

	private OptionalLong put(String name, LeaseRecord lease, long version) {
		if (this.records.getOrDefault(name, StoredLease.NONE).version() != version) {
			return OptionalLong.empty();
		}
		this.records.put(name, new StoredLease(++this.revision, lease));
		return OptionalLong.of(this.revision);
	}

	/**
	 * What happens to one call of the store: done and answered, known not to be done,
	 * done without an answer, lost on its way, or done later without an answer.
	 */
	enum Fault {

		NONE, DOWN, ANSWER_LOST, REQUEST_LOST, DELAYED

	}

}
