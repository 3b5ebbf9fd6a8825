package org.mulberrycross.standins.load;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;

/**
 * A period of a run with a constant mean arrival rate. Immutable and thread-safe.
 *
 * @param duration the length of the period, positive
 * @param rate the mean number of requests per second, positive
 */
public record LoadPhase(Duration duration, double rate) {

	/**
	 * Parses phases of the form {@code 10x50,5x100}, that is {@code SECONDSxRATE}
	 * separated by commas, with the rate in requests per second.
	 * @param text the text, not null
	 * @return the phases in the order of the text
	 * @throws IllegalArgumentException if the text is not of that form
	 */
	public static List<LoadPhase> parse(String text) {
		return Arrays.stream(text.split(",")).map(LoadPhase::parsePhase).toList();
	}

	private static LoadPhase parsePhase(String text) {
		String[] parts = text.split("x");
		if (parts.length != 2) {
			throw new IllegalArgumentException("phase '" + text + "' is not of the form SECONDSxRATE");
		}
		double seconds = Double.parseDouble(parts[0]);
		return new LoadPhase(Duration.ofMillis(Math.round(seconds * 1000)), Double.parseDouble(parts[1]));
	}

}
