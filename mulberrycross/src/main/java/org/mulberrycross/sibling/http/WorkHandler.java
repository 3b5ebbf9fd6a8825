package org.mulberrycross.sibling.http;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.PeerException;
import org.mulberrycross.http.HeaderField;
import org.mulberrycross.http.Headers;
import org.mulberrycross.http.RelayRequest;
import org.mulberrycross.http.ResponseHead;
import org.mulberrycross.http.ResponseWriter;
import org.mulberrycross.sibling.ExchangeBudget;
import org.mulberrycross.sibling.Sibling;
import org.mulberrycross.sibling.SiblingDirectory;
import org.mulberrycross.sibling.WorkLedger;
import org.mulberrycross.sibling.WorkReport;

/**
 * Receives the reports of the daemons of this data centre and replies with sums. The
 * reply is encoded once for all daemons that ask within a short time; the number of the
 * report of the sender that it contains is in a header. Thread-safe.
 */
public final class WorkHandler {

	/** Path of reports. */
	public static final String REPORT_PATH = "/v1/sibling/work";

	/** Path of the total of this data centre. The query is the name of the sender. */
	public static final String TOTAL_PATH = "/v1/sibling/work/total";

	/** Header with the number of the sender's report that the sums contain. */
	static final String SEQUENCE_HEADER = "Included-Sequence";

	private static final Logger logger = LoggerFactory.getLogger(WorkHandler.class);

	/** Time for which an encoded reply is used. */
	private static final Duration REPLY_LIFETIME = Duration.ofMillis(150);

	/** Minimum time between two log lines about dropped messages. */
	private static final Duration LOG_PERIOD = Duration.ofSeconds(10);

	/** Number of characters of a sender's name that are logged. */
	private static final int MAX_LOGGED_NAME = 64;

	private static final int STATUS_OK = 200;

	private static final int STATUS_BAD_REQUEST = 400;

	private static final int STATUS_FORBIDDEN = 403;

	private static final int STATUS_UNAVAILABLE = 503;

	private final SiblingDirectory directory;

	private final WorkLedger ledger;

	private final MonotonicClock clock;

	private final AtomicReference<Optional<Encoded>> fleetReply = new AtomicReference<>(Optional.empty());

	private final AtomicReference<Optional<Encoded>> localReply = new AtomicReference<>(Optional.empty());

	private final AtomicReference<Optional<Long>> lastLogNanos = new AtomicReference<>(Optional.empty());

	/**
	 * Creates a handler.
	 * @param directory the known siblings, not null
	 * @param ledger the received reports, not null
	 * @param clock the clock of the daemon, not null
	 */
	public WorkHandler(SiblingDirectory directory, WorkLedger ledger, MonotonicClock clock) {
		this.directory = Objects.requireNonNull(directory, "directory");
		this.ledger = Objects.requireNonNull(ledger, "ledger");
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	/**
	 * Registers the paths of this handler.
	 * @param server the server, not null
	 */
	public void register(SiblingServer server) {
		server.register(REPORT_PATH, this::handleReport);
		server.register(TOTAL_PATH, this::handleTotal);
	}

	private void handleReport(RelayRequest request, ResponseWriter response) {
		WorkReport report;
		try {
			report = WorkCodec.decodeReport(request.body());
		}
		catch (PeerException ex) {
			logDropped(ex.getMessage(), "");
			SiblingServer.refuse(response, STATUS_BAD_REQUEST, "report is not valid");
			return;
		}
		if (!this.directory.isEnabled()) {
			SiblingServer.refuse(response, STATUS_UNAVAILABLE, "no siblings are known yet");
			return;
		}
		if (!isKnown(report.sender(), true)) {
			logDropped("sender is not listed in this data centre", report.sender());
			SiblingServer.refuse(response, STATUS_FORBIDDEN, "sender is not known");
			return;
		}
		long nowNanos = this.clock.nanos();
		this.ledger.record(report, nowNanos);
		Encoded reply = current(this.fleetReply, nowNanos, true, request.body().length);
		respond(response, reply, reply.summed().sequence(report.sender(), report.incarnation()));
	}

	private void handleTotal(RelayRequest request, ResponseWriter response) {
		String sender = request.target().substring(Math.min(request.target().length(), TOTAL_PATH.length() + 1));
		if (!this.directory.isEnabled()) {
			SiblingServer.refuse(response, STATUS_UNAVAILABLE, "no siblings are known yet");
			return;
		}
		if (!isKnown(sender, false)) {
			logDropped("sender is not listed", sender);
			SiblingServer.refuse(response, STATUS_FORBIDDEN, "sender is not known");
			return;
		}
		respond(response, current(this.localReply, this.clock.nanos(), false, 0), OptionalLong.empty());
	}

	private boolean isKnown(String sender, boolean sameDataCentre) {
		String dataCentre = this.directory.self().dataCentre();
		return this.directory.find(sender)
			.map(Sibling::dataCentre)
			.filter((other) -> !sameDataCentre || other.equals(dataCentre))
			.isPresent();
	}

	// Returns the encoded sums, which are added up again once they are too old.
	private Encoded current(AtomicReference<Optional<Encoded>> cache, long nowNanos, boolean fleet, int requestBytes) {
		Optional<Encoded> last = cache.get();
		if (last.isPresent() && nowNanos - last.get().nanos() < REPLY_LIFETIME.toNanos()) {
			return last.get();
		}
		WorkLedger.Summed summed = fleet ? this.ledger.fleet(nowNanos) : this.ledger.local(nowNanos);
		Encoded encoded = new Encoded(WorkCodec.encode(summed.total()), summed, nowNanos);
		cache.set(Optional.of(encoded));
		if (fleet) {
			updatePeriod(requestBytes + encoded.body().length, nowNanos);
		}
		return encoded;
	}

	// A hub asks the hub of each other data centre and is asked by it.
	private void updatePeriod(int bodyBytes, long nowNanos) {
		int exchanges = this.ledger.reportCount(nowNanos) + 2 * this.directory.otherDataCentres().size();
		this.ledger.updatePeriod(ExchangeBudget.period(exchanges, bodyBytes));
	}

	private static void respond(ResponseWriter response, Encoded reply, OptionalLong ownSequence) {
		// Content-Encoding is not set, since the HTTP client would decode the body
		// itself.
		List<HeaderField> fields = new ArrayList<>(List.of(new HeaderField("Content-Type", "application/zlib")));
		ownSequence.ifPresent((sequence) -> fields.add(new HeaderField(SEQUENCE_HEADER, Long.toString(sequence))));
		response.setHead(new ResponseHead(STATUS_OK, Headers.of(fields), OptionalLong.of(reply.body().length)));
		response.write(reply.body());
		response.end();
	}

	private void logDropped(String reason, String sender) {
		long nowNanos = this.clock.nanos();
		Optional<Long> last = this.lastLogNanos.get();
		if (last.isPresent() && nowNanos - last.get() < LOG_PERIOD.toNanos()) {
			return;
		}
		if (this.lastLogNanos.compareAndSet(last, Optional.of(nowNanos))) {
			logger.atInfo()
				.addKeyValue("reason", reason)
				.addKeyValue("sender", sender.substring(0, Math.min(sender.length(), MAX_LOGGED_NAME)))
				.log("message of a sibling dropped");
		}
	}

	/** Encoded sums and the time at which they were added up. */
	private record Encoded(byte[] body, WorkLedger.Summed summed, long nanos) {

	}

}
