package org.mulberrycross.daemon;

import java.io.IOException;
import java.nio.file.Path;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.router.Router;
import org.mulberrycross.router.RouterSettings;
import org.mulberrycross.router.SettingsException;
import org.mulberrycross.router.SettingsReader;

/**
 * Runs a router daemon until it is told to stop.
 */
public final class RouterMain {

	private static final Logger logger = LoggerFactory.getLogger(RouterMain.class);

	private static final int EXIT_USAGE = 2;

	private static final int EXIT_FAILURE = 1;

	private RouterMain() {
	}

	/**
	 * Runs the daemon. Exits with 2 if the arguments or the settings are wrong and with 1
	 * if the daemon cannot start.
	 * @param arguments {@code --settings FILE}
	 */
	public static void main(String[] arguments) {
		LogSetup.bridge();
		Options options = new Options()
			.addOption(Option.builder("s").longOpt("settings").hasArg().required().desc("settings file").get());
		try {
			CommandLine line = new DefaultParser().parse(options, arguments);
			run(SettingsReader.read(Path.of(line.getOptionValue("settings"))));
		}
		catch (ParseException ex) {
			System.err.println(ex.getMessage());
			System.exit(EXIT_USAGE);
		}
		catch (SettingsException ex) {
			ex.faults().forEach(System.err::println);
			System.exit(EXIT_USAGE);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (IOException ex) {
			logger.error("daemon cannot start", ex);
			System.exit(EXIT_FAILURE);
		}
	}

	private static void run(RouterSettings settings) throws IOException, InterruptedException {
		if (settings.jsonLogs()) {
			LogSetup.useJson();
		}
		Router router = new Router(settings);
		Runtime.getRuntime().addShutdownHook(new Thread(router::shutDown, "shutdown"));
		router.start();
		router.awaitClose();
	}

}
