package org.mulberrycross.router.relay;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.UpstreamInstance;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests to upstreams that are gone, and against the loss of all
 * upstreams in an outage of the store.
 */
class UpstreamDirectoryTest {

	private static final long SECOND = 1_000_000_000L;

	private final UpstreamDirectory directory = new UpstreamDirectory();

	private static DirectoryEntry entry(String id, boolean leaving) {
		return new DirectoryEntry(new UpstreamInstance(id, "s", new Address("10.0.0.1", 80), "dc", leaving, 1, 0),
				Optional.empty());
	}

	private List<String> serving() {
		return this.directory.serving("s").stream().map((entry) -> entry.instance().id()).toList();
	}

	/** Fails if an upstream that leaves gets new work. */
	@Test
	void leavingUpstreamServesNoMore() {
		this.directory.put(entry("a", false));
		this.directory.put(entry("a", true));
		assertThat(serving()).isEmpty();
	}

	/** Fails if an upstream that is gone in calm times stays. */
	@Test
	void removalHoldsAtOnceWithoutOutage() {
		this.directory.put(entry("a", false));
		this.directory.remove("a", SECOND);
		assertThat(serving()).isEmpty();
	}

	/**
	 * Fails if entries that lapse in an outage take all upstreams away, or stay for good.
	 */
	@Test
	void lapsedEntriesStayUntilTheyCouldBeBack() {
		this.directory.put(entry("a", false));
		this.directory.put(entry("b", false));
		this.directory.storeLost("a-kind");
		this.directory.storeRegained("a-kind", 10 * SECOND);
		this.directory.replaceAll(List.of(entry("b", false)), 10 * SECOND);
		this.directory.expire(11 * SECOND);
		assertThat(serving()).containsExactly("a", "b");
		this.directory.expire(12 * SECOND + 1);
		assertThat(serving()).containsExactly("b");
	}

	/**
	 * Fails if the watch of the list, which may still wait, has to notice an outage
	 * itself before lapsed entries are kept. Seen in incident inc-05e8: entries lapsed
	 * 0.9 s after the watch of the configuration had noticed the outage.
	 */
	@Test
	void lossOfAnyKindIsAnOutage() {
		this.directory.put(entry("a", false));
		this.directory.storeLost("configuration");
		this.directory.remove("a", SECOND);
		this.directory.expire(20 * SECOND);
		assertThat(serving()).containsExactly("a");
		this.directory.storeRegained("configuration", 20 * SECOND);
		this.directory.expire(21 * SECOND);
		assertThat(serving()).containsExactly("a");
		this.directory.expire(22 * SECOND);
		assertThat(serving()).isEmpty();
	}

	/** Fails if an entry that came back in time is removed after all. */
	@Test
	void entryThatIsBackStays() {
		this.directory.put(entry("a", false));
		this.directory.storeLost("a-kind");
		this.directory.storeRegained("a-kind", 10 * SECOND);
		this.directory.replaceAll(List.of(), 10 * SECOND);
		this.directory.put(entry("a", false));
		this.directory.expire(13 * SECOND);
		assertThat(serving()).containsExactly("a");
	}

}
