package org.mulberrycross.router.relay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;

import com.codahale.metrics.MetricRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.ControlThread;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.caller.CallerLimits;
import org.mulberrycross.engine.CrashEvent;
import org.mulberrycross.engine.LeaseActionExecutor;
import org.mulberrycross.engine.OrderLease;
import org.mulberrycross.http.HeaderField;
import org.mulberrycross.http.Headers;
import org.mulberrycross.http.RelayClient;
import org.mulberrycross.http.RelayRequest;
import org.mulberrycross.http.RelayServer;
import org.mulberrycross.http.ResponseHead;
import org.mulberrycross.http.ResponseWriter;
import org.mulberrycross.platform.ObjectChange;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.router.ObjectLeaseStore;
import org.mulberrycross.sibling.Sibling;
import org.mulberrycross.sibling.http.SiblingServer;

/**
 * A daemon that relays requests from clients to the upstreams of a platform. Thread-safe.
 */
public final class Gateway implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(Gateway.class);

	/**
	 * Maximum number of requests queued for the control thread; corresponds to one second
	 * of a daemon's peak traffic.
	 */
	private static final int MAX_QUEUED_REQUESTS = 2048;

	/** Period of closing idle connections and of updating the view for placement. */
	private static final Duration HOUSEKEEPING_PERIOD = Duration.ofMillis(200);

	/** Timeout of clients until a configuration names theirs. */
	private static final Duration UNCONFIGURED_IDLE_TIMEOUT = Duration.ofSeconds(60);

	/** Maximum time that a readiness check takes to arrive. */
	private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(5);

	/** Longer than the period of readiness checks and of reads of the metrics. */
	private static final Duration PROBE_IDLE_TIMEOUT = Duration.ofSeconds(60);

	private static final int LEASE_TOKEN_BYTES = 8;

	private final RelaySettings settings;

	private final MonotonicClock clock = MonotonicClock.system();

	private final ControlThread controlThread = new ControlThread("control", MAX_QUEUED_REQUESTS);

	private final MetricRegistry metrics = new MetricRegistry();

	private final RelayClient client;

	private final EngineProber engineProber;

	private final RelayControl relayControl;

	private final RelayServer callerServer;

	private final RelayServer readinessServer;

	private final SettingsReloader settingsReloader;

	private final KindWatcher configurationWatcher;

	private final KindWatcher upstreamWatcher;

	private final CrashEventSharing crashEventSharing;

	private final KindWatcher crashEventWatcher;

	/** Empty if the settings contain no address for messages between daemons. */
	private final Optional<SiblingNetwork> siblingNetwork;

	/** Empty if the daemons do not tell each other what they have running. */
	private final Optional<LoadExchange> loadExchange;

	private final ConfigurationSync configurationSync;

	private final RouterMembership routerMembership;

	private final PlacementRunner placementRunner;

	private final AtomicReference<PlacementView> placementView = new AtomicReference<>(
			new PlacementView(Map.of(), Map.of(), Map.of(), true, true));

	private volatile PropagationLimits propagationLimits;

	private volatile int daemonCount = RelayControl.DEFAULT_DAEMON_COUNT;

	private final CountDownLatch closeLatch = new CountDownLatch(1);

	/**
	 * Creates a daemon that does not listen yet.
	 * @param settings the settings, not null
	 * @param source reads the settings again when they may have changed, not null
	 * @param adapter the parts that depend on the platform, not null
	 * @throws IOException if the network cannot be used
	 */
	public Gateway(RelaySettings settings, SettingsSource source, PlatformAdapter adapter) throws IOException {
		this.settings = Objects.requireNonNull(settings, "settings");
		SecureRandom secureRandom = new SecureRandom();
		this.client = new RelayClient();
		this.engineProber = new EngineProber(adapter.engineReporter());
		this.crashEventSharing = new CrashEventSharing(adapter.store(), this.controlThread, this::applyCrashEvents,
				new SplittableRandom(secureRandom.nextLong()));
		RelayMetrics relayMetrics = new RelayMetrics(this.metrics);
		this.relayControl = new RelayControl(this.controlThread, this.clock,
				new SplittableRandom(secureRandom.nextLong()), settings, adapter.messageFormat(), this.client,
				this.engineProber, this.crashEventSharing, relayMetrics);
		this.callerServer = new RelayServer(settings.callerAddress(), this.relayControl::acceptRequest);
		this.readinessServer = new RelayServer(settings.readinessAddress(), this::handleProbe);
		this.propagationLimits = settings.propagationLimits();
		this.settingsReloader = new SettingsReloader(source, settings, this::reload);
		this.siblingNetwork = SiblingNetwork.create(settings, System.currentTimeMillis());
		StoreSharing storeSharing = new StoreSharing(
				this.siblingNetwork.filter((network) -> settings.features().siblings().shareChanges()), this.metrics,
				this.clock);
		ChangeSharing configurationSharing = storeSharing.share(adapter.configurationKind());
		this.configurationWatcher = new KindWatcher(adapter.store(), adapter.configurationKind(),
				new ConfigurationListener(adapter.configurationKind(), adapter.configurationDecoder()),
				configurationSharing,
				() -> configurationSharing.adapt(WatchTiming.ofConfiguration(this.propagationLimits,
						configurationSharing.callerCount(this.daemonCount))),
				KindWatcher.NO_RECOVERY_WAIT, this.clock, new SplittableRandom(secureRandom.nextLong()));
		ChangeSharing upstreamSharing = storeSharing.share(adapter.upstreamKind());
		this.upstreamWatcher = new KindWatcher(adapter.store(), adapter.upstreamKind(),
				new UpstreamListener(adapter.upstreamKind(), adapter.upstreamDecoder()), upstreamSharing,
				() -> upstreamSharing.adapt(
						WatchTiming.ofUpstreams(this.propagationLimits, upstreamSharing.callerCount(this.daemonCount))),
				this.configurationWatcher::awaitStoreAvailable, this.clock,
				new SplittableRandom(secureRandom.nextLong()));
		ChangeSharing eventSharing = storeSharing.share(CrashEventSharing.KIND);
		this.crashEventWatcher = new KindWatcher(adapter.store(), CrashEventSharing.KIND, this.crashEventSharing,
				eventSharing, () -> eventSharing.adapt(WatchTiming.ofCrashEvents(this.propagationLimits)),
				this.configurationWatcher::awaitStoreAvailable, this.clock,
				new SplittableRandom(secureRandom.nextLong()));
		storeSharing.serve();
		this.siblingNetwork
			.ifPresent((network) -> network.shareLimits(this.controlThread, this.relayControl.limits(), this.clock));
		this.siblingNetwork.ifPresent((network) -> network.relayRequests(this.controlThread, this.relayControl));
		this.loadExchange = this.siblingNetwork.filter((network) -> settings.features().siblings().shareLoad())
			.map((network) -> network.createLoadExchange(this.controlThread, this.relayControl, relayMetrics,
					this.clock));
		this.routerMembership = new RouterMembership(adapter.store(), settings.name(),
				this.siblingNetwork.map(SiblingNetwork::self), this::updateDaemons, this.clock);
		this.configurationSync = new ConfigurationSync(this.relayControl::apply, this::handleSiblingRestoration,
				() -> adapter.store().era().isPresent(),
				this.siblingNetwork
					.map((network) -> network.queryConfigurations(this.controlThread, adapter.configurationDecoder())),
				this.clock, new SplittableRandom(secureRandom.nextLong()));
		this.siblingNetwork.ifPresent((network) -> network.answerConfigurationQueries(
				(version, onReply) -> this.controlThread
					.post(() -> onReply.accept(this.configurationSync.answer(version))),
				(sender) -> this.routerMembership.refresh()));
		this.placementRunner = new PlacementRunner(this.placementView::get,
				new OrderLease(settings.name(), PlacementRunner.LEASE_DURATION),
				new LeaseActionExecutor(new ObjectLeaseStore(adapter.store()), PlacementRunner.LEASE_NAME),
				adapter.placementClient(), () -> ClockReading.now(this.clock), () -> newLeaseToken(secureRandom));
	}

	private void reload(RelaySettings changed) {
		this.propagationLimits = changed.propagationLimits();
		this.relayControl.reload(changed);
	}

	private void applyCrashEvents(List<CrashEvent> events) {
		this.relayControl.applyCrashEvents(events);
	}

	private void updateDaemons(int count, List<Sibling> siblings) {
		this.daemonCount = Math.max(1, count);
		this.siblingNetwork.ifPresent((network) -> network.update(count, siblings));
		List<Sibling> others = siblings.stream()
			.filter((sibling) -> !sibling.name().equals(this.settings.name()))
			.toList();
		this.controlThread.post(() -> {
			this.relayControl.updateDaemonCount(count);
			this.configurationSync.updateSiblings(others);
		});
	}

	// The holder of a lease whose record was lost with the store may still act on it.
	private void handleSiblingRestoration(Duration ago) {
		if (ago.compareTo(PlacementRunner.LEASE_DURATION) < 0) {
			this.placementRunner.awaitFormerHolder(ago);
		}
	}

	private static String newLeaseToken(SecureRandom random) {
		byte[] bytes = new byte[LEASE_TOKEN_BYTES];
		random.nextBytes(bytes);
		return HexFormat.of().formatHex(bytes);
	}

	/**
	 * Binds the addresses and starts all threads.
	 * @throws IOException if an address cannot be bound
	 */
	public void start() throws IOException {
		this.readinessServer.start();
		this.callerServer.start();
		if (this.siblingNetwork.isPresent()) {
			this.siblingNetwork.get().start();
		}
		this.loadExchange.ifPresent(LoadExchange::start);
		this.settingsReloader.start();
		this.configurationWatcher.start();
		this.upstreamWatcher.start();
		this.crashEventSharing.start();
		this.crashEventWatcher.start();
		this.routerMembership.start();
		this.placementRunner.start();
		this.controlThread.scheduleWithFixedDelay(RelayControl.CHECK_PERIOD, this.relayControl::runPeriodicChecks);
		this.controlThread.scheduleWithFixedDelay(RelayControl.CHECK_PERIOD, this.configurationSync::check);
		this.controlThread.scheduleWithFixedDelay(HOUSEKEEPING_PERIOD, this::runHousekeeping);
		logger.atInfo()
			.addKeyValue("instance", this.settings.name())
			.addKeyValue("data_centre", this.settings.dataCentre())
			.addKeyValue("callers", this.settings.callerAddress())
			.addKeyValue("platform", this.settings.platformAddress())
			.log("daemon started");
	}

	private void runHousekeeping() {
		this.siblingNetwork.ifPresent((network) -> network.server().closeTimedOutConnections());
		this.readinessServer.closeTimedOutConnections(PROBE_TIMEOUT, PROBE_IDLE_TIMEOUT);
		this.placementView.set(this.relayControl.placementView());
		Optional<CallerLimits> limits = this.relayControl.configuration().map(ServingConfiguration::limits);
		this.callerServer.closeTimedOutConnections(
				limits.map(CallerLimits::requestTimeout).orElse(UNCONFIGURED_IDLE_TIMEOUT),
				limits.map(CallerLimits::idleTimeout).orElse(UNCONFIGURED_IDLE_TIMEOUT));
	}

	private void handleProbe(RelayRequest request, ResponseWriter response) {
		boolean isMetricsRequest = request.path().equals("/metrics");
		int status = (isMetricsRequest || this.relayControl.isReady()) ? 200 : 503;
		byte[] body = (isMetricsRequest ? MetricsText.format(this.metrics) : "").getBytes(StandardCharsets.UTF_8);
		response.setHead(new ResponseHead(status,
				Headers.of(List.of(new HeaderField("Content-Type", "text/plain; charset=utf-8"))),
				OptionalLong.of(body.length)));
		response.write(body);
		response.end();
	}

	/**
	 * Shuts down gracefully: reports not ready to the load balancer, goes on serving open
	 * connections, and returns when no request is in flight or the grace period is over.
	 */
	public void shutDown() {
		this.placementRunner.close();
		try {
			new GracefulShutdown(new GracefulShutdown.Requests(this::unansweredCount, this.relayControl::startDraining,
					this.relayControl::failInFlight), this.callerServer, this.clock)
				.run(this.settings.shutdownGrace());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		close();
	}

	// Returns the number of requests in flight, and one more while the end of a response
	// to a sibling is not sent yet.
	private int unansweredCount() {
		boolean answersSibling = this.siblingNetwork.map(SiblingNetwork::server)
			.filter(SiblingServer::isAnswering)
			.isPresent();
		return this.relayControl.inFlightCount() + (answersSibling ? 1 : 0);
	}

	/**
	 * Waits until the daemon is closed.
	 * @throws InterruptedException if the thread is interrupted while it waits
	 */
	public void awaitClose() throws InterruptedException {
		this.closeLatch.await();
	}

	@Override
	public void close() {
		this.settingsReloader.close();
		this.configurationWatcher.close();
		this.upstreamWatcher.close();
		this.crashEventWatcher.close();
		this.crashEventSharing.close();
		this.routerMembership.close();
		this.placementRunner.close();
		this.loadExchange.ifPresent(LoadExchange::close);
		this.siblingNetwork.ifPresent(SiblingNetwork::close);
		this.callerServer.close();
		this.readinessServer.close();
		this.engineProber.close();
		this.client.close();
		this.controlThread.close();
		this.closeLatch.countDown();
	}

	/**
	 * Notifies the upstream directory when the store becomes unavailable or available.
	 */
	private abstract class OutageListener implements KindListener {

		private final String kind;

		private OutageListener(String kind) {
			this.kind = kind;
		}

		@Override
		public void onStoreUnavailable() {
			Gateway.this.controlThread
				.post(() -> Gateway.this.relayControl.directory().markStoreUnavailable(this.kind));
		}

		@Override
		public void onStoreAvailable() {
			Gateway.this.controlThread.post(() -> Gateway.this.relayControl.directory()
				.markStoreAvailable(this.kind, Gateway.this.clock.nanos()));
		}

		@Override
		public void onConnectionReplaced() {
			Gateway.this.controlThread
				.post(() -> Gateway.this.relayControl.directory().markConnectionReplaced(this.kind));
		}

	}

	/** Posts versions of the configuration to the control thread. */
	private final class ConfigurationListener extends OutageListener {

		private final ObjectDecoder<ServingConfiguration> decoder;

		private ConfigurationListener(String kind, ObjectDecoder<ServingConfiguration> decoder) {
			super(kind);
			this.decoder = decoder;
		}

		@Override
		public void onStoreRestored() {
			// The version in force stays until the operator has written it again.
			Gateway.this.routerMembership.registerAgain();
			Gateway.this.controlThread.post(Gateway.this.configurationSync::recordRestoration);
		}

		@Override
		public void onListed(List<StoredObject> objects, ClockReading asOf) {
			applyVersions(objects, asOf);
		}

		@Override
		public void onChanged(List<ObjectChange> changes, ClockReading asOf) {
			applyVersions(changes.stream().flatMap((change) -> change.object().stream()).toList(), asOf);
		}

		private void applyVersions(List<StoredObject> objects, ClockReading asOf) {
			List<KnownConfiguration> versions = objects.stream()
				.flatMap((object) -> KnownConfiguration.decode(object, this.decoder).stream())
				.toList();
			Gateway.this.controlThread.post(() -> {
				Gateway.this.configurationSync.update(versions);
				Gateway.this.relayControl.confirmConfiguration(asOf);
			});
		}

	}

	/** Posts changes of the list of upstreams to the control thread. */
	private final class UpstreamListener extends OutageListener {

		private final ObjectDecoder<DirectoryEntry> decoder;

		private UpstreamListener(String kind, ObjectDecoder<DirectoryEntry> decoder) {
			super(kind);
			this.decoder = decoder;
		}

		@Override
		public void onStoreRestored() {
			Gateway.this.controlThread
				.post(() -> Gateway.this.relayControl.directory().markStoreRestored(Gateway.this.clock.nanos()));
		}

		@Override
		public void onListed(List<StoredObject> objects, ClockReading asOf) {
			List<DirectoryEntry> entries = objects.stream()
				.flatMap((object) -> this.decoder.decode(object).stream())
				.toList();
			Gateway.this.controlThread.post(() -> {
				Gateway.this.relayControl.directory().replaceAll(entries, Gateway.this.clock.nanos());
				Gateway.this.relayControl.markDirectoryListed();
			});
		}

		@Override
		public void onChanged(List<ObjectChange> changes, ClockReading asOf) {
			if (changes.isEmpty()) {
				return;
			}
			Map<String, Optional<DirectoryEntry>> latest = new HashMap<>();
			changes.forEach((change) -> latest.put(change.key().substring(change.key().indexOf('/') + 1),
					change.object().flatMap(this.decoder::decode)));
			Gateway.this.controlThread.post(() -> latest
				.forEach((id, entry) -> entry.ifPresentOrElse(Gateway.this.relayControl.directory()::put,
						() -> Gateway.this.relayControl.directory().remove(id, Gateway.this.clock.nanos()))));
		}

	}

}
