package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Objects;

import org.mulberrycross.Address;

/**
 * Settings of a relaying daemon. Immutable and thread-safe.
 *
 * @param name the name of the daemon, unique over all daemons, not null
 * @param dataCentre the data centre that the daemon runs in, not null
 * @param callers the address to serve callers on, not null
 * @param readiness the address to serve readiness checks and metrics on, not null
 * @param platform the address of the platform's store, not null
 * @param revocation the time after which a key that was taken away must not be honoured,
 * not null
 * @param stopGrace the time from the signal to stop to the end of the process, not null
 * @param retryRatio the requests that all daemons may send again, relative to the
 * requests for a service
 * @param retryBurst the requests that all daemons may send again beyond the ratio
 * @param retryWindow the span of time in which both are counted, not null
 */
public record RelaySettings(String name, String dataCentre, Address callers, Address readiness, Address platform,
		Duration revocation, Duration stopGrace, double retryRatio, double retryBurst, Duration retryWindow) {

	/**
	 * Creates settings.
	 * @param name the name of the daemon, not null
	 * @param dataCentre the data centre that the daemon runs in, not null
	 * @param callers the address to serve callers on, not null
	 * @param readiness the address to serve readiness checks and metrics on, not null
	 * @param platform the address of the platform's store, not null
	 * @param revocation the time after which a revoked key must not be honoured, not null
	 * @param stopGrace the time from the signal to stop to the end, not null
	 * @param retryRatio the requests that may be sent again, relative to all
	 * @param retryBurst the requests that may be sent again beyond the ratio
	 * @param retryWindow the span of time in which both are counted, not null
	 */
	public RelaySettings {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(callers, "callers");
		Objects.requireNonNull(readiness, "readiness");
		Objects.requireNonNull(platform, "platform");
		Objects.requireNonNull(revocation, "revocation");
		Objects.requireNonNull(stopGrace, "stopGrace");
		Objects.requireNonNull(retryWindow, "retryWindow");
	}

}
