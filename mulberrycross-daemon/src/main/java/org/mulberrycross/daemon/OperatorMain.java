package org.mulberrycross.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

import org.mulberrycross.Address;
import org.mulberrycross.PeerException;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.Json;
import org.mulberrycross.operator.BurnReport;
import org.mulberrycross.operator.Configuration;
import org.mulberrycross.operator.ConfigurationValidator;
import org.mulberrycross.operator.ObjectKind;
import org.mulberrycross.operator.ObjectStatus;
import org.mulberrycross.operator.OperatorObject;
import org.mulberrycross.operator.StatusReport;
import org.mulberrycross.operator.ValidationError;
import org.mulberrycross.operator.http.BurnReportReader;
import org.mulberrycross.operator.http.BurnReportRenderer;
import org.mulberrycross.operator.json.ObjectCodec;
import org.mulberrycross.platform.ConfigurationCodec;
import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.OperatorEdit;
import org.mulberrycross.platform.OperatorWorkspace;
import org.mulberrycross.platform.http.HttpObjectStore;
import org.mulberrycross.platform.http.JsonConfigurationCodec;

/**
 * Command line for operators. It validates and edits objects in the object API, and reads
 * their status and the burn reports of the daemons. It never sends commands to a daemon.
 * Not thread-safe.
 */
public final class OperatorMain {

	static final int EXIT_FAILURE = 1;

	static final int EXIT_USAGE = 2;

	private static final String USAGE = String.join(System.lineSeparator(),
			"usage: operator [--platform HOST:PORT] [--timeout-ms N] COMMAND ARGUMENT...",
			"  validate FILE...    validate the objects in JSON files, with --platform together with the stored objects",
			"  apply FILE...       create or replace the objects in JSON files", "  delete KIND/NAME... delete objects",
			"  list [KIND]         print the keys and versions of objects",
			"  status [KIND/NAME]  print which object versions are accepted, pending or rejected, with their errors",
			"  report FORMAT HOST:PORT...  print the error budget burn of all daemons as text, json or html");

	private static final int DEFAULT_TIMEOUT_MILLIS = 5000;

	private static final ConfigurationCodec CODEC = new JsonConfigurationCodec();

	private final PrintStream out;

	private final PrintStream err;

	private OperatorMain(PrintStream out, PrintStream err) {
		this.out = out;
		this.err = err;
	}

	/**
	 * Runs a command. Exits with 0 if it succeeded, with 1 if a peer did not respond or
	 * an object does not exist or was modified concurrently, and with 2 if the arguments
	 * or the objects are invalid.
	 * @param arguments see the usage
	 */
	public static void main(String[] arguments) {
		LogSetup.installBridge();
		System.exit(run(arguments, System.out, System.err));
	}

	/**
	 * Runs a command without ending the process.
	 * @param arguments see the usage
	 * @param out the stream for results, not null
	 * @param err the stream for errors, not null
	 * @return the exit code
	 */
	static int run(String[] arguments, PrintStream out, PrintStream err) {
		OperatorMain operator = new OperatorMain(out, err);
		try {
			return operator.run(new DefaultParser().parse(new Options()
				.addOption(Option.builder("p").longOpt("platform").hasArg().desc("address of the object API").get())
				.addOption(Option.builder("t")
					.longOpt("timeout-ms")
					.hasArg()
					.desc("timeout of a call in milliseconds")
					.get()), arguments));
		}
		catch (ParseException | IllegalArgumentException ex) {
			err.println(ex.getMessage());
			err.println(USAGE);
			return EXIT_USAGE;
		}
		catch (PeerException | IOException ex) {
			err.println("failed: " + ex);
			return EXIT_FAILURE;
		}
	}

	private int run(CommandLine line) throws PeerException, IOException, ParseException {
		List<String> positionals = line.getArgList();
		if (positionals.isEmpty()) {
			throw new ParseException("a command is required");
		}
		String command = positionals.get(0);
		List<String> arguments = positionals.subList(1, positionals.size());
		boolean readsFiles = command.equals("validate") || command.equals("apply");
		if (arguments.isEmpty() && (readsFiles || command.equals("delete"))) {
			throw new ParseException(command + " requires an argument");
		}
		List<OperatorObject> objects = new ArrayList<>();
		if (readsFiles && !readFiles(arguments, objects)) {
			return EXIT_USAGE;
		}
		if (command.equals("validate") && !line.hasOption("platform")) {
			return printErrors(ConfigurationValidator.validate(Configuration.of(0, objects)));
		}
		if (command.equals("report")) {
			return printBurnReport(arguments, Duration.ofMillis(parseTimeoutMillis(line)));
		}
		if (!line.hasOption("platform")) {
			throw new ParseException(command + " requires --platform");
		}
		validateArguments(command, arguments);
		Address platform = Address.parse(line.getOptionValue("platform"));
		Duration timeout = Duration.ofMillis(parseTimeoutMillis(line));
		try (HttpClient client = new HttpClient(1)) {
			ObjectStore store = new HttpObjectStore(client, platform, timeout);
			return switch (command) {
				case "validate" -> printErrors(OperatorWorkspace.open(store, CODEC).findNewErrors(objects, Set.of()));
				case "apply" -> apply(OperatorWorkspace.open(store, CODEC), objects);
				case "delete" -> delete(OperatorWorkspace.open(store, CODEC), arguments);
				case "list" -> printObjects(OperatorWorkspace.open(store, CODEC), arguments);
				case "status" -> printStatus(OperatorWorkspace.open(store, CODEC).status(), arguments);
				default -> throw new ParseException("unknown command '" + command + "'");
			};
		}
	}

	private int printBurnReport(List<String> arguments, Duration timeout)
			throws PeerException, IOException, ParseException {
		if (arguments.size() < 2) {
			throw new ParseException("report requires a format and the address of at least one daemon");
		}
		Function<BurnReport, String> formatter = switch (arguments.get(0)) {
			case "text" -> BurnReportRenderer::renderText;
			case "html" -> BurnReportRenderer::renderHtml;
			case "json" -> (report) -> new String(Json.encode(report), StandardCharsets.UTF_8);
			default ->
				throw new ParseException("unknown report format '" + arguments.get(0) + "', allowed: text, json, html");
		};
		List<Address> daemons = arguments.stream().skip(1).map(Address::parse).toList();
		try (HttpClient client = new HttpClient(1)) {
			this.out.println(formatter.apply(new BurnReportReader(client, timeout).read(daemons)));
			return 0;
		}
	}

	private static void validateArguments(String command, List<String> arguments) throws ParseException {
		for (String argument : arguments) {
			switch (command) {
				case "list" -> requireKind(argument);
				case "delete", "status" -> requireKey(argument);
				default -> {
				}
			}
		}
	}

	private static int parseTimeoutMillis(CommandLine line) throws ParseException {
		String text = line.getOptionValue("timeout-ms", Integer.toString(DEFAULT_TIMEOUT_MILLIS));
		if (!text.matches("[1-9][0-9]{0,5}")) {
			throw new ParseException("--timeout-ms is '" + text + "', allowed: an integer from 1 to 999999");
		}
		return Integer.parseInt(text);
	}

	private boolean readFiles(List<String> files, List<OperatorObject> objects) {
		Set<String> keys = new HashSet<>();
		boolean valid = true;
		for (String file : files) {
			try {
				for (OperatorObject object : ObjectCodec.decodeFile(file, Files.readAllBytes(Path.of(file)))) {
					if (!keys.add(object.key())) {
						this.err.println(file + ": " + object.key() + " is defined more than once");
						valid = false;
					}
					objects.add(object);
				}
			}
			catch (IOException ex) {
				this.err.println(file + ": cannot be read: " + ex);
				valid = false;
			}
			catch (PeerException ex) {
				this.err.println(file + ": " + ex.getMessage());
				valid = false;
			}
		}
		return valid;
	}

	private int printErrors(List<ValidationError> errors) {
		errors.forEach(this.err::println);
		return errors.isEmpty() ? 0 : EXIT_USAGE;
	}

	private int apply(OperatorWorkspace workspace, List<OperatorObject> objects) throws PeerException {
		int exitCode = printErrors(workspace.findNewErrors(objects, Set.of()));
		if (exitCode != 0) {
			return exitCode;
		}
		for (OperatorObject object : objects) {
			OptionalLong version = workspace.put(object);
			if (version.isEmpty()) {
				this.err.println(object.key() + ": was modified concurrently; read the stored object and apply again");
				return EXIT_FAILURE;
			}
			this.out.println(object.key() + " version " + version.getAsLong());
		}
		return 0;
	}

	private int delete(OperatorWorkspace workspace, List<String> keys) throws PeerException {
		int exitCode = printErrors(workspace.findNewErrors(List.of(), Set.copyOf(keys)));
		if (exitCode != 0) {
			return exitCode;
		}
		for (String key : keys) {
			if (!workspace.delete(key)) {
				this.err.println(key + ": does not exist or was modified concurrently");
				return EXIT_FAILURE;
			}
			this.out.println(key + " deleted");
		}
		return 0;
	}

	private int printObjects(OperatorWorkspace workspace, List<String> kinds) {
		for (OperatorEdit edit : workspace.objects()) {
			if (kinds.isEmpty() || kinds.contains(edit.key().substring(0, edit.key().indexOf('/')))) {
				this.out.println(edit.key() + " version " + edit.version());
			}
		}
		return 0;
	}

	private int printStatus(StatusReport report, List<String> keys) {
		this.out.println("generation " + report.generation());
		Set<String> missing = new HashSet<>(keys);
		for (ObjectStatus status : report.objects()) {
			if (keys.isEmpty() || missing.remove(status.key())) {
				this.out.println(status.key() + " version " + status.version() + " " + status.state());
				status.faults().forEach((error) -> this.out.println("  " + error));
			}
		}
		missing.forEach((key) -> this.err.println(key + ": does not exist"));
		return missing.isEmpty() ? 0 : EXIT_FAILURE;
	}

	private static void requireKey(String key) throws ParseException {
		int slash = key.indexOf('/');
		requireKind((slash > 0) ? key.substring(0, slash) : key);
		if (slash < 0 || slash == key.length() - 1) {
			throw new ParseException("'" + key + "' is not of the form KIND/NAME");
		}
	}

	private static void requireKind(String kind) throws ParseException {
		Objects.requireNonNull(kind, "kind");
		if (ObjectKind.of(kind).isEmpty()) {
			throw new ParseException(
					"'" + kind + "' is not a kind of object, allowed: model, pipeline, team, upstream");
		}
	}

}
