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
 * In-memory intent store with fault injection: a supplier decides the fault of each read
 * and write. Listing never fails. Not thread-safe.
 */
final class FakeIntentStore implements IntentStore {

	private static final Peer PEER = new Peer(Peer.Kind.PLATFORM, "fake");

	private final TreeMap<String, StoredIntent> records = new TreeMap<>();

	private final Deque<Runnable> delayedWrites = new ArrayDeque<>();

	private final Supplier<Fault> faultSource;

	private long revision;

	FakeIntentStore(Supplier<Fault> faultSource) {
		this.faultSource = faultSource;
	}

	Optional<StoredIntent> findRecord(String name) {
		return Optional.ofNullable(this.records.get(name));
	}

	boolean applyDelayedWrite() {
		Optional<Runnable> write = Optional.ofNullable(this.delayedWrites.poll());
		write.ifPresent(Runnable::run);
		return write.isPresent();
	}

	@Override
	public Optional<StoredIntent> read(String name) throws PeerException {
		if (this.faultSource.get() != Fault.NONE) {
			throw new OutcomeUnknownException(Step.READ_OBJECT, PEER, "the read got no response", null);
		}
		return findRecord(name);
	}

	@Override
	public OptionalLong create(String name, IntentRecord intent) throws PeerException {
		return writeWithFault(() -> this.records.containsKey(name) ? OptionalLong.empty() : put(name, intent));
	}

	@Override
	public OptionalLong replace(String name, IntentRecord intent, long expectedVersion) throws PeerException {
		return writeWithFault(() -> hasVersion(name, expectedVersion) ? put(name, intent) : OptionalLong.empty());
	}

	@Override
	public boolean delete(String name, long expectedVersion) throws PeerException {
		return writeWithFault(() -> {
			if (!hasVersion(name, expectedVersion)) {
				return OptionalLong.empty();
			}
			this.records.remove(name);
			return OptionalLong.of(++this.revision);
		}).isPresent();
	}

	@Override
	public List<StoredIntent> list(String afterName, int maxRecords) {
		return this.records.tailMap(afterName, false).values().stream().limit(maxRecords).toList();
	}

	private boolean hasVersion(String name, long version) {
		return findRecord(name).filter((stored) -> stored.version() == version).isPresent();
	}

	private OptionalLong put(String name, IntentRecord intent) {
		this.revision++;
		this.records.put(name, new StoredIntent(name, this.revision, intent));
		return OptionalLong.of(this.revision);
	}

	private OptionalLong writeWithFault(Supplier<OptionalLong> write) throws PeerException {
		Fault fault = this.faultSource.get();
		if (fault == Fault.DOWN) {
			throw new NotRunException(Step.WRITE_OBJECT, PEER, "the store is down");
		}
		if (fault == Fault.NONE) {
			return write.get();
		}
		if (fault == Fault.RESPONSE_LOST) {
			write.get();
		}
		if (fault == Fault.DELAYED) {
			this.delayedWrites.add(write::get);
		}
		throw new OutcomeUnknownException(Step.WRITE_OBJECT, PEER, "the write got no response", null);
	}

	/**
	 * Fault that is injected into one operation of the store.
	 */
	enum Fault {

		/** The operation is applied and its response is delivered. */
		NONE,

		/** The operation is not applied, and the caller knows it. */
		DOWN,

		/** A write is applied and its response is lost. */
		RESPONSE_LOST,

		/** A write is lost before it reaches the store. */
		REQUEST_LOST,

		/** A write is applied later, and its response is lost. */
		DELAYED

	}

}
