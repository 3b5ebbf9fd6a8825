package org.mulberrycross.standins.load;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;

/**
 * A time during which requests arrive at one rate. Immutable and thread-safe.
 *
 * @param duration the length, positive
 * @param rate the mean number of requests per second, positive
 */
public record LoadPhase(Duration duration, double rate) {

	/**
	 * Parses phases of the form {@code 10x50,5x100}: seconds times requests per second.
	 * @param text the text, not null
	 * @return the phases in order
	 * @throws IllegalArgumentException if the text is not of that form
	 */
	public static List<LoadPhase> parse(String text) {
		return Arrays.stream(text.split(",")).map(LoadPhase::parseOne).toList();
	}

	private static LoadPhase parseOne(String text) {
		String[] parts = text.split("x");
		if (parts.length != 2) {
			throw new IllegalArgumentException("phase '" + text + "' is not of the form SECONDSxRATE");
		}
		double seconds = Double.parseDouble(parts[0]);
		return new LoadPhase(Duration.ofMillis(Math.round(seconds * 1000)), Double.parseDouble(parts[1]));
	}

}
