package org.mulberrycross.operator.http;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.mulberrycross.Address;
import org.mulberrycross.NotRunException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpReply;
import org.mulberrycross.http.Json;
import org.mulberrycross.operator.BurnReport;

/**
 * Reads the burn reports of daemons and merges them by adding their counts. Thread-safe.
 */
public final class BurnReportReader {

	private final HttpClient client;

	private final Duration timeout;

	/**
	 * Creates a reader.
	 * @param client the HTTP client, not null; not closed by this class
	 * @param timeout the timeout of the request to each daemon, positive
	 */
	public BurnReportReader(HttpClient client, Duration timeout) {
		this.client = Objects.requireNonNull(client, "client");
		this.timeout = Objects.requireNonNull(timeout, "timeout");
	}

	/**
	 * Reads the reports of all daemons.
	 * @param daemons the daemons, not null
	 * @return the merged report of all daemons
	 * @throws PeerException if a daemon does not respond, since a report without its
	 * counts could hide failures
	 */
	public BurnReport read(List<Address> daemons) throws PeerException {
		List<BurnReport> reports = new ArrayList<>();
		for (Address daemon : daemons) {
			reports.add(readReport(daemon));
		}
		return BurnReport.merge(reports);
	}

	private BurnReport readReport(Address daemon) throws PeerException {
		Peer peer = new Peer(Peer.Kind.SIBLING, daemon.toString());
		HttpReply reply = this.client
			.send(HttpCall.get(Step.READ_REPORT, peer, daemon, BurnHandler.PATH, this.timeout));
		if (!reply.isSuccess()) {
			throw new NotRunException(Step.READ_REPORT, peer,
					"burn report request failed with status " + reply.status());
		}
		return Json.decode(reply.body(), BurnReport.class, peer);
	}

}
