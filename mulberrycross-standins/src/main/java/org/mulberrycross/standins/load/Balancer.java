package org.mulberrycross.standins.load;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.mulberrycross.Address;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;

/**
 * Stand-in for the platform's load balancer: checks the readiness of the daemons with a
 * fixed delay and selects among the ready ones round-robin. Thread-safe.
 */
final class Balancer implements AutoCloseable {

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

	private static final Duration CHECK_TIMEOUT = Duration.ofSeconds(1);

	private final HttpClient client;

	private final List<Address> targets;

	private final AtomicInteger nextIndex = new AtomicInteger();

	private final ScheduledExecutorService checkScheduler = Executors.newSingleThreadScheduledExecutor();

	private volatile List<Address> readyTargets;

	/**
	 * Starts the readiness checks. All daemons count as ready until the first check ends.
	 * @param client the HTTP client, not null; the caller closes it
	 * @param targets the daemons, not empty
	 */
	Balancer(HttpClient client, List<Address> targets) {
		this.client = client;
		this.targets = List.copyOf(targets);
		this.readyTargets = this.targets;
		this.checkScheduler.scheduleWithFixedDelay(this::checkReadiness, 0, CHECK_INTERVAL.toMillis(),
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the daemon to send the next request to.
	 * @return a daemon that was ready at the last check, or any daemon if none was
	 */
	Address nextTarget() {
		List<Address> candidates = this.readyTargets;
		return candidates.get(Math.floorMod(this.nextIndex.getAndIncrement(), candidates.size()));
	}

	private void checkReadiness() {
		List<Address> passing = this.targets.stream().filter(this::isReady).toList();
		this.readyTargets = passing.isEmpty() ? this.targets : passing;
	}

	private boolean isReady(Address target) {
		try {
			return this.client
				.send(HttpCall.get(Step.PROBE, new Peer(Peer.Kind.SIBLING, target.toString()), target, "/readyz",
						CHECK_TIMEOUT))
				.isSuccess();
		}
		catch (PeerException ex) {
			return false;
		}
	}

	@Override
	public void close() {
		this.checkScheduler.shutdownNow();
	}

}
