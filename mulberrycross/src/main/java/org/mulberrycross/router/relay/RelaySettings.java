package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Objects;

import org.mulberrycross.Address;

/**
 * Settings of a relaying daemon. Immutable and thread-safe.
 *
 * @param name the name of the daemon, unique among all daemons, not null
 * @param dataCentre the data centre that the daemon runs in, not null
 * @param callerAddress the address to serve clients on, not null
 * @param readinessAddress the address of the readiness check and metrics, not null
 * @param platformAddress the address of the platform's store, not null
 * @param revocationLimit the time after which revoked keys must be rejected, not null
 * @param propagationLimits the limits for acting on changes in the store, not null
 * @param shutdownGrace the time from the stop signal to the process exit, not null
 * @param retryRatio the permitted ratio of all daemons' retries to requests, per service
 * @param retryBurst the number of retries that all daemons may send beyond the ratio
 * @param retryWindow the sliding window for counting requests and retries, not null
 * @param waiting how requests wait for upstreams and are ranked, not null
 */
public record RelaySettings(String name, String dataCentre, Address callerAddress, Address readinessAddress,
		Address platformAddress, Duration revocationLimit, PropagationLimits propagationLimits, Duration shutdownGrace,
		double retryRatio, double retryBurst, Duration retryWindow, WaitingSettings waiting) {

	/**
	 * Creates settings.
	 * @param name the name of the daemon, not null
	 * @param dataCentre the data centre that the daemon runs in, not null
	 * @param callerAddress the address to serve clients on, not null
	 * @param readinessAddress the address of the readiness check and metrics, not null
	 * @param platformAddress the address of the platform's store, not null
	 * @param revocationLimit the time after which revoked keys must be rejected, not null
	 * @param propagationLimits the limits for acting on changes in the store, not null
	 * @param shutdownGrace the time from the stop signal to the process exit, not null
	 * @param retryRatio the permitted ratio of retries to requests
	 * @param retryBurst the number of retries permitted beyond the ratio
	 * @param retryWindow the sliding window for counting requests and retries, not null
	 * @param waiting how requests wait for upstreams and are ranked, not null
	 */
	public RelaySettings {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(callerAddress, "callerAddress");
		Objects.requireNonNull(readinessAddress, "readinessAddress");
		Objects.requireNonNull(platformAddress, "platformAddress");
		Objects.requireNonNull(revocationLimit, "revocationLimit");
		Objects.requireNonNull(propagationLimits, "propagationLimits");
		Objects.requireNonNull(shutdownGrace, "shutdownGrace");
		Objects.requireNonNull(retryWindow, "retryWindow");
		Objects.requireNonNull(waiting, "waiting");
	}

	/**
	 * Creates settings without waiting queues and ranks.
	 * @param name the name of the daemon, not null
	 * @param dataCentre the data centre that the daemon runs in, not null
	 * @param callerAddress the address to serve clients on, not null
	 * @param readinessAddress the address of the readiness check and metrics, not null
	 * @param platformAddress the address of the platform's store, not null
	 * @param revocationLimit the time after which revoked keys must be rejected, not null
	 * @param propagationLimits the limits for acting on changes in the store, not null
	 * @param shutdownGrace the time from the stop signal to the process exit, not null
	 * @param retryRatio the permitted ratio of retries to requests
	 * @param retryBurst the number of retries permitted beyond the ratio
	 * @param retryWindow the sliding window for counting requests and retries, not null
	 */
	public RelaySettings(String name, String dataCentre, Address callerAddress, Address readinessAddress,
			Address platformAddress, Duration revocationLimit, PropagationLimits propagationLimits,
			Duration shutdownGrace, double retryRatio, double retryBurst, Duration retryWindow) {
		this(name, dataCentre, callerAddress, readinessAddress, platformAddress, revocationLimit, propagationLimits,
				shutdownGrace, retryRatio, retryBurst, retryWindow, WaitingSettings.OFF);
	}

}
