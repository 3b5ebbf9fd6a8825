package org.mulberrycross.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.mulberrycross.NotRunException;
import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.StorePosition;

/**
 * Object store that randomly fails, loses responses and runs other actors between the
 * calls of its caller. Not thread-safe; used on one thread.
 */
final class FaultyStore implements ObjectStore {

	private static final Peer PEER = new Peer(Peer.Kind.PLATFORM, "");

	private final ObjectStore store;

	private final RandomGenerator random;

	private final Runnable otherActors;

	private boolean faultsEnabled = true;

	FaultyStore(ObjectStore store, RandomGenerator random, Runnable otherActors) {
		this.store = store;
		this.random = random;
		this.otherActors = otherActors;
	}

	void disableFaults() {
		this.faultsEnabled = false;
	}

	private void injectFault() throws PeerException {
		if (!this.faultsEnabled) {
			return;
		}
		if (this.random.nextInt(40) == 0) {
			this.otherActors.run();
		}
		if (this.random.nextInt(50) == 0) {
			throw new NotRunException(Step.READ_OBJECT, PEER, "object store is unavailable");
		}
	}

	private <T> T write(WriteCall<T> write) throws PeerException {
		injectFault();
		int fault = this.faultsEnabled ? this.random.nextInt(40) : -1;
		if (fault == 0) {
			throw new OutcomeUnknownException(Step.WRITE_OBJECT, PEER, "request was lost", null);
		}
		T result = write.run();
		if (fault == 1) {
			throw new OutcomeUnknownException(Step.WRITE_OBJECT, PEER, "response was lost", null);
		}
		return result;
	}

	@Override
	public Optional<StoredObject> read(String key) throws PeerException {
		injectFault();
		return this.store.read(key);
	}

	@Override
	public ObjectPage list(Set<String> kinds, String after, int limit) throws PeerException {
		injectFault();
		return this.store.list(kinds, after, Math.min(limit, 5));
	}

	@Override
	public OptionalLong create(String key, byte[] value) throws PeerException {
		return write(() -> this.store.create(key, value));
	}

	@Override
	public OptionalLong replace(String key, byte[] value, long expectedVersion) throws PeerException {
		return write(() -> this.store.replace(key, value, expectedVersion));
	}

	@Override
	public boolean delete(String key, long expectedVersion) throws PeerException {
		return write(() -> this.store.delete(key, expectedVersion));
	}

	@Override
	public WatchResult watch(Set<String> kinds, StorePosition after, Duration timeout) throws PeerException {
		injectFault();
		if (this.faultsEnabled && this.random.nextInt(100) == 0) {
			return new WatchResult(after, List.of(), true);
		}
		return this.store.watch(kinds, after, Duration.ZERO);
	}

	@FunctionalInterface
	private interface WriteCall<T> {

		T run() throws PeerException;

	}

}
