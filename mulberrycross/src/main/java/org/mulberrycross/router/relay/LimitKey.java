package org.mulberrycross.router.relay;

import java.util.Objects;
import java.util.Optional;

import org.mulberrycross.engine.RateLimit;

/**
 * Identifies the limit that one start of an upstream names, so that daemons share it only
 * with those that know the same. Its text contains all that an owner of the limit needs
 * to know. Immutable and thread-safe.
 *
 * @param upstream the id of the upstream, not null
 * @param startedMillis the start time of the upstream in Unix milliseconds
 * @param limit the limit, not null
 */
record LimitKey(String upstream, long startedMillis, RateLimit limit) {

	private static final char SEPARATOR = '@';

	LimitKey {
		Objects.requireNonNull(upstream, "upstream");
		Objects.requireNonNull(limit, "limit");
	}

	String text() {
		return this.upstream + SEPARATOR + this.startedMillis + SEPARATOR + this.limit.requestsPerSecond();
	}

	// Returns the limit that a text ends with, or empty if it is not that of a key.
	static Optional<RateLimit> limitOf(String text) {
		try {
			return Optional.of(new RateLimit(Double.parseDouble(text.substring(text.lastIndexOf(SEPARATOR) + 1))));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

}
