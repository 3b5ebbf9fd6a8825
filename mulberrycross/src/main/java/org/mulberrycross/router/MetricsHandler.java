package org.mulberrycross.router;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

import org.mulberrycross.http.HttpMessages;

/**
 * Serves the metric registry at {@code /metrics} as JSON, with rates per second and
 * durations in milliseconds. Thread-safe.
 */
final class MetricsHandler extends HttpHandler {

	static final String PATH = "/metrics";

	private final MetricRegistry metrics;

	private final ObjectMapper mapper = new ObjectMapper()
		.registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

	MetricsHandler(MetricRegistry metrics) {
		this.metrics = metrics;
	}

	@Override
	public void service(Request request, Response response) throws IOException {
		HttpMessages.writeJson(response, 200, this.mapper.writeValueAsBytes(this.metrics));
	}

}
