package org.mulberrycross.router;

import java.time.Duration;
import java.util.List;

import org.mulberrycross.Address;

/**
 * Settings of a router daemon. Immutable and thread-safe.
 *
 * @param name the name of the daemon, unique over all daemons
 * @param dataCentre the data centre that the daemon runs in
 * @param listen the address to serve callers and siblings on
 * @param platform the address of the platform's object API
 * @param seeds addresses of some siblings, may be empty
 * @param maxBodyBytes the longest request body, in bytes
 * @param maxStreams the number of requests that run at the same time
 * @param maxQueued the number of requests that wait
 * @param maxWait the longest wait from arrival to start
 * @param stepTimeout the bound on one step of an engine
 * @param platformTimeout the bound on one call of the object API
 * @param shutdownGrace the time between readiness failing and the end of accepting
 * @param jsonLogs whether log lines are JSON objects
 * @param admissionPolicy "fair" or "fifo"
 * @param routingPolicy "expected-time", "least-outstanding", "round-robin" or "random"
 */
public record RouterSettings(String name, String dataCentre, Address listen, Address platform, List<Address> seeds,
		int maxBodyBytes, int maxStreams, int maxQueued, Duration maxWait, Duration stepTimeout,
		Duration platformTimeout, Duration shutdownGrace, boolean jsonLogs, String admissionPolicy,
		String routingPolicy) {

	/**
	 * Creates settings.
	 * @param name the name of the daemon
	 * @param dataCentre the data centre that the daemon runs in
	 * @param listen the address to serve callers and siblings on
	 * @param platform the address of the platform's object API
	 * @param seeds addresses of some siblings, not null
	 * @param maxBodyBytes the longest request body, in bytes
	 * @param maxStreams the number of requests that run at the same time
	 * @param maxQueued the number of requests that wait
	 * @param maxWait the longest wait from arrival to start
	 * @param stepTimeout the bound on one step of an engine
	 * @param platformTimeout the bound on one call of the object API
	 * @param shutdownGrace the time between readiness failing and the end of accepting
	 * @param jsonLogs whether log lines are JSON objects
	 * @param admissionPolicy "fair" or "fifo"
	 * @param routingPolicy "expected-time", "least-outstanding", "round-robin" or
	 * "random"
	 */
	public RouterSettings {
		seeds = List.copyOf(seeds);
	}

}
