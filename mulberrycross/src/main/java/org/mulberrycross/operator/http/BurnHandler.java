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

	private final Supplier<BurnReport> reportSupplier;

	/**
	 * Creates a handler.
	 * @param reportSupplier supplies the current report, not null
	 */
	public BurnHandler(Supplier<BurnReport> reportSupplier) {
		this.reportSupplier = Objects.requireNonNull(reportSupplier, "report");
	}

	@Override
	public void service(Request request, Response response) throws IOException {
		HttpMessages.reply(response, 200, this.reportSupplier.get());
	}

}
