package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits on the time from a change in the store until a daemon acts on it. Immutable and
 * thread-safe.
 *
 * @param drain the time after which a leaving upstream gets no new request, not null
 * @param configuration the time after which a new configuration is in force, not null
 * @param contact the time after a disturbance during which the limits do not apply, not
 * null
 */
public record PropagationLimits(Duration drain, Duration configuration, Duration contact) {

	/**
	 * Creates limits.
	 * @param drain the time after which a leaving upstream gets no new request, not null
	 * @param configuration the time after which a new configuration is in force, not null
	 * @param contact the time after a disturbance during which the limits do not apply,
	 * not null
	 */
	public PropagationLimits {
		Objects.requireNonNull(drain, "drain");
		Objects.requireNonNull(configuration, "configuration");
		Objects.requireNonNull(contact, "contact");
	}

}
