package org.mulberrycross.sibling;

import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

import org.mulberrycross.engine.EngineWork;

/**
 * The work of one daemon at each engine. Immutable and thread-safe.
 *
 * @param sender the name of the daemon, not null
 * @param incarnation the time at which the daemon started, in milliseconds since 1970
 * @param sequence a number that the daemon increments with every report
 * @param work the work by engine id, rounded; engines without work are left out
 */
public record WorkReport(String sender, long incarnation, long sequence, Map<String, EngineWork> work) {

	/**
	 * Unit to which tokens are rounded. Sums of rounded figures are exact, so that a
	 * daemon can subtract its own share from them.
	 */
	public static final int TOKENS_PER_UNIT = 50;

	/** Maximum number of engines in a message. */
	public static final int MAX_ENGINES = 2048;

	/**
	 * Creates a report.
	 * @param sender the name of the daemon, not null
	 * @param incarnation the time at which the daemon started
	 * @param sequence the number of the report
	 * @param work the work by engine id, not null; at most {@link #MAX_ENGINES} engines
	 */
	public WorkReport {
		Objects.requireNonNull(sender, "sender");
		work = Map.copyOf(work);
		if (work.size() > MAX_ENGINES) {
			throw new IllegalArgumentException("report has " + work.size() + " engines, limit " + MAX_ENGINES);
		}
	}

	/**
	 * Rounds work to the units of a report and keeps at most {@link #MAX_ENGINES}
	 * engines, those with the most requests first.
	 * @param work the work by engine id, not null
	 * @return the rounded work
	 */
	public static Map<String, EngineWork> round(Map<String, EngineWork> work) {
		return work.entrySet()
			.stream()
			.sorted((first, second) -> Double.compare(second.getValue().requests(), first.getValue().requests()))
			.limit(MAX_ENGINES)
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> round(entry.getValue())));
	}

	private static EngineWork round(EngineWork work) {
		return new EngineWork(Math.round(work.requests()), roundTokens(work.tokens()),
				roundTokens(work.pendingPromptTokens()));
	}

	private static double roundTokens(double tokens) {
		return (double) TOKENS_PER_UNIT * Math.round(tokens / TOKENS_PER_UNIT);
	}

}
