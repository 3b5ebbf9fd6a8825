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
	 * Parses arguments. Prints a message and ends the process with exit status 2 if they
	 * are invalid.
	 * @param options the options that the program accepts, not null
	 * @param arguments the arguments of the program, not null
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
	 * Returns the integer value of an option.
	 * @param line the command line, not null
	 * @param option the long name of the option
	 * @param defaultValue the value if the option is absent
	 * @return the value of the option
	 */
	public static int intOption(CommandLine line, String option, int defaultValue) {
		return Integer.parseInt(line.getOptionValue(option, Integer.toString(defaultValue)));
	}

}
