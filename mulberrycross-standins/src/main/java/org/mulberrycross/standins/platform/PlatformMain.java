package org.mulberrycross.standins.platform;

import java.io.IOException;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.http.HttpListener;
import org.mulberrycross.standins.CommandLines;

/**
 * Runs the platform stand-in as a process.
 */
public final class PlatformMain {

	/** Each watch blocks a worker thread while it waits. */
	private static final int WORKER_THREADS = 64;

	private PlatformMain() {
	}

	/**
	 * Runs the platform until the process is ended.
	 * @param arguments the command-line options
	 * @throws IOException if the port cannot be bound
	 * @throws InterruptedException if the main thread is interrupted
	 */
	public static void main(String[] arguments) throws IOException, InterruptedException {
		CommandLine line = CommandLines.parse(new Options().addOption(null, "port", true, "port on 127.0.0.1")
			.addOption(null, "instance-lag-ms", true, "milliseconds until an edit of the instance list is visible"),
				arguments);
		HttpListener listener = new HttpListener("127.0.0.1", CommandLines.intOption(line, "port", 0), WORKER_THREADS);
		FaultSwitches switches = new FaultSwitches();
		listener.route(new ObjectHandler(new ObjectTable(), switches), "/objects", "/objects/*");
		listener.route(new FaultHandler(switches), "/faults", "/calls");
		listener.route(
				new InstanceHandler(
						new InstanceTable(MonotonicClock.system(), CommandLines.intOption(line, "instance-lag-ms", 0))),
				"/instances", "/instances/*");
		listener.start();
		System.out.println("platform listens on " + listener.port());
		listener.awaitClose();
	}

}
