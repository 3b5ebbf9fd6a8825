package org.mulberrycross.standins.service;

import java.io.IOException;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import org.mulberrycross.http.HttpListener;
import org.mulberrycross.standins.CommandLines;

/**
 * Runs a service stand-in as a process.
 */
public final class ServiceMain {

	private static final int WORKER_THREADS = 8;

	private ServiceMain() {
	}

	/**
	 * Runs the service until the process is ended.
	 * @param arguments the command-line options
	 * @throws IOException if the port cannot be bound
	 * @throws InterruptedException if the main thread is interrupted
	 */
	public static void main(String[] arguments) throws IOException, InterruptedException {
		CommandLine line = CommandLines.parse(new Options().addOption(null, "port", true, "port on 127.0.0.1"),
				arguments);
		HttpListener listener = new HttpListener("127.0.0.1", CommandLines.intOption(line, "port", 0), WORKER_THREADS);
		listener.route(new ServiceStandin(), "/");
		listener.start();
		System.out.println("service listens on " + listener.port());
		listener.awaitClose();
	}

}
