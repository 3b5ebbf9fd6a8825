package org.mulberrycross.standins.engine;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import org.mulberrycross.engine.EngineRole;
import org.mulberrycross.engine.EngineSetup;
import org.mulberrycross.engine.LayerRange;
import org.mulberrycross.engine.http.HttpOrderClient;
import org.mulberrycross.http.HttpListener;
import org.mulberrycross.standins.CommandLines;

/**
 * Runs an engine stand-in.
 */
public final class EngineMain {

	private static final int WORKER_THREADS = 8;

	private static final Map<String, String> ORDER_OPTIONS = Map.of("model", "name of the model", "fencing",
			"check or ignore the fencing number of orders", "load-millis", "time of one load in milliseconds");

	private static final int EXIT_CRASH = 137;

	private EngineMain() {
	}

	/**
	 * Runs the engine until the process is ended.
	 * @param arguments see the options
	 * @throws IOException if the port cannot be bound
	 * @throws InterruptedException if the main thread is interrupted
	 */
	public static void main(String[] arguments) throws IOException, InterruptedException {
		Options options = new Options().addOption(null, "port", true, "port on 127.0.0.1")
			.addOption(null, "fault-port", true, "port of the fault switches, none if absent")
			.addOption(null, "first-layer", true, "first layer")
			.addOption(null, "end-layer", true, "layer after the last one")
			.addOption(null, "model-layers", true, "layers of the whole model")
			.addOption(null, "version", true, "model version")
			.addOption(null, "batch", true, "largest batch")
			.addOption(null, "step-micros", true, "time of one batch in microseconds");
		ORDER_OPTIONS.forEach((name, text) -> options.addOption(null, name, true, text));
		CommandLine line = CommandLines.parse(options, arguments);
		int end = CommandLines.number(line, "end-layer", 1);
		EngineStandin engine = new EngineStandin(new LayerRange(CommandLines.number(line, "first-layer", 0), end),
				CommandLines.number(line, "model-layers", end), line.getOptionValue("version", "v1"),
				CommandLines.number(line, "batch", 32), CommandLines.number(line, "step-micros", 2000));
		HttpListener listener = new HttpListener("127.0.0.1", CommandLines.number(line, "port", 0), WORKER_THREADS);
		EngineFaults faults = new EngineFaults(() -> Runtime.getRuntime().halt(EXIT_CRASH));
		listener.route(new EngineHandler(engine, faults), "/");
		listener.route(new OrderHandler(setup(line, engine)), HttpOrderClient.ORDERS_PATH, HttpOrderClient.STATE_PATH);
		listener.start();
		if (line.hasOption("fault-port")) {
			HttpListener switches = new HttpListener("127.0.0.1", CommandLines.number(line, "fault-port", 0), 1);
			switches.route(new FaultHandler(engine, faults), FaultHandler.PATH);
			switches.start();
		}
		System.out.println("engine listens on " + listener.port());
		listener.awaitClose();
	}

	private static OrderedSetup setup(CommandLine line, EngineStandin engine) {
		EngineSetup initial = new EngineSetup(line.getOptionValue("model", "model"),
				line.getOptionValue("version", "v1"), "", EngineRole.BOTH);
		return new OrderedSetup(initial, !"ignore".equals(line.getOptionValue("fencing")),
				Duration.ofMillis(CommandLines.number(line, "load-millis", 1000)),
				(setup) -> engine.serve(setup.version()));
	}

}
