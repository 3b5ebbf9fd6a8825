package org.mulberrycross.platform.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.NotRunException;
import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.PeerException;
import org.mulberrycross.StorePosition;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpListener;
import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.ObjectStoreContractTest;
import org.mulberrycross.standins.platform.FaultSwitches;
import org.mulberrycross.standins.platform.ObjectHandler;
import org.mulberrycross.standins.platform.ObjectTable;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Runs the contract tests of object stores on the HTTP client with the platform stand-in,
 * and tests the exceptions on an outage, a slow store and a lost response.
 */
class HttpObjectStoreTest extends ObjectStoreContractTest {

	private static final byte[] VALUE = "{}".getBytes(StandardCharsets.UTF_8);

	private final FaultSwitches faultSwitches = new FaultSwitches();

	private final HttpListener listener = new HttpListener("127.0.0.1", 0, 4);

	private HttpClient client;

	private ObjectStore store;

	@BeforeEach
	void start() throws IOException {
		this.listener.route(new ObjectHandler(new ObjectTable(), this.faultSwitches), "/objects", "/objects/*");
		this.listener.start();
		this.client = new HttpClient(1);
		this.store = store(Duration.ofSeconds(10));
	}

	private ObjectStore store(Duration timeout) {
		return new HttpObjectStore(this.client, new Address("127.0.0.1", this.listener.port()), timeout);
	}

	@AfterEach
	void stop() {
		this.client.close();
		this.listener.close();
	}

	@Override
	protected ObjectStore store() {
		return this.store;
	}

	/** Fails if a write during an outage is reported as possibly executed. */
	@Test
	void outageMeansNotRun() throws PeerException {
		this.faultSwitches.set(new FaultSwitches.Settings(true, 0, 0, 1));
		assertThrows(NotRunException.class, () -> this.store.create("team/a", VALUE));
		this.faultSwitches.set(new FaultSwitches.Settings(false, 0, 0, 1));
		assertThat(this.store.read("team/a").isPresent()).isFalse();
	}

	/**
	 * Fails if a write whose response is lost is reported as not run or as successful.
	 */
	@Test
	void lostResponseMeansOutcomeUnknown() throws PeerException {
		this.faultSwitches.set(new FaultSwitches.Settings(false, 0, 1000, 1));
		assertThrows(OutcomeUnknownException.class, () -> this.store.create("team/a", VALUE));
		assertThat(this.store.read("team/a").isPresent()).isTrue();
	}

	/** Fails if a slow object API blocks its callers beyond the timeout. */
	@Test
	void slowStoreMeansOutcomeUnknown() {
		this.faultSwitches.set(new FaultSwitches.Settings(false, 2000, 0, 1));
		assertThrows(OutcomeUnknownException.class, () -> store(Duration.ofMillis(50)).create("team/a", VALUE));
	}

	/** Fails if a call is not counted, or a waiting watch is counted more than once. */
	@Test
	void countsCalls() throws PeerException {
		long version = this.store.create("team/a", VALUE).orElseThrow();
		this.store.watch(Set.of("team"), StorePosition.of(version), Duration.ofMillis(30));
		this.store.delete("team/a", version);
		assertThat(this.faultSwitches.callCounts()).containsExactly("CREATE", 1L, "WATCH", 1L, "DELETE", 1L);
	}

}
