package org.mulberrycross.operator.http;

import java.io.IOException;
import java.util.Objects;
import java.util.function.Supplier;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

import org.mulberrycross.http.HttpMessages;
import org.mulberrycross.operator.BurnReport;

/**
 * Serves the burn report of one daemon as JSON. Thread-safe.
 */
public final class BurnHandler extends HttpHandler {

	/** Path of the burn report. */
	public static final String PATH = "/v1/operator/burn";

	private final Supplier<BurnReport> report;

	/**
	 * Creates a handler.
	 * @param report supplies the current report, not null
	 */
	public BurnHandler(Supplier<BurnReport> report) {
		this.report = Objects.requireNonNull(report, "report");
	}

	@Override
	public void service(Request request, Response response) throws IOException {
		HttpMessages.writeJson(response, 200, this.report.get());
	}

}
