package org.mulberrycross.sibling;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a hub that is dead, replaced or never agreed on.
 */
class SiblingDirectoryTest {

	private static final int DAEMONS = 8;

	private final List<Sibling> listed = IntStream.range(0, DAEMONS).mapToObj(SiblingDirectoryTest::sibling).toList();

	private final SiblingDirectory directory = new SiblingDirectory(sibling(0), DAEMONS);

	private static Sibling sibling(int index) {
		return new Sibling("router-" + index, new Address("10.0.0." + (index + 1), 7000), "dc-" + (index % 2), 1);
	}

	private Optional<Address> hubOf(int index, long nowNanos) {
		SiblingDirectory other = new SiblingDirectory(sibling(index), DAEMONS);
		other.update(this.listed, DAEMONS);
		return other.address(nowNanos);
	}

	@BeforeEach
	void list() {
		this.directory.update(this.listed, DAEMONS);
	}

	@Test
	void daemonsOfDataCentreChooseTheSameHub() {
		List<Optional<Address>> hubs = IntStream.of(0, 2, 4, 6).mapToObj((index) -> hubOf(index, 0)).toList();
		assertThat(hubs.stream().filter(Optional::isEmpty)).hasSize(1);
		assertThat(hubs.stream().flatMap(Optional::stream).distinct()).hasSize(1);
		assertThat(this.directory.otherDataCentres()).containsExactly("dc-1");
	}

	@Test
	void failedHubIsAvoidedForGrowingTimes() {
		Address first = this.directory.hub("dc-1", 0).orElseThrow();
		this.directory.recordFailure(first, 0);
		long afterFirst = SiblingDirectory.FIRST_SUSPICION.toNanos();
		assertThat(this.directory.hub("dc-1", afterFirst - 1)).isNotEqualTo(Optional.of(first));
		assertThat(this.directory.hub("dc-1", afterFirst)).hasValue(first);
		this.directory.recordFailure(first, afterFirst);
		assertThat(this.directory.hub("dc-1", 2 * afterFirst)).isNotEqualTo(Optional.of(first));
		this.directory.recordSuccess(first);
		this.directory.recordFailure(first, 4 * afterFirst);
		assertThat(this.directory.hub("dc-1", 5 * afterFirst)).hasValue(first);
	}

	@Test
	void daemonIsItsOwnHubWhenAllOthersFailed() {
		for (Optional<Address> hub = this.directory.address(0); hub.isPresent(); hub = this.directory.address(0)) {
			this.directory.recordFailure(hub.get(), 0);
		}
		this.listed.stream()
			.filter((sibling) -> sibling.dataCentre().equals("dc-1"))
			.forEach((sibling) -> this.directory.recordFailure(sibling.address(), 0));
		assertThat(this.directory.hub("dc-1", Duration.ofSeconds(1).toNanos())).isEmpty();
	}

	@Test
	void smallFleetSendsNothing() {
		this.directory.update(this.listed, DAEMONS - 1);
		assertThat(this.directory.isEnabled()).isFalse();
		assertThat(this.directory.hub("dc-1", 0)).isEmpty();
	}

}
