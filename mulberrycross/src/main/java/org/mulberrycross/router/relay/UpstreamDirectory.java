package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.Address;
import org.mulberrycross.UpstreamInstance;
import org.mulberrycross.engine.EngineInstance;

/**
 * The upstreams that the platform lists. Entries that are removed during an outage of the
 * store or shortly after it are kept for a while, since live upstreams register again.
 * Confined to the control thread; not thread-safe.
 */
final class UpstreamDirectory {

	private static final Logger logger = LoggerFactory.getLogger(UpstreamDirectory.class);

	/** Time within which live upstreams register again after the store has recovered. */
	private static final Duration REREGISTRATION_TIME = Duration.ofSeconds(2);

	private final Map<String, DirectoryEntry> entries = new HashMap<>();

	/** The id of the entry that started last at each address of a service. */
	private final Map<ServiceAddress, String> idsByAddress = new HashMap<>();

	/**
	 * Start times of the instances that have announced in a response that they leave, by
	 * id. An entry of the same instance that is still listed as ready is outdated.
	 */
	private final Map<String, Long> announcedLeaving = new HashMap<>();

	/** Ids of entries whose removal was postponed because of an outage. */
	private final Set<String> postponedRemovals = new HashSet<>();

	/**
	 * Object kinds that cannot be watched. Any one of them means that the store is
	 * considered unavailable.
	 */
	private final Set<String> unavailableKinds = new HashSet<>();

	private OptionalLong availableSinceNanos = OptionalLong.empty();

	void markStoreUnavailable(String kind) {
		this.unavailableKinds.add(kind);
	}

	void markStoreAvailable(String kind, long nowNanos) {
		this.unavailableKinds.remove(kind);
		this.availableSinceNanos = OptionalLong.of(nowNanos);
	}

	// Takes back that the store was unavailable: only a connection to it was lost.
	void markConnectionReplaced(String kind) {
		this.unavailableKinds.remove(kind);
	}

	// Records that the store came back from an older copy: entries are missing or older
	// until live upstreams have registered again. An instance that leaves does not
	// return.
	void markStoreRestored(long nowNanos) {
		this.availableSinceNanos = OptionalLong.of(nowNanos);
		this.entries.values()
			.stream()
			.map(DirectoryEntry::instance)
			.filter(UpstreamInstance::leaving)
			.forEach((instance) -> this.announcedLeaving.put(instance.id(), instance.startedMillis()));
	}

	boolean isStoreAvailable() {
		return this.unavailableKinds.isEmpty();
	}

	void replaceAll(Collection<DirectoryEntry> listed, long nowNanos) {
		Set<String> listedIds = new HashSet<>();
		listed.forEach((entry) -> {
			listedIds.add(entry.instance().id());
			put(entry);
		});
		List.copyOf(this.entries.keySet()).forEach((id) -> {
			if (!listedIds.contains(id)) {
				remove(id, nowNanos);
			}
		});
	}

	// Adds or updates an entry. An address of a service belongs to the instance that
	// started last: the entry of an instance that crashed stays listed until it expires,
	// and may still be updated, after the next one has started there. Entries of other
	// services at the address have no effect, since other writers may have made them.
	void put(DirectoryEntry entry) {
		String id = entry.instance().id();
		Optional<DirectoryEntry> other = findByAddress(entry.instance().service(), entry.instance().address())
			.filter((found) -> !found.instance().id().equals(id));
		if (other.isPresent() && startedLater(other.get(), entry)) {
			return;
		}
		other.filter((found) -> startedLater(entry, found)).ifPresent((former) -> drop(former, "started again"));
		this.idsByAddress.put(ServiceAddress.of(entry), id);
		this.postponedRemovals.remove(id);
		DirectoryEntry previous = this.entries.put(id, entry);
		if (previous == null || !previous.equals(entry)) {
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

	private static boolean startedLater(DirectoryEntry left, DirectoryEntry right) {
		return left.instance().startedMillis() > right.instance().startedMillis();
	}

	// Records that an instance has announced that it leaves. This holds until its entry
	// is dropped or is that of a later start.
	void markLeaving(UpstreamInstance instance) {
		boolean listed = find(instance.id()).map((entry) -> isSameStart(entry.instance(), instance)).orElse(false);
		if (listed && this.announcedLeaving.put(instance.id(), instance.startedMillis()) == null) {
			logger.atInfo()
				.addKeyValue("upstream", instance.id())
				.addKeyValue("service", instance.service())
				.log("upstream announced that it leaves");
		}
	}

	private static boolean isSameStart(UpstreamInstance left, UpstreamInstance right) {
		return left.startedMillis() == right.startedMillis();
	}

	private boolean isLeaving(UpstreamInstance instance) {
		return instance.leaving() || Objects.equals(this.announcedLeaving.get(instance.id()), instance.startedMillis());
	}

	private void drop(DirectoryEntry entry, String reason) {
		String id = entry.instance().id();
		this.announcedLeaving.remove(id);
		this.entries.remove(id);
		this.postponedRemovals.remove(id);
		this.idsByAddress.remove(ServiceAddress.of(entry), id);
		logger.atInfo().addKeyValue("upstream", id).addKeyValue("reason", reason).log("upstream removed");
	}

	// Removes an entry, or schedules its removal during and shortly after an outage.
	void remove(String id, long nowNanos) {
		DirectoryEntry entry = this.entries.get(id);
		if (entry == null) {
			return;
		}
		if (!this.unavailableKinds.isEmpty() || isReregistrationTime(nowNanos)) {
			this.postponedRemovals.add(id);
			return;
		}
		drop(entry, "not listed");
	}

	// Removes entries that were not registered again in time after an outage.
	void removeExpired(long nowNanos) {
		if (!this.unavailableKinds.isEmpty() || isReregistrationTime(nowNanos)) {
			return;
		}
		Set.copyOf(this.postponedRemovals)
			.forEach((id) -> drop(this.entries.get(id), "not registered again after the store outage"));
	}

	// Returns whether upstreams may still register again after an outage. Their time
	// counts from the recovery of the store, since an entry that is removed later does
	// not lapse because of the outage.
	private boolean isReregistrationTime(long nowNanos) {
		return this.availableSinceNanos.isPresent()
				&& nowNanos - this.availableSinceNanos.getAsLong() < REREGISTRATION_TIME.toNanos();
	}

	// Returns the entries of a service that accept new requests.
	List<DirectoryEntry> eligibleEntries(String service) {
		return this.entries.values()
			.stream()
			.filter((entry) -> entry.instance().service().equals(service) && !isLeaving(entry.instance()))
			.toList();
	}

	// Returns the eligible engines of a service.
	List<EngineInstance> eligibleEngines(String service) {
		return eligibleEntries(service).stream().flatMap((entry) -> entry.engine().stream()).toList();
	}

	Optional<DirectoryEntry> find(String id) {
		return Optional.ofNullable(this.entries.get(id));
	}

	Optional<DirectoryEntry> findByAddress(String service, Address address) {
		return Optional.ofNullable(this.idsByAddress.get(new ServiceAddress(service, address))).map(this.entries::get);
	}

	/** An address at which a service has an instance. */
	private record ServiceAddress(String service, Address address) {

		static ServiceAddress of(DirectoryEntry entry) {
			return new ServiceAddress(entry.instance().service(), entry.instance().address());
		}

	}

}
