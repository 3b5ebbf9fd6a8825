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
 * Takes the place of the platform's load balancer: checks readiness at a fixed interval
 * and hands out the ready daemons in turn. Thread-safe.
 */
final class Balancer implements AutoCloseable {

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

	private static final Duration CHECK_TIMEOUT = Duration.ofSeconds(1);

	private final HttpClient client;

	private final List<Address> targets;

	private final AtomicInteger turn = new AtomicInteger();

	private final ScheduledExecutorService checks = Executors.newSingleThreadScheduledExecutor();

	private volatile List<Address> ready;

	/**
	 * Starts to check readiness.
	 * @param client the HTTP client, not null; not closed by this class
	 * @param targets the daemons, not empty
	 */
	Balancer(HttpClient client, List<Address> targets) {
		this.client = client;
		this.targets = List.copyOf(targets);
		this.ready = this.targets;
		this.checks.scheduleWithFixedDelay(this::check, 0, CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the daemon to send the next request to.
	 * @return a daemon that was ready at the last check, or any if none was
	 */
	Address next() {
		List<Address> current = this.ready;
		return current.get(Math.floorMod(this.turn.getAndIncrement(), current.size()));
	}

	private void check() {
		List<Address> passed = this.targets.stream().filter(this::isReady).toList();
		this.ready = passed.isEmpty() ? this.targets : passed;
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
		this.checks.shutdownNow();
	}

}
