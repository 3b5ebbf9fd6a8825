package org.mulberrycross.standins.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.SerializationFeature;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import org.mulberrycross.Address;
import org.mulberrycross.http.Json;
import org.mulberrycross.standins.CommandLines;

/**
 * Sends the requests of a generated schedule to daemons and prints a JSON report. With
 * {@code --strict} it exits with 1 unless every answer was complete and correct.
 */
public final class LoadMain {

	/** The teams with the lowest numbers are large and send most of the requests. */
	private static final int LARGE_TEAM_COUNT = 3;

	private static final double LARGE_TEAM_WEIGHT = 8;

	private LoadMain() {
	}

	/**
	 * Runs the schedule and prints the report.
	 * @param arguments see the options
	 * @throws IOException if starting the HTTP client or writing the report file fails
	 * @throws InterruptedException if the main thread is interrupted
	 */
	public static void main(String[] arguments) throws IOException, InterruptedException {
		Options options = new Options()
			.addOption(null, "targets", true, "addresses of the daemons, host:port separated by commas")
			.addOption(null, "phases", true,
					"phases, SECONDSxRATE separated by commas, with the rate in requests per second")
			.addOption(null, "pipelines", true, "pipelines, NAME:LAYERS:VERSION:WEIGHT separated by commas")
			.addOption(null, "teams", true, "number of teams; team i has the name team-i and the key key-i")
			.addOption(null, "prompt-words", true, "mean number of words of a prompt")
			.addOption(null, "short-tokens", true, "mean number of tokens of a short answer")
			.addOption(null, "long-tokens", true, "mean number of tokens of a long answer")
			.addOption(null, "long-percent", true, "percentage of long requests")
			.addOption(null, "seed", true, "seed of the schedule")
			.addOption(null, "report", true, "file to write the JSON report to")
			.addOption(null, "strict", false, "exit with 1 unless every answer is complete and correct");
		CommandLine line = CommandLines.parse(options, arguments);
		List<Address> targets = Arrays.stream(line.getOptionValue("targets").split(",")).map(Address::parse).toList();
		List<PlannedRequest> requests = LoadSchedule.generate(CommandLines.intOption(line, "seed", 1),
				LoadPhase.parse(line.getOptionValue("phases", "10x20")), parseMix(line));
		try (LoadRun run = new LoadRun(targets)) {
			Map<String, Object> report = run.run(requests);
			byte[] json = Json.mapper().writer().with(SerializationFeature.INDENT_OUTPUT).writeValueAsBytes(report);
			System.out.println(new String(json, StandardCharsets.UTF_8));
			if (line.hasOption("report")) {
				Files.write(Path.of(line.getOptionValue("report")), json);
			}
			boolean allCorrect = run.countOf(RequestResult.Outcome.WHOLE) == requests.size();
			System.exit((line.hasOption("strict") && !allCorrect) ? 1 : 0);
		}
	}

	private static LoadMix parseMix(CommandLine line) {
		List<LoadMix.Pipeline> pipelines = Arrays
			.stream(line.getOptionValue("pipelines", "redactor-ia:12:v1:1").split(","))
			.map((text) -> text.split(":"))
			.map((parts) -> new LoadMix.Pipeline(parts[0], Integer.parseInt(parts[1]), parts[2],
					Double.parseDouble(parts[3])))
			.toList();
		List<LoadMix.Team> teams = IntStream.range(0, CommandLines.intOption(line, "teams", 10))
			.mapToObj((i) -> new LoadMix.Team("team-" + i, "key-" + i, (i < LARGE_TEAM_COUNT) ? LARGE_TEAM_WEIGHT : 1))
			.toList();
		return new LoadMix(pipelines, teams, CommandLines.intOption(line, "prompt-words", 12),
				CommandLines.intOption(line, "short-tokens", 20), CommandLines.intOption(line, "long-tokens", 400),
				CommandLines.intOption(line, "long-percent", 5) / 100.0);
	}

}
