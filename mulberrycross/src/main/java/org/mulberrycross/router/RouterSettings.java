package org.mulberrycross.router;

import java.time.Duration;
import java.util.List;

import org.mulberrycross.Address;

/**
 * Settings of a router daemon. Immutable and thread-safe.
 *
 * @param name the name of the daemon, unique among all daemons
 * @param dataCentre the data centre that the daemon runs in
 * @param listenAddress the address that serves callers and siblings
 * @param platformAddress the address of the platform's object API
 * @param seeds addresses of siblings to contact first, may be empty
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param maxRunningRequests the maximum number of requests that run concurrently
 * @param maxQueuedRequests the maximum number of requests that wait to run
 * @param maxQueueWait the maximum time from the arrival of a request to its start
 * @param stepTimeout the maximum timeout of one step of an engine
 * @param platformTimeout the timeout of one call of the object API
 * @param shutdownGrace the time at shutdown in which requests are still accepted after
 * the readiness check has begun to fail
 * @param jsonLogs whether log lines are JSON objects
 * @param admissionPolicy "fair" or "fifo"
 * @param routingPolicy "expected-time", "least-outstanding", "round-robin" or "random"
 */
public record RouterSettings(String name, String dataCentre, Address listenAddress, Address platformAddress,
		List<Address> seeds, int maxBodyBytes, int maxRunningRequests, int maxQueuedRequests, Duration maxQueueWait,
		Duration stepTimeout, Duration platformTimeout, Duration shutdownGrace, boolean jsonLogs,
		String admissionPolicy, String routingPolicy) {

	/**
	 * Creates settings.
	 * @param name the name of the daemon, unique among all daemons
	 * @param dataCentre the data centre that the daemon runs in
	 * @param listenAddress the address that serves callers and siblings
	 * @param platformAddress the address of the platform's object API
	 * @param seeds addresses of siblings to contact first, not null
	 * @param maxBodyBytes the maximum size of a request body, in bytes
	 * @param maxRunningRequests the maximum number of requests that run concurrently
	 * @param maxQueuedRequests the maximum number of requests that wait to run
	 * @param maxQueueWait the maximum time from the arrival of a request to its start
	 * @param stepTimeout the maximum timeout of one step of an engine
	 * @param platformTimeout the timeout of one call of the object API
	 * @param shutdownGrace the time at shutdown in which requests are still accepted
	 * after the readiness check has begun to fail
	 * @param jsonLogs whether log lines are JSON objects
	 * @param admissionPolicy "fair" or "fifo"
	 * @param routingPolicy "expected-time", "least-outstanding", "round-robin", "random"
	 */
	public RouterSettings {
		seeds = List.copyOf(seeds);
	}

}
