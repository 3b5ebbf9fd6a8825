package org.mulberrycross.service;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Supplier;

import org.mulberrycross.NotRunException;
import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;

/**
 * Intent store in memory. A fault is drawn for each call. Not thread-safe.
 */
final class FakeIntentStore implements IntentStore {

	private static final Peer PEER = new Peer(Peer.Kind.PLATFORM, "fake");

	private final TreeMap<String, StoredIntent> records = new TreeMap<>();

	private final Deque<Runnable> delayed = new ArrayDeque<>();

	private final Supplier<Fault> faults;

	private long revision;

	FakeIntentStore(Supplier<Fault> faults) {
		this.faults = faults;
	}

	Optional<StoredIntent> stored(String name) {
		return Optional.ofNullable(this.records.get(name));
	}

	boolean deliverDelayed() {
		Optional<Runnable> write = Optional.ofNullable(this.delayed.poll());
		write.ifPresent(Runnable::run);
		return write.isPresent();
	}

	@Override
	public Optional<StoredIntent> read(String name) throws PeerException {
		if (this.faults.get() != Fault.NONE) {
			throw new OutcomeUnknownException(Step.READ_OBJECT, PEER, "read was not answered", null);
		}
		return stored(name);
	}

	@Override
	public OptionalLong create(String name, IntentRecord intent) throws PeerException {
		return write(() -> this.records.containsKey(name) ? OptionalLong.empty() : put(name, intent));
	}

	@Override
	public OptionalLong replace(String name, IntentRecord intent, long version) throws PeerException {
		return write(() -> has(name, version) ? put(name, intent) : OptionalLong.empty());
	}

	@Override
	public boolean delete(String name, long version) throws PeerException {
		return write(() -> {
			if (!has(name, version)) {
				return OptionalLong.empty();
			}
			this.records.remove(name);
			return OptionalLong.of(++this.revision);
		}).isPresent();
	}

	@Override
	public List<StoredIntent> list(String after, int limit) {
		return this.records.tailMap(after, false).values().stream().limit(limit).toList();
	}

	private boolean has(String name, long version) {
		return stored(name).filter((found) -> found.version() == version).isPresent();
	}

	private OptionalLong put(String name, IntentRecord intent) {
		this.revision++;
		this.records.put(name, new StoredIntent(name, this.revision, intent));
		return OptionalLong.of(this.revision);
	}

	private OptionalLong write(Supplier<OptionalLong> write) throws PeerException {
		Fault fault = this.faults.get();
		if (fault == Fault.DOWN) {
			throw new NotRunException(Step.WRITE_OBJECT, PEER, "store is down");
		}
		if (fault == Fault.NONE) {
			return write.get();
		}
		if (fault == Fault.ANSWER_LOST) {
			write.get();
		}
		if (fault == Fault.DELAYED) {
			this.delayed.add(write::get);
		}
		throw new OutcomeUnknownException(Step.WRITE_OBJECT, PEER, "write was not answered", null);
	}

	/**
	 * What happens to one call of the store.
	 */
	enum Fault {

		/** The call is done and answered. */
		NONE,

		/** The call is not done, and the caller knows it. */
		DOWN,

		/** A write is done and its answer is lost. */
		ANSWER_LOST,

		/** A write is lost on its way. */
		REQUEST_LOST,

		/** A write is done later, and its answer is lost. */
		DELAYED

	}

}
