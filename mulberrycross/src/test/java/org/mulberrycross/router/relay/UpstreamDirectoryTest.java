package org.mulberrycross.router.relay;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.UpstreamInstance;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests to removed upstreams, and against the removal of all upstreams
 * during an outage of the store.
 */
class UpstreamDirectoryTest {

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private final UpstreamDirectory directory = new UpstreamDirectory();

	private static DirectoryEntry entry(String id, boolean leaving) {
		return new DirectoryEntry(new UpstreamInstance(id, "s", new Address("10.0.0.1", 80), "dc", leaving, 1, 0),
				Optional.empty());
	}

	private static DirectoryEntry startedAt(String id, int port, long startedMillis) {
		return new DirectoryEntry(
				new UpstreamInstance(id, "s", new Address("10.0.0.1", port), "dc", false, 1, startedMillis),
				Optional.empty());
	}

	private List<String> eligibleIds() {
		return this.directory.eligibleEntries("s").stream().map((entry) -> entry.instance().id()).toList();
	}

	/** Fails if an upstream that is leaving receives new requests. */
	@Test
	void leavingUpstreamIsNotEligible() {
		this.directory.put(entry("a", false));
		this.directory.put(entry("a", true));
		assertThat(eligibleIds()).isEmpty();
	}

	/**
	 * Pattern: the store comes back from a copy in which one entry is missing and another
	 * one is from before its instance announced that it leaves. Fails if a live upstream
	 * is lost until it has registered again, or if one that leaves gets requests again.
	 */
	@Test
	void entriesOfOlderCopyAreNoRemovalAndNoReturn() {
		this.directory.put(entry("lost", false));
		this.directory.put(entry("leaving", true));
		this.directory.markStoreRestored(NANOS_PER_SECOND);
		this.directory.replaceAll(List.of(entry("leaving", false)), NANOS_PER_SECOND);
		assertThat(eligibleIds()).containsExactly("lost");
		this.directory.removeExpired(4 * NANOS_PER_SECOND);
		assertThat(eligibleIds()).isEmpty();
	}

	/**
	 * Pattern: engines crash and start again within seconds (trouble-3 of the badge
	 * fleet). Fails if the entry of the former instance, which stays listed for some
	 * seconds, still gets requests, or if a failure at its address is attributed to it.
	 */
	@Test
	void laterInstanceReplacesEntryWithItsAddress() {
		this.directory.put(startedAt("former", 80, 1000));
		this.directory.put(startedAt("neighbour", 81, 1000));
		this.directory.put(startedAt("later", 80, 5000));
		assertThat(eligibleIds()).containsExactly("later", "neighbour");
		assertThat(this.directory.findByAddress("s", new Address("10.0.0.1", 80)).map((entry) -> entry.instance().id()))
			.isEqualTo(Optional.of("later"));
		// The store may still publish an update of the former entry.
		this.directory.put(startedAt("former", 80, 1000));
		assertThat(eligibleIds()).containsExactly("later", "neighbour");
		this.directory.remove("former", NANOS_PER_SECOND);
		assertThat(this.directory.findByAddress("s", new Address("10.0.0.1", 80))).isPresent();
	}

	/**
	 * Fails if an entry that another writer has made, of a service that nobody uses,
	 * takes the place of an upstream at its address.
	 */
	@Test
	void entryOfOtherServiceDoesNotReplaceUpstream() {
		this.directory.put(startedAt("upstream", 80, 1000));
		this.directory.put(new DirectoryEntry(
				new UpstreamInstance("forged", "unknown", new Address("10.0.0.1", 80), "dc", false, 1, Long.MAX_VALUE),
				Optional.empty()));
		assertThat(eligibleIds()).containsExactly("upstream");
		assertThat(this.directory.findByAddress("s", new Address("10.0.0.1", 80)).map((entry) -> entry.instance().id()))
			.isEqualTo(Optional.of("upstream"));
	}

	/** Fails if an upstream that is removed without an outage is kept. */
	@Test
	void removesEntryAtOnceWithoutOutage() {
		this.directory.put(entry("a", false));
		this.directory.remove("a", NANOS_PER_SECOND);
		assertThat(eligibleIds()).isEmpty();
	}

	/** Fails if removals during an outage of the store take effect at once, or never. */
	@Test
	void keepsRemovedEntriesForReregistrationTime() {
		this.directory.put(entry("a", false));
		this.directory.put(entry("b", false));
		this.directory.markStoreUnavailable("a-kind");
		this.directory.markStoreAvailable("a-kind", 10 * NANOS_PER_SECOND);
		this.directory.replaceAll(List.of(entry("b", false)), 10 * NANOS_PER_SECOND);
		this.directory.removeExpired(11 * NANOS_PER_SECOND);
		assertThat(eligibleIds()).containsExactly("a", "b");
		this.directory.removeExpired(12 * NANOS_PER_SECOND + 1);
		assertThat(eligibleIds()).containsExactly("b");
	}

	/**
	 * Fails if removed entries are kept only after the upstream watch itself has detected
	 * the outage, since that watch may still be waiting. In incident inc-05e8, entries
	 * expired 0.9 s after the configuration watch had detected the outage.
	 */
	@Test
	void unavailabilityOfAnyKindIsAnOutage() {
		this.directory.put(entry("a", false));
		this.directory.markStoreUnavailable("configuration");
		this.directory.remove("a", NANOS_PER_SECOND);
		this.directory.removeExpired(20 * NANOS_PER_SECOND);
		assertThat(eligibleIds()).containsExactly("a");
		this.directory.markStoreAvailable("configuration", 20 * NANOS_PER_SECOND);
		this.directory.removeExpired(21 * NANOS_PER_SECOND);
		assertThat(eligibleIds()).containsExactly("a");
		this.directory.removeExpired(22 * NANOS_PER_SECOND);
		assertThat(eligibleIds()).isEmpty();
	}

	/**
	 * Fails if an upstream that is removed after a lost connection to the store gets
	 * requests for two more seconds, although the store was available throughout.
	 */
	@Test
	void removesEntryAtOnceAfterLostConnection() {
		this.directory.put(entry("a", false));
		this.directory.put(entry("b", false));
		this.directory.markStoreUnavailable("a-kind");
		this.directory.remove("a", 10 * NANOS_PER_SECOND);
		assertThat(eligibleIds()).containsExactly("a", "b");
		this.directory.markConnectionReplaced("a-kind");
		this.directory.remove("b", 10 * NANOS_PER_SECOND);
		this.directory.removeExpired(10 * NANOS_PER_SECOND);
		assertThat(eligibleIds()).isEmpty();
	}

	/**
	 * Fails if an entry that is removed shortly after an outage is kept for longer than
	 * upstreams take to register again after it.
	 */
	@Test
	void reregistrationTimeCountsFromRecovery() {
		this.directory.put(entry("a", false));
		this.directory.markStoreUnavailable("a-kind");
		this.directory.markStoreAvailable("a-kind", 10 * NANOS_PER_SECOND);
		this.directory.remove("a", 11 * NANOS_PER_SECOND);
		this.directory.removeExpired(12 * NANOS_PER_SECOND - 1);
		assertThat(eligibleIds()).containsExactly("a");
		this.directory.removeExpired(12 * NANOS_PER_SECOND);
		assertThat(eligibleIds()).isEmpty();
	}

	/** Fails if an entry that was registered again in time is removed. */
	@Test
	void keepsReregisteredEntry() {
		this.directory.put(entry("a", false));
		this.directory.markStoreUnavailable("a-kind");
		this.directory.markStoreAvailable("a-kind", 10 * NANOS_PER_SECOND);
		this.directory.replaceAll(List.of(), 10 * NANOS_PER_SECOND);
		this.directory.put(entry("a", false));
		this.directory.removeExpired(13 * NANOS_PER_SECOND);
		assertThat(eligibleIds()).containsExactly("a");
	}

}
