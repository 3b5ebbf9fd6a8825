package org.mulberrycross.standins;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Parses the command lines of the stand-ins. Thread-safe.
 */
public final class CommandLines {

	private static final int EXIT_USAGE = 2;

	private CommandLines() {
	}

	/**
	 * Parses arguments, and exits with 2 and a message if they are wrong.
	 * @param options the options, not null
	 * @param arguments the arguments, not null
	 * @return the parsed command line
	 */
	public static CommandLine parse(Options options, String[] arguments) {
		try {
			return new DefaultParser().parse(options, arguments);
		}
		catch (ParseException ex) {
			System.err.println(ex.getMessage());
			System.exit(EXIT_USAGE);
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Returns a number from a command line.
	 * @param line the command line, not null
	 * @param option the long name of the option
	 * @param defaultValue the value if the option is absent
	 * @return the number
	 */
	public static int number(CommandLine line, String option, int defaultValue) {
		return Integer.parseInt(line.getOptionValue(option, Integer.toString(defaultValue)));
	}

}
