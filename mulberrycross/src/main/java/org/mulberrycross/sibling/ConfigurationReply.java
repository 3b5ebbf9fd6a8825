package org.mulberrycross.sibling;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * What a sibling says of the configuration that it knows. A version that is not newer
 * than the one asked about proves nothing: the sibling may have started after the store
 * came back from an older copy, too. Immutable if the value is not modified, and
 * thread-safe.
 *
 * @param newer the object with the newest version that the sibling has read from the
 * store or from a sibling, empty if it knows none that is newer, not null
 * @param restoredAgo the time since the sibling learned that the store came back from an
 * older copy, empty if it has not seen that since its start, not null
 */
public record ConfigurationReply(Optional<SharedChange> newer, Optional<Duration> restoredAgo) {

	/** The reply of a build that does not answer such queries. */
	public static final ConfigurationReply NOTHING_KNOWN = new ConfigurationReply(Optional.empty(), Optional.empty());

	/**
	 * Creates a reply.
	 * @param newer the object with a newer version, not null
	 * @param restoredAgo the time since the store came back, not null
	 */
	public ConfigurationReply {
		Objects.requireNonNull(newer, "newer");
		Objects.requireNonNull(restoredAgo, "restoredAgo");
	}

}
