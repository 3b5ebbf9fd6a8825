package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.Address;
import org.mulberrycross.ControlThread;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.NotRunException;
import org.mulberrycross.PeerException;
import org.mulberrycross.Supervisor;
import org.mulberrycross.engine.EngineWork;
import org.mulberrycross.sibling.ExchangeBudget;
import org.mulberrycross.sibling.OwnReports;
import org.mulberrycross.sibling.SiblingDirectory;
import org.mulberrycross.sibling.WorkClient;
import org.mulberrycross.sibling.WorkLedger;
import org.mulberrycross.sibling.WorkReport;
import org.mulberrycross.sibling.WorkTotal;

/**
 * Traffic thread that sends the work of this daemon to the hub of its data centre and
 * passes the work of the others on to the control thread. While this daemon is a hub, or
 * others take it for one, it also reads the totals of the other data centres.
 * Thread-safe.
 */
final class LoadExchange implements AutoCloseable {

	/** Maximum duration of one exchange. */
	static final Duration TIMEOUT = Duration.ofMillis(400);

	private static final Logger logger = LoggerFactory.getLogger(LoadExchange.class);

	private static final Duration MIN_PAUSE = Duration.ofMillis(100);

	private final SiblingDirectory directory;

	private final WorkLedger ledger;

	private final WorkClient client;

	private final ControlThread controlThread;

	private final RelayControl relayControl;

	private final RelayMetrics metrics;

	private final MonotonicClock clock;

	private final OwnReports ownReports;

	/** Daemons whose last reply did not arrive in time. */
	private final Set<Address> late = new HashSet<>();

	private final CountDownLatch closed = new CountDownLatch(1);

	private final Thread thread = Supervisor.newThread("load-exchange", this::run);

	private final Supervisor supervisor = new Supervisor("load-exchange");

	/** Whether an unexpected error was logged. Confined to the thread of the exchange. */
	private boolean failed;

	/** Whether figures of others are in use. Confined to the control thread. */
	private boolean covered;

	LoadExchange(SiblingDirectory directory, WorkLedger ledger, WorkClient client, ControlThread controlThread,
			RelayControl relayControl, RelayMetrics metrics, MonotonicClock clock) {
		this.directory = Objects.requireNonNull(directory, "directory");
		this.ledger = Objects.requireNonNull(ledger, "ledger");
		this.client = Objects.requireNonNull(client, "client");
		this.controlThread = Objects.requireNonNull(controlThread, "controlThread");
		this.relayControl = Objects.requireNonNull(relayControl, "relayControl");
		this.metrics = Objects.requireNonNull(metrics, "metrics");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.ownReports = new OwnReports(directory.self());
	}

	void start() {
		this.thread.start();
	}

	private void run() {
		try {
			Duration pause = ExchangeBudget.MIN_PERIOD;
			while (!this.closed.await(pause.toNanos(), TimeUnit.NANOSECONDS)) {
				long startNanos = this.clock.nanos();
				Duration period = this.directory.isEnabled() ? tryExchange() : ExchangeBudget.MIN_PERIOD;
				long restNanos = period.toNanos() - (this.clock.nanos() - startNanos);
				pause = Duration.ofNanos(Math.max(MIN_PAUSE.toNanos(), restNanos));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// The thread must outlive an unexpected error. An error while closing is none.
	private Duration tryExchange() throws InterruptedException {
		try {
			return exchange();
		}
		catch (RuntimeException ex) {
			if (this.closed.getCount() > 0 && !this.failed) {
				this.failed = true;
				logger.error("load exchange failed, further errors of this kind are not logged", ex);
			}
			return ExchangeBudget.MAX_PERIOD;
		}
		catch (Error ex) {
			this.supervisor.recordError(ex);
			return ExchangeBudget.MAX_PERIOD;
		}
	}

	// Returns the time after which the next exchange is due.
	private Duration exchange() throws InterruptedException {
		Optional<Map<String, EngineWork>> work = ownWork();
		if (work.isEmpty()) {
			return ExchangeBudget.MIN_PERIOD;
		}
		WorkReport report = this.ownReports.next(FleetLoad.toReport(work.get()));
		long nowNanos = this.clock.nanos();
		this.ledger.record(report, nowNanos);
		Optional<Address> hub = this.directory.address(nowNanos);
		Optional<WorkTotal> others = hub.flatMap((address) -> report(address, report));
		if (hub.isEmpty() || this.ledger.reportCount(nowNanos) > 1) {
			readTotals();
		}
		if (hub.isEmpty()) {
			WorkLedger.Summed summed = this.ledger.fleet(this.clock.nanos());
			OptionalLong sequence = summed.sequence(report.sender(), report.incarnation());
			others = this.ownReports.others(new WorkClient.Reply(summed.total(), sequence));
		}
		others.ifPresent((total) -> this.controlThread
			.post(() -> this.relayControl.fleetLoad().update(total, this.clock.nanos())));
		return others.map(WorkTotal::period).orElse(ExchangeBudget.MIN_PERIOD);
	}

	// Returns the work of this daemon, or empty if the control thread does not reply in
	// time, since figures from before a pause must not be sent as current.
	private Optional<Map<String, EngineWork>> ownWork() throws InterruptedException {
		CompletableFuture<Map<String, EngineWork>> work = new CompletableFuture<>();
		this.controlThread.post(() -> {
			work.complete(this.relayControl.ownWork());
			updateCoverage();
		});
		try {
			return Optional.of(work.get(TIMEOUT.toNanos(), TimeUnit.NANOSECONDS));
		}
		catch (TimeoutException | ExecutionException ex) {
			return Optional.empty();
		}
	}

	private void updateCoverage() {
		long nowNanos = this.clock.nanos();
		FleetLoad load = this.relayControl.fleetLoad();
		int daemons = load.coveredDaemons(nowNanos);
		Duration age = load.age(nowNanos).orElse(Duration.ZERO);
		this.metrics.updateFleetLoad(daemons, age);
		if (this.covered != daemons > 1) {
			this.covered = daemons > 1;
			logger.atInfo()
				.addKeyValue("daemons", daemons)
				.addKeyValue("age_ms", age.toMillis())
				.log(this.covered ? "using the load reported by other daemons"
						: "no load of other daemons is known, estimating it from the own load");
		}
	}

	private Optional<WorkTotal> report(Address hub, WorkReport report) {
		try {
			Optional<WorkClient.Reply> reply = this.client.report(hub, report);
			recordReply(hub);
			return reply.flatMap(this.ownReports::others);
		}
		catch (PeerException ex) {
			recordFailure(hub, ex);
			return Optional.empty();
		}
	}

	// Stops after a timeout, so that silent data centres do not delay the next report.
	private void readTotals() {
		long startNanos = this.clock.nanos();
		for (String dataCentre : this.directory.otherDataCentres()) {
			Optional<Address> hub = this.directory.hub(dataCentre, this.clock.nanos());
			if (hub.isPresent() && this.clock.nanos() - startNanos < TIMEOUT.toNanos()) {
				readTotal(dataCentre, hub.get());
			}
		}
	}

	private void readTotal(String dataCentre, Address hub) {
		try {
			Optional<WorkTotal> total = this.client.total(hub, this.directory.self().name());
			recordReply(hub);
			total.ifPresent((sums) -> this.ledger.recordTotal(dataCentre, sums, this.clock.nanos()));
		}
		catch (PeerException ex) {
			recordFailure(hub, ex);
		}
	}

	private void recordReply(Address hub) {
		this.late.remove(hub);
		this.directory.recordSuccess(hub);
	}

	// One reply may be lost or late; a daemon without a connection is avoided at once.
	private void recordFailure(Address hub, PeerException cause) {
		if (!(cause instanceof NotRunException) && this.late.add(hub)) {
			return;
		}
		this.late.remove(hub);
		this.directory.recordFailure(hub, this.clock.nanos());
		logger.atInfo()
			.addKeyValue("hub", hub)
			.addKeyValue("cause", cause.toString())
			.log("load not exchanged, choosing another hub");
	}

	@Override
	public void close() {
		this.closed.countDown();
		this.thread.interrupt();
	}

}
