package org.mulberrycross.sibling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

/**
 * The siblings that reach the upstreams, according to what they have replied lately. A
 * daemon that does not reach them itself passes its requests on to these. Not
 * thread-safe.
 */
public final class ServingSiblings {

	/** Time for which a reply counts; four periods of asking. */
	static final Duration REPLY_LIFETIME = Duration.ofSeconds(2);

	/**
	 * Maximum number of siblings that are asked at a time. Those that reply carry the
	 * requests of this daemon, so that single ones do not carry them all.
	 */
	static final int MAX_ASKED = 8;

	private final RandomGenerator random;

	private final Map<Sibling, Long> serving = new HashMap<>();

	/**
	 * Creates an object that knows of no reply.
	 * @param random the source of random numbers, not null
	 */
	public ServingSiblings(RandomGenerator random) {
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Returns the siblings to ask next: those that have replied, and others drawn at
	 * random.
	 * @param known all known siblings, not null
	 * @return at most {@link #MAX_ASKED} siblings, without duplicates
	 */
	public List<Sibling> nextAsked(Collection<Sibling> known) {
		List<Sibling> asked = new ArrayList<>(this.serving.keySet().stream().filter(known::contains).toList());
		List<Sibling> others = new ArrayList<>(known);
		others.removeAll(asked);
		while (asked.size() < MAX_ASKED && !others.isEmpty()) {
			asked.add(others.remove(this.random.nextInt(others.size())));
		}
		return asked.subList(0, Math.min(MAX_ASKED, asked.size()));
	}

	/**
	 * Records what a sibling has replied, or that it has not.
	 * @param sibling the sibling, not null
	 * @param serves whether it reaches the upstreams and takes requests of others
	 * @param nowNanos the time on the daemon's monotonic clock
	 */
	public void record(Sibling sibling, boolean serves, long nowNanos) {
		Objects.requireNonNull(sibling, "sibling");
		if (serves) {
			this.serving.put(sibling, nowNanos);
			return;
		}
		this.serving.remove(sibling);
	}

	/**
	 * Returns whether a sibling serves requests of this daemon.
	 * @param nowNanos the time on the daemon's monotonic clock
	 * @return whether one has replied so lately
	 */
	public boolean isAny(long nowNanos) {
		this.serving.values().removeIf((repliedNanos) -> nowNanos - repliedNanos > REPLY_LIFETIME.toNanos());
		return !this.serving.isEmpty();
	}

	/**
	 * Chooses the sibling for a request: of two drawn at random, the one with fewer
	 * requests of this daemon.
	 * @param excluded the names of siblings that have failed the request, not null
	 * @param requestsAt the number of requests of this daemon that are under way at a
	 * sibling, not null
	 * @param nowNanos the time on the daemon's monotonic clock
	 * @return the sibling, or empty if none serves
	 */
	public Optional<Sibling> choose(Set<String> excluded, ToIntFunction<Sibling> requestsAt, long nowNanos) {
		if (!isAny(nowNanos)) {
			return Optional.empty();
		}
		List<Sibling> candidates = new ArrayList<>(
				this.serving.keySet().stream().filter((sibling) -> !excluded.contains(sibling.name())).toList());
		candidates.sort(Comparator.comparing(Sibling::name));
		while (candidates.size() > 2) {
			candidates.remove(this.random.nextInt(candidates.size()));
		}
		return candidates.stream().min(Comparator.comparingInt(requestsAt));
	}

}
