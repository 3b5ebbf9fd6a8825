package org.mulberrycross.router;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Objects;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Parses the command line of a daemon, {@code --settings FILE}, and exits the process on
 * invalid settings or a failed start. Thread-safe.
 */
public final class DaemonCommand {

	private static final Logger logger = LoggerFactory.getLogger(DaemonCommand.class);

	private static final int EXIT_USAGE = 2;

	private static final int EXIT_FAILURE = 1;

	private DaemonCommand() {
	}

	/**
	 * Runs a daemon. Exits the process with 2 if the arguments or the settings are
	 * invalid and with 1 if the daemon fails to start.
	 * @param arguments the arguments of the process, not null
	 * @param daemon runs until it is stopped, not null
	 */
	public static void run(String[] arguments, Daemon daemon) {
		Objects.requireNonNull(daemon, "daemon");
		Options options = new Options()
			.addOption(Option.builder("s").longOpt("settings").hasArg().required().desc("settings file").get());
		try {
			CommandLine line = new DefaultParser().parse(options, arguments);
			daemon.run(Path.of(line.getOptionValue("settings")));
		}
		catch (ParseException ex) {
			System.err.println(ex.getMessage());
			System.exit(EXIT_USAGE);
		}
		catch (SettingsException ex) {
			ex.errors().forEach(System.err::println);
			System.exit(EXIT_USAGE);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (IOException ex) {
			logger.error("daemon failed to start", ex);
			System.exit(EXIT_FAILURE);
		}
	}

	/**
	 * A daemon that runs until it is stopped.
	 */
	@FunctionalInterface
	public interface Daemon {

		/**
		 * Runs the daemon and blocks until it is stopped.
		 * @param settingsFile the path of the settings file, not null
		 * @throws SettingsException if the settings are invalid
		 * @throws IOException if the daemon fails to start
		 * @throws InterruptedException if the thread is interrupted while the daemon runs
		 */
		void run(Path settingsFile) throws SettingsException, IOException, InterruptedException;

	}

}
