package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.NotRunException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.UpstreamInstance;
import org.mulberrycross.engine.AcceleratorKind;
import org.mulberrycross.engine.EngineInstance;
import org.mulberrycross.engine.EngineProfile;
import org.mulberrycross.engine.LayerRange;
import org.mulberrycross.engine.LeaseActionExecutor;
import org.mulberrycross.engine.LeaseStore;
import org.mulberrycross.engine.OrderLease;
import org.mulberrycross.engine.OrderLeaseRecord;
import org.mulberrycross.engine.Placement;
import org.mulberrycross.engine.StoredLease;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against lease calls that are charged but cannot succeed. Pattern: engines crash
 * while the store is down for seconds (trouble-3 of the large fleet).
 */
class PlacementRunnerTest {

	private static final long PLANNING_PERIOD_NANOS = Duration.ofMillis(200).toNanos();

	private static final EngineProfile PROFILE = new EngineProfile(10, 100, 1, 1, 100, 100, 100, 1,
			Map.of("kind", new AcceleratorKind("kind", 11_000, 1, 1)));

	private long nowNanos;

	private int leaseCalls;

	private boolean storeAvailable = true;

	private boolean enginesReachable = true;

	private long suspendedMillis;

	private int orders;

	/** Engines of which half of the layers have no holder. */
	private List<EngineInstance> engines = List.of(engine("holder", Optional.of(new LayerRange(0, 5))),
			engine("empty", Optional.empty()));

	private final PlacementRunner runner = runnerWith(new RejectingLeaseStore(), new NoPlacementClient());

	private PlacementRunner runnerWith(LeaseStore store, PlacementClient client) {
		return new PlacementRunner(this::view, new OrderLease("router-1", PlacementRunner.LEASE_DURATION),
				new LeaseActionExecutor(store, PlacementRunner.LEASE_NAME), client, this::readClocks, () -> "token");
	}

	// Returns clocks of which the monotonic one stops while the machine is suspended.
	private ClockReading readClocks() {
		return new ClockReading(this.nowNanos, Duration.ofNanos(this.nowNanos).toMillis() + this.suspendedMillis);
	}

	private PlacementView view() {
		return new PlacementView(Map.of("model", PROFILE), Map.of("model", this.engines), Map.of(), this.storeAvailable,
				this.enginesReachable);
	}

	private static EngineInstance engine(String id, Optional<LayerRange> layers) {
		return new EngineInstance(new UpstreamInstance(id, "model", new Address("10.0.0.1", 80), "dc", false, 134, 1),
				"kind", layers, 1);
	}

	private void planFor(Duration time) throws InterruptedException {
		for (long i = 0; i < time.toNanos() / PLANNING_PERIOD_NANOS; i++) {
			this.runner.planAndOrder();
			this.nowNanos += PLANNING_PERIOD_NANOS;
		}
	}

	/** Fails if the lease is requested in each planning period of a known outage. */
	@Test
	void requestsNoLeaseDuringOutage() throws Exception {
		this.storeAvailable = false;
		planFor(Duration.ofSeconds(8));
		assertThat(this.leaseCalls).isEqualTo(0);
	}

	/**
	 * Fails if a daemon that reaches no engine takes or keeps the placement lease, with
	 * which only it could place layers.
	 */
	@Test
	void requestsNoLeaseWithoutWayToEngines() throws Exception {
		this.enginesReachable = false;
		planFor(Duration.ofSeconds(8));
		assertThat(this.leaseCalls).isEqualTo(0);
	}

	/** Fails if a store that rejects the calls for the lease gets one in each period. */
	@Test
	void waitsAfterFailedLeaseCall() throws Exception {
		planFor(Duration.ofSeconds(8));
		assertThat(this.leaseCalls).isAtLeast(1);
		assertThat(this.leaseCalls).isAtMost(11);
	}

	/**
	 * Pattern: a machine is suspended between the check of the lease and the order. Fails
	 * if the order is sent although another daemon may hold the lease by then.
	 */
	@Test
	void sendsNoOrderAfterSuspensionThatOutlastsLease() throws Exception {
		runnerWith(new GrantingLeaseStore(), new CountingPlacementClient(0)).planAndOrder();
		assertThat(this.orders).isEqualTo(1);
		runnerWith(new GrantingLeaseStore(), new CountingPlacementClient(PlacementRunner.LEASE_DURATION.toMillis() + 1))
			.planAndOrder();
		assertThat(this.orders).isEqualTo(1);
	}

	/**
	 * Pattern: a layer next to those that an engine loads loses its holder. Fails if the
	 * engine, which takes no order while it loads, is ordered to hold that layer too: the
	 * rejection made the planner forget what the engine loads.
	 */
	@Test
	void ordersNothingElseFromEngineThatLoads() throws Exception {
		EngineInstance loading = engine("loading", Optional.empty());
		this.engines = List.of(engine("holder", Optional.of(new LayerRange(0, 5))), loading);
		PlacementRunner placementRunner = runnerWith(new GrantingLeaseStore(), new CountingPlacementClient(0));
		placementRunner.planAndOrder();
		this.engines = List.of(loading);
		for (int i = 0; i < 10; i++) {
			this.nowNanos += PLANNING_PERIOD_NANOS;
			placementRunner.planAndOrder();
		}
		assertThat(this.orders).isEqualTo(1);
	}

	/**
	 * Pattern: an engine loads layers for longer than the lease lasts. Fails if its
	 * daemon gives up the lease meanwhile: the next holder took the engine for empty and
	 * placed the same layers on others. Also fails if the lease is renewed without end.
	 */
	@Test
	void keepsLeaseWhileOrderIsInProgress() throws Exception {
		GrantingLeaseStore store = new GrantingLeaseStore();
		PlacementRunner placementRunner = runnerWith(store, new CountingPlacementClient(0));
		for (Duration time = Duration.ZERO; time.compareTo(Duration.ofSeconds(12)) < 0; time = time
			.plusNanos(PLANNING_PERIOD_NANOS)) {
			placementRunner.planAndOrder();
			this.nowNanos += PLANNING_PERIOD_NANOS;
		}
		assertThat(store.writes).isAtLeast(12_000 / (int) PlacementRunner.LEASE_DURATION.toMillis());
		this.engines = List.of(engine("holder", Optional.of(new LayerRange(0, 5))),
				engine("empty", Optional.of(new LayerRange(5, 10))));
		placementRunner.planAndOrder();
		int writes = store.writes;
		this.nowNanos += PlacementRunner.LEASE_DURATION.toNanos();
		placementRunner.planAndOrder();
		assertThat(store.writes).isEqualTo(writes);
	}

	/**
	 * Pattern: the store comes back from an older copy while a daemon holds the lease.
	 * Fails if an order is sent on the lost lease, or none after its duration.
	 */
	@Test
	void ordersOnlyOnLeaseOfCurrentEra() throws Exception {
		GrantingLeaseStore store = new GrantingLeaseStore();
		PlacementRunner placementRunner = runnerWith(store, new RestoringPlacementClient(store));
		placementRunner.planAndOrder();
		assertThat(this.orders).isEqualTo(0);
		for (int i = 0; i < PlacementRunner.LEASE_DURATION.toNanos() / PLANNING_PERIOD_NANOS; i++) {
			this.nowNanos += PLANNING_PERIOD_NANOS;
			placementRunner.planAndOrder();
		}
		assertThat(this.orders).isEqualTo(0);
		this.nowNanos += 2 * PLANNING_PERIOD_NANOS;
		placementRunner.planAndOrder();
		assertThat(this.orders).isEqualTo(1);
	}

	/**
	 * Pattern: a daemon starts 1 s after the store came back without the record of a
	 * lease. Fails if it orders while the holder of that lease may still do so, or later
	 * than needed.
	 */
	@Test
	void ordersNothingWhileHolderOfLostLeaseMayAct() throws Exception {
		PlacementRunner placementRunner = runnerWith(new GrantingLeaseStore(), new CountingPlacementClient(0));
		this.nowNanos = Duration.ofMinutes(1).toNanos();
		Duration restoredAgo = Duration.ofSeconds(1);
		placementRunner.awaitFormerHolder(restoredAgo);
		long orderableNanos = this.nowNanos + PlacementRunner.LEASE_DURATION.minus(restoredAgo).toNanos();
		while (this.nowNanos < orderableNanos) {
			placementRunner.planAndOrder();
			this.nowNanos += PLANNING_PERIOD_NANOS;
		}
		assertThat(this.orders).isEqualTo(0);
		this.nowNanos += PLANNING_PERIOD_NANOS;
		placementRunner.planAndOrder();
		assertThat(this.orders).isEqualTo(1);
	}

	/** Grants each lease. */
	private static final class GrantingLeaseStore implements LeaseStore {

		private int writes;

		private long era = 1;

		@Override
		public OptionalLong era() {
			return OptionalLong.of(this.era);
		}

		@Override
		public Optional<StoredLease> read(String name) {
			return Optional.empty();
		}

		@Override
		public OptionalLong write(String name, OrderLeaseRecord lease, long expectedVersion) {
			this.writes++;
			return OptionalLong.of(expectedVersion + 1);
		}

	}

	/** Suspends the machine while an order is prepared, and counts the orders sent. */
	private final class CountingPlacementClient implements PlacementClient {

		private final long suspensionMillis;

		private CountingPlacementClient(long suspensionMillis) {
			this.suspensionMillis = suspensionMillis;
		}

		@Override
		public OptionalLong acceptedOrderCount(EngineInstance engine, Duration timeout) {
			PlacementRunnerTest.this.suspendedMillis += this.suspensionMillis;
			return OptionalLong.of(0);
		}

		@Override
		public PlacementReply sendOrder(Placement placement, long expectedOrders, long fencing, Duration timeout) {
			PlacementRunnerTest.this.orders++;
			return PlacementReply.ACCEPTED;
		}

	}

	/** Restores the store from a copy while the first order is prepared. */
	private final class RestoringPlacementClient implements PlacementClient {

		private final GrantingLeaseStore store;

		private RestoringPlacementClient(GrantingLeaseStore store) {
			this.store = store;
		}

		@Override
		public OptionalLong acceptedOrderCount(EngineInstance engine, Duration timeout) {
			this.store.era = 2;
			return OptionalLong.of(0);
		}

		@Override
		public PlacementReply sendOrder(Placement placement, long expectedOrders, long fencing, Duration timeout) {
			PlacementRunnerTest.this.orders++;
			return PlacementReply.ACCEPTED;
		}

	}

	/** Counts and rejects all calls. */
	private final class RejectingLeaseStore implements LeaseStore {

		@Override
		public Optional<StoredLease> read(String name) throws PeerException {
			PlacementRunnerTest.this.leaseCalls++;
			throw new NotRunException(Step.READ_OBJECT, new Peer(Peer.Kind.PLATFORM, "store"), "store is busy");
		}

		@Override
		public OptionalLong write(String name, OrderLeaseRecord lease, long expectedVersion) throws PeerException {
			PlacementRunnerTest.this.leaseCalls++;
			throw new NotRunException(Step.WRITE_OBJECT, new Peer(Peer.Kind.PLATFORM, "store"), "store is busy");
		}

	}

	/** Fails the test if an order is sent without a lease. */
	private static final class NoPlacementClient implements PlacementClient {

		@Override
		public OptionalLong acceptedOrderCount(EngineInstance engine, Duration timeout) {
			throw new AssertionError("order prepared without a lease");
		}

		@Override
		public PlacementReply sendOrder(Placement placement, long expectedOrders, long fencing, Duration timeout) {
			throw new AssertionError("order sent without a lease");
		}

	}

}
