package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.StorePosition;
import org.mulberrycross.platform.ObjectChange;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.platform.WatchResult;
import org.mulberrycross.sibling.ChangeSource;
import org.mulberrycross.sibling.ChangesQuery;
import org.mulberrycross.sibling.ChangesReply;
import org.mulberrycross.sibling.SharedChange;

/**
 * Passes on to siblings what this daemon reads from the store about one kind of objects.
 * Queries wait until the next call to the store ends, on whose thread they are answered.
 * What this daemon has heard from a sibling is not passed on. Thread-safe.
 */
final class ChangeFeed implements ChangeSource {

	private static final Logger logger = LoggerFactory.getLogger(ChangeFeed.class);

	/** Maximum number of waiting queries; one for each daemon of a data centre. */
	private static final int MAX_WAITING = 512;

	/**
	 * Maximum size of the objects in a reply. All siblings of a data centre receive it at
	 * the same time over the link of this machine, which also carries responses to
	 * clients; larger objects are read from the store by each of them.
	 */
	private static final long MAX_REPLY_BYTES = 16 << 10;

	/**
	 * Time since the last query after which nobody follows this daemon. Longer than a
	 * call to the store with which a follower bridges a gap.
	 */
	private static final Duration FOLLOWER_EXPIRY = Duration.ofSeconds(8);

	private final MonotonicClock clock;

	private final ChangeLog log = new ChangeLog();

	private final Set<Waiting> waiting = new LinkedHashSet<>();

	private boolean storeAvailable = true;

	/** The time at which the current call to the store ends if nothing changes. */
	private OptionalLong nextConfirmationNanos = OptionalLong.empty();

	private OptionalLong lastQueryNanos = OptionalLong.empty();

	private int followerCount;

	ChangeFeed(MonotonicClock clock) {
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	// Starts at a list of all objects read from the store.
	void restart(StorePosition position, ClockReading asOf) {
		List<Answer> answers;
		synchronized (this) {
			this.storeAvailable = true;
			this.log.restart(position, asOf);
			answers = answerWaiting();
		}
		answers.forEach(Answer::send);
	}

	// Records that a watch begins that ends after a time if nothing changes.
	synchronized void startWatch(ClockReading sentAt, Duration timeout) {
		this.nextConfirmationNanos = OptionalLong.of(sentAt.monotonicNanos() + timeout.toNanos());
	}

	// Adds the result of a watch of the store. Changes are kept only while siblings
	// follow.
	void append(StorePosition after, WatchResult result, ClockReading asOf) {
		List<Answer> answers;
		synchronized (this) {
			this.storeAvailable = true;
			this.nextConfirmationNanos = OptionalLong.empty();
			if (result.changes().isEmpty() || followerCount() > 0) {
				this.log.append(after, result, asOf);
			}
			else {
				this.log.restart(result.position(), asOf);
			}
			answers = answerWaiting();
		}
		answers.forEach(Answer::send);
	}

	// Records that the store does not answer this daemon.
	void markStoreUnavailable() {
		List<Answer> answers;
		synchronized (this) {
			this.storeAvailable = false;
			this.nextConfirmationNanos = OptionalLong.empty();
			answers = answerWaiting();
		}
		answers.forEach(Answer::send);
	}

	// Records that this daemon follows a sibling from now on.
	void stopFollowingStore() {
		List<Answer> answers;
		synchronized (this) {
			this.log.clear();
			answers = answerWaiting();
		}
		answers.forEach(Answer::send);
	}

	// Returns the number of siblings that follow this daemon, 0 if there was no query for
	// some time.
	synchronized int followerCount() {
		boolean followed = this.lastQueryNanos.isPresent()
				&& this.clock.nanos() - this.lastQueryNanos.getAsLong() < FOLLOWER_EXPIRY.toNanos();
		return followed ? Math.max(1, this.followerCount) : 0;
	}

	@Override
	public Runnable request(ChangesQuery query, Consumer<ChangesReply> onReply) {
		Waiting added = new Waiting(query, onReply, ClockReading.now(this.clock));
		Optional<ChangesReply> reply;
		synchronized (this) {
			this.lastQueryNanos = OptionalLong.of(added.arrivedAt().monotonicNanos());
			reply = replyNow(added);
			if (reply.isEmpty() && !isConfirmedWithin(added)) {
				reply = Optional.of(ChangesReply.of(ChangesReply.Status.BUSY));
			}
			if (reply.isEmpty()) {
				this.waiting.add(added);
			}
		}
		reply.ifPresent(onReply);
		return () -> withdraw(added);
	}

	private synchronized void withdraw(Waiting withdrawn) {
		this.waiting.remove(withdrawn);
	}

	// Returns the reply to a query that needs no further call to the store.
	private Optional<ChangesReply> replyNow(Waiting query) {
		if (!this.storeAvailable) {
			return Optional.of(ChangesReply.of(ChangesReply.Status.STORE_UNAVAILABLE));
		}
		if (!this.log.isKnown()) {
			return Optional.of(ChangesReply.of(ChangesReply.Status.NOT_FOLLOWED));
		}
		if (!this.log.position().isSameEra(query.after())) {
			return Optional.of(otherEraReply(query));
		}
		if (this.log.position().isCoveredBy(query.after())) {
			return Optional.empty();
		}
		return Optional.of(this.log.changesAfter(query.after())
			.filter((changes) -> byteCount(changes) <= MAX_REPLY_BYTES)
			.map((changes) -> knownReply(query, changes))
			.orElse(ChangesReply.of(ChangesReply.Status.NOT_COVERED)));
	}

	// A build that names no era in its queries does not know this status either.
	private ChangesReply otherEraReply(Waiting query) {
		return query.after().era().isPresent() ? ChangesReply.otherEra(this.log.position())
				: ChangesReply.of(ChangesReply.Status.NOT_COVERED);
	}

	private static long byteCount(List<ObjectChange> changes) {
		return changes.stream()
			.flatMap((change) -> change.object().stream())
			.mapToLong((object) -> object.value().length)
			.sum();
	}

	// The age is rounded up, since the arithmetic of milliseconds rounds it down.
	private ChangesReply knownReply(Waiting query, List<ObjectChange> changes) {
		long ageMillis = this.log.confirmedAsOf().orElseThrow().ageMillis(query.arrivedAt()) + 1;
		StorePosition known = this.log.position().isCoveredBy(query.after()) ? query.after() : this.log.position();
		return new ChangesReply(ChangesReply.Status.KNOWN, known, ageMillis,
				changes.stream().map(ChangeFeed::toSharedChange).toList());
	}

	private static SharedChange toSharedChange(ObjectChange change) {
		return new SharedChange(change.key(), change.version(), change.object().map(StoredObject::value));
	}

	// Between two watches, the next one begins after a short pause.
	private boolean isConfirmedWithin(Waiting query) {
		long latestNanos = query.arrivedAt().monotonicNanos() + query.maxWait().toNanos();
		return this.waiting.size() < MAX_WAITING && this.nextConfirmationNanos.orElse(latestNanos) - latestNanos <= 0;
	}

	// Takes the waiting queries and their replies. All changes before the confirmation
	// have at most the revision of the log, so that it also holds for a sibling that has
	// read a later revision.
	private List<Answer> answerWaiting() {
		List<Answer> answers = this.waiting.stream()
			.map((query) -> new Answer(query, replyNow(query).orElseGet(() -> knownReply(query, List.of()))))
			.toList();
		this.waiting.clear();
		this.followerCount = answers.size();
		return answers;
	}

	/** A query and when it arrived. Equal only to itself. */
	private static final class Waiting {

		private final ChangesQuery query;

		private final Consumer<ChangesReply> onReply;

		private final ClockReading arrivedAt;

		private Waiting(ChangesQuery query, Consumer<ChangesReply> onReply, ClockReading arrivedAt) {
			this.query = query;
			this.onReply = onReply;
			this.arrivedAt = arrivedAt;
		}

		private StorePosition after() {
			return this.query.after();
		}

		private Duration maxWait() {
			return this.query.maxWait();
		}

		private ClockReading arrivedAt() {
			return this.arrivedAt;
		}

	}

	/** A reply to a query, sent without a lock. */
	private record Answer(Waiting query, ChangesReply reply) {

		void send() {
			try {
				this.query.onReply.accept(this.reply);
			}
			catch (RuntimeException ex) {
				// The sibling asks the store in time; the others still get their replies.
				logger.atWarn().setCause(ex).log("reply to a sibling failed");
			}
		}

	}

}
