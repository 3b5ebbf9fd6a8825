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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import com.codahale.metrics.MetricRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.ControlThread;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.caller.CallerLimits;
import org.mulberrycross.engine.LeaseWriter;
import org.mulberrycross.engine.OrderLease;
import org.mulberrycross.http.HeaderField;
import org.mulberrycross.http.Headers;
import org.mulberrycross.http.MessageHead;
import org.mulberrycross.http.RelayClient;
import org.mulberrycross.http.RelayRequest;
import org.mulberrycross.http.RelayServer;
import org.mulberrycross.http.ResponseWriter;
import org.mulberrycross.platform.ObjectChange;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.router.ObjectLeaseStore;

/**
 * A daemon that relays requests on a platform. Thread-safe.
 */
public final class Gateway implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(Gateway.class);

	/**
	 * Requests that may wait for a decision; a second of the peak traffic of a daemon.
	 */
	private static final int MAX_UNDECIDED = 2048;

	/** Period of the check for idle connections and of the view for placement. */
	private static final Duration HOUSEKEEPING = Duration.ofMillis(200);

	/**
	 * Time after which idle connections are closed, no new ones are accepted and requests
	 * on open ones are refused, so that the last requests have most of the grace to end.
	 */
	private static final Duration ACCEPT_TIME = Duration.ofMillis(3000);

	/** Time kept at the end of the grace for ending the process. */
	private static final Duration EXIT_MARGIN = Duration.ofMillis(600);

	private static final Duration DRAIN_CHECK = Duration.ofMillis(50);

	private static final int LEASE_TOKEN_BYTES = 8;

	private final RelaySettings settings;

	private final MonotonicClock clock = MonotonicClock.system();

	private final ControlThread control = new ControlThread("control", MAX_UNDECIDED);

	private final MetricRegistry metrics = new MetricRegistry();

	private final RelayClient client;

	private final StallProbes stallProbes;

	private final RelayControl relay;

	private final RelayServer callers;

	private final RelayServer readiness;

	private final SettingsFollower settingsFollower;

	private final KindFollower configurations;

	private final KindFollower upstreams;

	private final RouterCensus census;

	private final PlacementRunner placement;

	private final AtomicReference<PlacementView> placementView = new AtomicReference<>(
			new PlacementView(Map.of(), Map.of()));

	private final CountDownLatch stopped = new CountDownLatch(1);

	/**
	 * Creates a daemon that does not listen yet.
	 * @param settings the settings, not null
	 * @param source reads the settings again when they may have changed, not null
	 * @param adapter what the platform supplies, not null
	 * @throws IOException if the network cannot be used
	 */
	public Gateway(RelaySettings settings, SettingsSource source, PlatformAdapter adapter) throws IOException {
		this.settings = Objects.requireNonNull(settings, "settings");
		SecureRandom seeds = new SecureRandom();
		this.client = new RelayClient();
		this.stallProbes = new StallProbes(adapter.stalls());
		this.relay = new RelayControl(this.control, this.clock, new SplittableRandom(seeds.nextLong()), settings,
				adapter.messages(), this.client, this.stallProbes, new RelayMetrics(this.metrics));
		this.callers = new RelayServer(settings.callers(), this.relay::arrived);
		this.readiness = new RelayServer(settings.readiness(), this::answerProbe);
		this.settingsFollower = new SettingsFollower(source, settings, this.relay::reload);
		this.configurations = new KindFollower(adapter.store(), adapter.configurationKind(),
				new ConfigurationListener(adapter.configurationKind(), adapter.configuration()),
				WatchPace.CONFIGURATION, this.clock, new SplittableRandom(seeds.nextLong()));
		this.upstreams = new KindFollower(adapter.store(), adapter.upstreamKind(),
				new UpstreamListener(adapter.upstreamKind(), adapter.upstream()), WatchPace.UPSTREAMS, this.clock,
				new SplittableRandom(seeds.nextLong()));
		this.census = new RouterCensus(adapter.store(), settings.name(),
				(count) -> this.control.post(() -> this.relay.daemons(count)));
		this.placement = new PlacementRunner(this.placementView::get,
				new OrderLease(settings.name(), PlacementRunner.LEASE_TIME),
				new LeaseWriter(new ObjectLeaseStore(adapter.store()), PlacementRunner.LEASE_NAME),
				adapter.placements(), this.clock, () -> token(seeds));
	}

	private static String token(SecureRandom random) {
		byte[] bytes = new byte[LEASE_TOKEN_BYTES];
		random.nextBytes(bytes);
		return HexFormat.of().formatHex(bytes);
	}

	/**
	 * Starts to serve.
	 * @throws IOException if an address cannot be bound
	 */
	public void start() throws IOException {
		this.readiness.start();
		this.callers.start();
		this.settingsFollower.start();
		this.configurations.start();
		this.upstreams.start();
		this.census.start();
		this.placement.start();
		this.control.every(RelayControl.TICK, this.relay::tick);
		this.control.every(HOUSEKEEPING, this::housekeeping);
		logger.atInfo()
			.addKeyValue("instance", this.settings.name())
			.addKeyValue("data_centre", this.settings.dataCentre())
			.addKeyValue("callers", this.settings.callers())
			.addKeyValue("platform", this.settings.platform())
			.log("daemon started");
	}

	private void housekeeping() {
		this.placementView.set(this.relay.placementView());
		Optional<CallerLimits> limits = this.relay.configuration().map(ServingConfiguration::limits);
		limits.ifPresent((bound) -> this.callers.closeOverdue(bound.headTimeout(), bound.idleTimeout()));
	}

	private void answerProbe(RelayRequest request, ResponseWriter response) {
		boolean metricsAsked = request.path().equals("/metrics");
		int status = (metricsAsked || this.relay.ready()) ? 200 : 503;
		byte[] body = (metricsAsked ? MetricsText.of(this.metrics) : "").getBytes(StandardCharsets.UTF_8);
		response.start(new MessageHead(status,
				Headers.of(List.of(new HeaderField("Content-Type", "text/plain; charset=utf-8"))),
				OptionalLong.of(body.length)));
		response.write(body);
		response.end();
	}

	/**
	 * Stops without cutting off a request, as far as the grace allows: tells the
	 * balancer, goes on serving open connections, and returns when no request is left.
	 */
	public void shutDown() {
		long begun = this.clock.nanos();
		logger.atInfo().addKeyValue("open", this.relay.open()).log("daemon stops");
		this.relay.stop();
		this.callers.closeAfterResponses();
		this.placement.close();
		long refusing = begun + ACCEPT_TIME.toNanos();
		long last = begun + this.settings.stopGrace().minus(EXIT_MARGIN).toNanos();
		try {
			TimeUnit.NANOSECONDS.sleep(Math.min(refusing, last) - this.clock.nanos());
			this.callers.refuseConnections();
			this.relay.refuse();
			while (this.clock.nanos() < last && this.relay.open() > 0) {
				this.callers.closeIdle();
				TimeUnit.NANOSECONDS.sleep(DRAIN_CHECK.toNanos());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		logger.atInfo().addKeyValue("open", this.relay.open()).log("daemon stopped");
		close();
	}

	/**
	 * Waits until the daemon is closed.
	 * @throws InterruptedException if the thread is interrupted while it waits
	 */
	public void awaitClose() throws InterruptedException {
		this.stopped.await();
	}

	@Override
	public void close() {
		this.settingsFollower.close();
		this.configurations.close();
		this.upstreams.close();
		this.census.close();
		this.placement.close();
		this.callers.close();
		this.readiness.close();
		this.stallProbes.close();
		this.client.close();
		this.control.close();
		this.stopped.countDown();
	}

	/**
	 * Tells the directory of upstreams that the store cannot be reached.
	 */
	private abstract class OutageListener implements KindListener {

		private final String kind;

		private OutageListener(String kind) {
			this.kind = kind;
		}

		@Override
		public void lost() {
			Gateway.this.control.post(() -> Gateway.this.relay.directory().storeLost(this.kind));
		}

		@Override
		public void regained() {
			Gateway.this.control
				.post(() -> Gateway.this.relay.directory().storeRegained(this.kind, Gateway.this.clock.nanos()));
		}

	}

	/**
	 * Hands versions of the configuration to the control thread.
	 */
	private final class ConfigurationListener extends OutageListener {

		private final EntryDecoder<ServingConfiguration> decoder;

		private ConfigurationListener(String kind, EntryDecoder<ServingConfiguration> decoder) {
			super(kind);
			this.decoder = decoder;
		}

		@Override
		public void listed(List<StoredObject> objects, Freshness asOf) {
			take(objects, asOf);
		}

		@Override
		public void changed(List<ObjectChange> changes, Freshness asOf) {
			take(changes.stream().flatMap((change) -> change.object().stream()).toList(), asOf);
		}

		private void take(List<StoredObject> objects, Freshness asOf) {
			List<ServingConfiguration> versions = objects.stream()
				.flatMap((object) -> this.decoder.decode(object).stream())
				.toList();
			Gateway.this.control.post(() -> {
				versions.forEach(Gateway.this.relay::apply);
				Gateway.this.relay.configurationKnown(asOf);
			});
		}

	}

	/**
	 * Hands changes of the list of upstreams to the control thread.
	 */
	private final class UpstreamListener extends OutageListener {

		private final EntryDecoder<DirectoryEntry> decoder;

		private UpstreamListener(String kind, EntryDecoder<DirectoryEntry> decoder) {
			super(kind);
			this.decoder = decoder;
		}

		@Override
		public void listed(List<StoredObject> objects, Freshness asOf) {
			List<DirectoryEntry> entries = objects.stream()
				.flatMap((object) -> this.decoder.decode(object).stream())
				.toList();
			Gateway.this.control.post(() -> {
				Gateway.this.relay.directory().replaceAll(entries, Gateway.this.clock.nanos());
				Gateway.this.relay.directoryListed();
			});
		}

		@Override
		public void changed(List<ObjectChange> changes, Freshness asOf) {
			if (changes.isEmpty()) {
				return;
			}
			Map<String, Optional<DirectoryEntry>> latest = new HashMap<>();
			changes.forEach((change) -> latest.put(change.key().substring(change.key().indexOf('/') + 1),
					change.object().flatMap(this.decoder::decode)));
			Gateway.this.control
				.post(() -> latest.forEach((id, entry) -> entry.ifPresentOrElse(Gateway.this.relay.directory()::put,
						() -> Gateway.this.relay.directory().remove(id, Gateway.this.clock.nanos()))));
		}

	}

}
