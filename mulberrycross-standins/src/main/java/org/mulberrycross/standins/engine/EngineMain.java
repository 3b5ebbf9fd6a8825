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
 * Runs an engine stand-in as a process.
 */
public final class EngineMain {

	private static final int WORKER_THREADS = 8;

	private static final Map<String, String> ORDER_OPTIONS = Map.of("model",
			"name of the model that is served at the start", "fencing",
			"check (default) or ignore the fencing number of orders", "load-millis",
			"duration of one model load in milliseconds");

	/** Exit status that a shell reports for a process ended by SIGKILL: 128 + 9. */
	private static final int EXIT_SIGKILL = 137;

	private EngineMain() {
	}

	/**
	 * Runs the engine until the process is ended.
	 * @param arguments the command-line options
	 * @throws IOException if the port cannot be bound
	 * @throws InterruptedException if the main thread is interrupted
	 */
	public static void main(String[] arguments) throws IOException, InterruptedException {
		Options options = new Options().addOption(null, "port", true, "port on 127.0.0.1")
			.addOption(null, "fault-port", true, "port of the fault interface, which is off if the option is absent")
			.addOption(null, "first-layer", true, "first layer that the engine holds")
			.addOption(null, "end-layer", true, "end of the layers that the engine holds, exclusive")
			.addOption(null, "model-layers", true, "number of layers of the complete model")
			.addOption(null, "version", true, "version of the model that is served at the start")
			.addOption(null, "batch", true, "maximum number of steps in a batch")
			.addOption(null, "step-micros", true, "duration of one batch in microseconds");
		ORDER_OPTIONS.forEach((name, description) -> options.addOption(null, name, true, description));
		CommandLine line = CommandLines.parse(options, arguments);
		int end = CommandLines.intOption(line, "end-layer", 1);
		EngineStandin engine = new EngineStandin(new LayerRange(CommandLines.intOption(line, "first-layer", 0), end),
				CommandLines.intOption(line, "model-layers", end), line.getOptionValue("version", "v1"),
				CommandLines.intOption(line, "batch", 32), CommandLines.intOption(line, "step-micros", 2000));
		HttpListener listener = new HttpListener("127.0.0.1", CommandLines.intOption(line, "port", 0), WORKER_THREADS);
		EngineFaults faults = new EngineFaults(() -> Runtime.getRuntime().halt(EXIT_SIGKILL));
		listener.route(new EngineHandler(engine, faults), "/");
		listener.route(new OrderHandler(orderedSetup(line, engine)), HttpOrderClient.ORDERS_PATH,
				HttpOrderClient.STATE_PATH);
		listener.start();
		if (line.hasOption("fault-port")) {
			HttpListener faultListener = new HttpListener("127.0.0.1", CommandLines.intOption(line, "fault-port", 0),
					1);
			faultListener.route(new FaultHandler(engine, faults), FaultHandler.PATH);
			faultListener.start();
		}
		System.out.println("engine listens on " + listener.port());
		listener.awaitClose();
	}

	private static OrderedSetup orderedSetup(CommandLine line, EngineStandin engine) {
		EngineSetup initial = new EngineSetup(line.getOptionValue("model", "model"),
				line.getOptionValue("version", "v1"), "", EngineRole.BOTH);
		return new OrderedSetup(initial, !"ignore".equals(line.getOptionValue("fencing")),
				Duration.ofMillis(CommandLines.intOption(line, "load-millis", 1000)),
				(setup) -> engine.serveVersion(setup.version()));
	}

}
