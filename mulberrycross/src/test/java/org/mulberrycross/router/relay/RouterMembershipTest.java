package org.mulberrycross.router.relay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.platform.ObjectPage;
import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.StorePosition;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.platform.WatchResult;
import org.mulberrycross.sibling.Sibling;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against messages to the address of a daemon that has restarted elsewhere.
 */
class RouterMembershipTest {

	private static final Sibling SELF = new Sibling("router-1", new Address("10.0.0.1", 7000), "dc", 5);

	private final MemoryStore store = new MemoryStore();

	private int count;

	private List<Sibling> siblings = List.of();

	private RouterMembership membership(Optional<Sibling> self) {
		return new RouterMembership(this.store, "router-1", self, (daemonCount, listed) -> {
			this.count = daemonCount;
			this.siblings = listed;
		});
	}

	@Test
	void entryOfPreviousProcessIsReplaced() {
		Sibling previous = new Sibling("router-1", new Address("10.0.0.9", 7000), "dc", 4);
		membership(Optional.of(previous)).listAndRegister(false);
		assertThat(membership(Optional.of(SELF)).listAndRegister(false)).isTrue();
		membership(Optional.of(SELF)).listAndRegister(true);
		assertThat(this.siblings).containsExactly(SELF);
		assertThat(this.store.objects.get("router/router-1").version()).isEqualTo(2);
	}

	@Test
	void addressIsWithdrawnWhenItsSettingIsRemoved() {
		membership(Optional.of(SELF)).listAndRegister(false);
		assertThat(membership(Optional.empty()).listAndRegister(false)).isTrue();
		membership(Optional.empty()).listAndRegister(true);
		assertThat(this.siblings).isEmpty();
		assertThat(this.count).isEqualTo(1);
	}

	@Test
	void entriesWithoutAddressAreOnlyCounted() {
		for (String entry : List.of("{}", "[]", "{\"address\":\"x\",\"data_centre\":\"dc\",\"incarnation\":1}",
				"{\"address\":\"10.0.0.3:1\"}")) {
			this.store.create("router/old-" + this.store.objects.size(), entry.getBytes(StandardCharsets.UTF_8));
		}
		membership(Optional.empty()).listAndRegister(false);
		membership(Optional.empty()).listAndRegister(true);
		assertThat(this.count).isEqualTo(5);
		assertThat(this.siblings).isEmpty();
	}

	/** Keeps objects in memory. */
	private static final class MemoryStore implements ObjectStore {

		private final Map<String, StoredObject> objects = new TreeMap<>();

		@Override
		public Optional<StoredObject> read(String key) {
			return Optional.ofNullable(this.objects.get(key));
		}

		@Override
		public ObjectPage list(Set<String> kinds, String after, int limit) {
			return new ObjectPage(1, List.copyOf(this.objects.values()), false);
		}

		@Override
		public OptionalLong create(String key, byte[] value) {
			return (this.objects.putIfAbsent(key, new StoredObject(key, 1, value)) != null) ? OptionalLong.empty()
					: OptionalLong.of(1);
		}

		@Override
		public OptionalLong replace(String key, byte[] value, long expectedVersion) {
			this.objects.put(key, new StoredObject(key, expectedVersion + 1, value));
			return OptionalLong.of(expectedVersion + 1);
		}

		@Override
		public boolean delete(String key, long expectedVersion) {
			return false;
		}

		@Override
		public WatchResult watch(Set<String> kinds, StorePosition after, Duration timeout) {
			throw new UnsupportedOperationException();
		}

	}

}
