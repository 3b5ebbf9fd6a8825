package org.mulberrycross.router.relay;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.sibling.Sibling;
import org.mulberrycross.sibling.http.SiblingEntryCodec;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against messages to the address of a daemon that has restarted elsewhere.
 */
class RouterMembershipTest {

	private static final Sibling SELF = new Sibling("router-1", new Address("10.0.0.1", 7000), "dc", 5);

	private static final Sibling OTHER = new Sibling("router-2", new Address("10.0.0.2", 7000), "dc", 6);

	private final MemoryStore store = new MemoryStore();

	private long nowNanos;

	private int count;

	private List<Sibling> siblings = List.of();

	private RouterMembership membership(Optional<Sibling> self) {
		return new RouterMembership(this.store, "router-1", self, (daemonCount, listed) -> {
			this.count = daemonCount;
			this.siblings = listed;
		}, () -> this.nowNanos);
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

	/**
	 * Pattern: the store comes back from a copy that lacks the entries of two daemons.
	 * Fails if this daemon does not register again, or if the other one is not counted
	 * until it could, so that each share of a limit is too large.
	 */
	@Test
	void registersAgainAfterStoreCameBackFromCopy() {
		RouterMembership membership = membership(Optional.of(SELF));
		membership.listAndRegister(false);
		this.store.create("router/router-2", SiblingEntryCodec.encode(OTHER));
		membership.listAndRegister(true);
		assertThat(this.count).isEqualTo(2);
		this.store.objects.clear();
		membership.registerAgain();
		assertThat(membership.prepareNextList()).isFalse();
		membership.listAndRegister(false);
		assertThat(this.store.objects).containsKey("router/router-1");
		assertThat(this.count).isEqualTo(2);
		assertThat(this.siblings).containsExactly(SELF, OTHER);
	}

	/** Fails if a daemon whose entry is gone for whatever reason stays unregistered. */
	@Test
	void missingEntryIsWrittenAgain() {
		RouterMembership membership = membership(Optional.of(SELF));
		membership.listAndRegister(false);
		this.store.objects.clear();
		assertThat(membership.listAndRegister(true)).isTrue();
		assertThat(this.store.objects).containsKey("router/router-1");
	}

	/**
	 * Pattern: a daemon that was just added sends a message. Fails if its entry is looked
	 * for in a list that may be too old to contain it, or if each message brings about a
	 * list.
	 */
	@Test
	void refreshReadsListThatIsNotStale() {
		RouterMembership membership = membership(Optional.of(SELF));
		for (int i = 0; i < 3; i++) {
			membership.listAndUpdate();
			membership.prepareNextList();
		}
		assertThat(this.store.staleLists).isEqualTo(1);
		membership.refresh();
		assertThat(membership.prepareNextList()).isTrue();
		membership.listAndUpdate();
		assertThat(this.store.staleLists).isEqualTo(2);
		this.nowNanos += RouterMembership.MIN_REFRESH_PERIOD.toNanos();
		membership.refresh();
		assertThat(membership.prepareNextList()).isTrue();
		membership.listAndUpdate();
		assertThat(this.store.staleLists).isEqualTo(2);
		membership.listAndUpdate();
		assertThat(this.store.staleLists).isEqualTo(3);
	}

}
