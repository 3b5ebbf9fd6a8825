package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.Address;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.PeerException;
import org.mulberrycross.StorePosition;
import org.mulberrycross.sibling.ChangesClient;
import org.mulberrycross.sibling.ChangesQuery;
import org.mulberrycross.sibling.ChangesReply;
import org.mulberrycross.sibling.DataCentreHub;

/**
 * Asks the hub of the data centre for changes, and decides when the store must be asked
 * in its place. Used by one thread.
 */
final class HubWatch implements SiblingWatch {

	private static final Logger logger = LoggerFactory.getLogger(HubWatch.class);

	/** Part of the time for a query that is left to its way to the hub and back. */
	private static final Duration REPLY_MARGIN = Duration.ofMillis(150);

	/** Minimum time for which a query is worth while. */
	private static final Duration MIN_WAIT = Duration.ofMillis(50);

	/** Minimum time between two log lines about the source of a kind. */
	private static final Duration LOG_PERIOD = Duration.ofSeconds(2);

	private final String kind;

	private final DataCentreHub hub;

	private final ChangesClient client;

	private final MonotonicClock clock;

	/** The last position that a hub in a later era did not know, empty at first. */
	private Optional<StorePosition> outdated = Optional.empty();

	/** The last source in the log, empty for the store. */
	private Optional<Address> source = Optional.empty();

	private OptionalLong loggedNanos = OptionalLong.empty();

	HubWatch(String kind, DataCentreHub hub, ChangesClient client, MonotonicClock clock) {
		this.kind = Objects.requireNonNull(kind, "kind");
		this.hub = Objects.requireNonNull(hub, "hub");
		this.client = Objects.requireNonNull(client, "client");
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	@Override
	public Optional<SiblingChanges> changesAfter(StorePosition after, ClockReading confirmedAsOf, Duration trust) {
		ClockReading sentAt = ClockReading.now(this.clock);
		Optional<Address> address = this.hub.address(sentAt.monotonicNanos());
		if (address.isEmpty()) {
			return useStore("this daemon is the hub or knows none");
		}
		Duration timeout = trust.minusMillis(confirmedAsOf.ageMillis(sentAt));
		Duration wait = timeout.minus(REPLY_MARGIN);
		if (wait.compareTo(MIN_WAIT) < 0) {
			return useStore("confirmation is too old");
		}
		try {
			ChangesReply reply = this.client.request(address.get(), new ChangesQuery(this.kind, after, wait), timeout);
			return evaluate(reply, address.get(), after, sentAt);
		}
		catch (PeerException ex) {
			return avoid(address.get(), ex.toString());
		}
	}

	private Optional<SiblingChanges> evaluate(ChangesReply reply, Address address, StorePosition after,
			ClockReading sentAt) {
		return switch (reply.status()) {
			case KNOWN -> {
				Optional<SiblingChanges> changes = SiblingChanges.of(reply, after, sentAt,
						ClockReading.now(this.clock));
				if (changes.isEmpty()) {
					yield avoid(address, "reply contradicts what is known");
				}
				logSource(Optional.of(address), "hub knows the changes");
				yield changes;
			}
			case OTHER_ERA -> evaluateOtherEra(reply.position(), address, after, sentAt);
			case STORE_UNAVAILABLE -> avoid(address, "the store does not answer the hub");
			default -> useStore("hub replied " + reply.status());
		};
	}

	// A hub in a later era has learned from the store that it came back from a copy. The
	// daemon lists once; if the store then names the former era, the hub is not believed.
	private Optional<SiblingChanges> evaluateOtherEra(StorePosition reached, Address address, StorePosition after,
			ClockReading sentAt) {
		if (!reached.isLaterEra(after)) {
			return useStore("hub is in another era, at " + reached);
		}
		if (this.outdated.filter(after::isSameEra).isPresent()) {
			return avoid(address, "the store does not confirm the era of the hub");
		}
		this.outdated = Optional.of(after);
		logger.atInfo()
			.addKeyValue("kind", this.kind)
			.addKeyValue("position", after)
			.addKeyValue("hub_position", reached)
			.log("hub is in a later era, listing again");
		return Optional.of(SiblingChanges.outdated(after, sentAt));
	}

	private Optional<SiblingChanges> avoid(Address address, String reason) {
		this.hub.recordFailure(address, this.clock.nanos());
		return useStore(reason);
	}

	private Optional<SiblingChanges> useStore(String reason) {
		logSource(Optional.empty(), reason);
		return Optional.empty();
	}

	private void logSource(Optional<Address> current, String reason) {
		long nowNanos = this.clock.nanos();
		boolean loggedLately = this.loggedNanos.isPresent()
				&& nowNanos - this.loggedNanos.getAsLong() < LOG_PERIOD.toNanos();
		if (!current.equals(this.source) && !loggedLately) {
			this.source = current;
			this.loggedNanos = OptionalLong.of(nowNanos);
			logger.atInfo()
				.addKeyValue("kind", this.kind)
				.addKeyValue("source", current.map(Address::toString).orElse("store"))
				.addKeyValue("reason", reason)
				.log("source of changes switched");
		}
	}

}
