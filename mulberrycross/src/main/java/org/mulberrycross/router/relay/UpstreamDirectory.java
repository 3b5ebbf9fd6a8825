package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.Address;
import org.mulberrycross.engine.EngineInstance;
import org.mulberrycross.engine.EngineProfile;

/**
 * The upstreams that the platform lists. Entries that lapse around an outage of the store
 * stay for a while, since upstreams that live come back then. Owned by the control
 * thread; not thread-safe.
 */
final class UpstreamDirectory {

	private static final Logger logger = LoggerFactory.getLogger(UpstreamDirectory.class);

	/**
	 * Time after the store's return within which entries of living upstreams are back.
	 */
	private static final Duration RETURN_TIME = Duration.ofSeconds(2);

	private final Map<String, DirectoryEntry> entries = new HashMap<>();

	/**
	 * Entries that lapsed around an outage, with the time at which they count as gone.
	 */
	private final Map<String, Long> lapsed = new HashMap<>();

	/**
	 * Kinds that cannot be followed; the loss of any one is taken for an outage of the
	 * store.
	 */
	private final Set<String> lostKinds = new HashSet<>();

	private OptionalLong regainedNanos = OptionalLong.empty();

	void storeLost(String kind) {
		this.lostKinds.add(kind);
	}

	void storeRegained(String kind, long nowNanos) {
		this.lostKinds.remove(kind);
		this.regainedNanos = OptionalLong.of(nowNanos);
	}

	void replaceAll(Collection<DirectoryEntry> listed, long nowNanos) {
		Set<String> ids = new HashSet<>();
		listed.forEach((entry) -> {
			ids.add(entry.instance().id());
			put(entry);
		});
		List.copyOf(this.entries.keySet()).forEach((id) -> {
			if (!ids.contains(id)) {
				remove(id, nowNanos);
			}
		});
	}

	void put(DirectoryEntry entry) {
		String id = entry.instance().id();
		this.lapsed.remove(id);
		DirectoryEntry before = this.entries.put(id, entry);
		if (before == null || !before.equals(entry)) {
			logger.atInfo()
				.addKeyValue("upstream", id)
				.addKeyValue("service", entry.instance().service())
				.addKeyValue("address", entry.instance().address())
				.addKeyValue("leaving", entry.instance().leaving())
				.addKeyValue("layers",
						entry.engine().flatMap((engine) -> engine.layers()).map(Object::toString).orElse("none"))
				.log("upstream listed");
		}
	}

	void remove(String id, long nowNanos) {
		if (!this.entries.containsKey(id)) {
			return;
		}
		boolean justBack = this.regainedNanos.isPresent()
				&& nowNanos - this.regainedNanos.getAsLong() < RETURN_TIME.toNanos();
		boolean outage = !this.lostKinds.isEmpty() || justBack;
		if (outage) {
			this.lapsed.putIfAbsent(id, nowNanos + RETURN_TIME.toNanos());
			return;
		}
		this.entries.remove(id);
		this.lapsed.remove(id);
		logger.atInfo().addKeyValue("upstream", id).log("upstream gone");
	}

	// Removes entries that lapsed around an outage and did not come back.
	void expire(long nowNanos) {
		if (!this.lostKinds.isEmpty() || this.lapsed.isEmpty()) {
			return;
		}
		long end = this.regainedNanos.orElse(nowNanos) + RETURN_TIME.toNanos();
		Map.copyOf(this.lapsed).forEach((id, until) -> {
			if (nowNanos - Math.max(until, end) >= 0) {
				this.lapsed.remove(id);
				this.entries.remove(id);
				logger.atInfo().addKeyValue("upstream", id).log("upstream did not come back after the outage");
			}
		});
	}

	// Returns the entries of a service that take new work.
	List<DirectoryEntry> serving(String service) {
		return this.entries.values()
			.stream()
			.filter((entry) -> entry.instance().service().equals(service) && !entry.instance().leaving())
			.toList();
	}

	// Returns the engines that serve, by the services that run a model.
	PlacementView placementView(Map<String, EngineProfile> profiles) {
		Map<String, List<EngineInstance>> engines = new HashMap<>();
		profiles.keySet()
			.forEach((service) -> engines.put(service,
					serving(service).stream().flatMap((entry) -> entry.engine().stream()).toList()));
		return new PlacementView(profiles, engines);
	}

	Optional<DirectoryEntry> at(Address address) {
		return this.entries.values().stream().filter((entry) -> entry.instance().address().equals(address)).findFirst();
	}

}
