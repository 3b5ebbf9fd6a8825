package org.mulberrycross.sibling;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.mulberrycross.Address;

/**
 * The daemons listed in the platform's store, and the choice of a hub among those of a
 * data centre that have not failed lately. Thread-safe.
 */
public final class SiblingDirectory implements DataCentreHub {

	/** Time for which a daemon is avoided after its first failure. */
	static final Duration FIRST_SUSPICION = Duration.ofSeconds(3);

	/**
	 * Maximum time for which a daemon is avoided. Entries of daemons that were replaced
	 * stay in the store, and each is tried again once in this time.
	 */
	static final Duration MAX_SUSPICION = Duration.ofSeconds(60);

	private final Sibling self;

	private final int minDaemons;

	private final Map<Address, Suspicion> suspicions = new HashMap<>();

	private Map<String, Sibling> siblings = Map.of();

	private boolean enabled;

	/**
	 * Creates a directory that knows no siblings.
	 * @param self the description of this daemon, not null
	 * @param minDaemons the number of daemons below which there is no hub
	 */
	public SiblingDirectory(Sibling self, int minDaemons) {
		this.self = Objects.requireNonNull(self, "self");
		this.minDaemons = minDaemons;
	}

	/**
	 * Returns the description of this daemon.
	 * @return the description, not null
	 */
	public Sibling self() {
		return this.self;
	}

	/**
	 * Replaces the known siblings.
	 * @param listed the daemons that are listed with an address; this daemon is ignored
	 * @param daemonCount the number of all daemons, including those without an address
	 */
	public synchronized void update(Collection<Sibling> listed, int daemonCount) {
		this.siblings = listed.stream()
			.filter((sibling) -> !sibling.name().equals(this.self.name()))
			.collect(Collectors.toMap(Sibling::name, Function.identity(), (first, second) -> second));
		this.enabled = daemonCount >= this.minDaemons;
		Set<Address> addresses = this.siblings.values().stream().map(Sibling::address).collect(Collectors.toSet());
		this.suspicions.keySet().retainAll(addresses);
	}

	/**
	 * Returns whether there are enough daemons for messages between them.
	 * @return whether the fleet is large enough and a sibling with an address is known
	 */
	public synchronized boolean isEnabled() {
		return this.enabled && !this.siblings.isEmpty();
	}

	/**
	 * Returns all siblings that are listed with an address.
	 * @return the siblings, without this daemon
	 */
	public synchronized Collection<Sibling> siblings() {
		return this.siblings.values();
	}

	/**
	 * Finds a sibling by its name.
	 * @param name the name, not null
	 * @return the sibling, or empty if none is listed with an address by this name
	 */
	public synchronized Optional<Sibling> find(String name) {
		return Optional.ofNullable(this.siblings.get(name));
	}

	/**
	 * Returns the data centres of the other daemons, without that of this daemon.
	 * @return the names in ascending order
	 */
	public synchronized List<String> otherDataCentres() {
		Set<String> names = this.siblings.values()
			.stream()
			.map(Sibling::dataCentre)
			.collect(Collectors.toCollection(TreeSet::new));
		names.remove(this.self.dataCentre());
		return List.copyOf(names);
	}

	@Override
	public Optional<Address> address(long nowNanos) {
		return hub(this.self.dataCentre(), nowNanos);
	}

	/**
	 * Returns the address of the daemon that this daemon takes for the hub of a data
	 * centre.
	 * @param dataCentre the data centre, not null
	 * @param nowNanos the time on the daemon's monotonic clock
	 * @return the address, or empty if this daemon is the hub itself, the fleet is too
	 * small or all daemons of the data centre have failed lately
	 */
	public synchronized Optional<Address> hub(String dataCentre, long nowNanos) {
		if (!this.enabled) {
			return Optional.empty();
		}
		Set<String> names = this.siblings.values()
			.stream()
			.filter((sibling) -> sibling.dataCentre().equals(dataCentre))
			.filter((sibling) -> !isSuspected(sibling.address(), nowNanos))
			.map(Sibling::name)
			.collect(Collectors.toSet());
		if (dataCentre.equals(this.self.dataCentre())) {
			names.add(this.self.name());
		}
		return Rendezvous.owner(dataCentre, names).map(this.siblings::get).map(Sibling::address);
	}

	private boolean isSuspected(Address address, long nowNanos) {
		Suspicion suspicion = this.suspicions.get(address);
		return suspicion != null && nowNanos - suspicion.endNanos() < 0;
	}

	@Override
	public synchronized void recordFailure(Address hub, long nowNanos) {
		Suspicion last = this.suspicions.get(hub);
		if (last != null && nowNanos - last.endNanos() < 0) {
			return;
		}
		Duration duration = (last != null) ? last.duration().multipliedBy(2) : FIRST_SUSPICION;
		if (duration.compareTo(MAX_SUSPICION) > 0) {
			duration = MAX_SUSPICION;
		}
		this.suspicions.put(hub, new Suspicion(duration, nowNanos + duration.toNanos()));
	}

	/**
	 * Records that a daemon replied, so that its next failure counts as the first.
	 * @param address the address of the daemon, not null
	 */
	public synchronized void recordSuccess(Address address) {
		this.suspicions.remove(address);
	}

	/** How long a daemon is avoided after a failure. */
	private record Suspicion(Duration duration, long endNanos) {

	}

}
