package org.mulberrycross.platform;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

import org.mulberrycross.operator.Configuration;

/**
 * All accepted objects of one generation. Immutable and thread-safe.
 *
 * @param generation the generation, 0 if nothing was ever accepted
 * @param revision the revision of the operators' objects that the generation is based on
 * @param objects the objects by key
 */
public record AcceptedSet(long generation, long revision, SortedMap<String, AcceptedObject> objects) {

	/**
	 * Creates a set.
	 * @param generation the generation
	 * @param revision the revision of the operators' objects
	 * @param objects the objects by key, not null
	 */
	public AcceptedSet {
		objects = Collections.unmodifiableSortedMap(new TreeMap<>(objects));
	}

	/**
	 * Returns the set without objects, for use before anything was accepted.
	 * @return the empty set, of generation 0
	 */
	public static AcceptedSet empty() {
		return new AcceptedSet(0, 0, Collections.emptySortedMap());
	}

	/**
	 * Returns the configuration that daemons apply.
	 * @return the configuration, with the generation of this set
	 */
	public Configuration configuration() {
		return Configuration.of(this.generation, this.objects.values().stream().map(AcceptedObject::object).toList());
	}

	/**
	 * Requires a set to be a valid successor of this one: its generation is higher, its
	 * revision is not lower, and no object reverts to an older version.
	 * @param next the set of the next generation, not null
	 * @throws IllegalStateException if the set is not a valid successor
	 */
	public void requireValidSuccessor(AcceptedSet next) {
		if (next.generation <= this.generation) {
			throw new IllegalStateException(
					"generation " + next.generation + " is not above generation " + this.generation);
		}
		if (next.revision < this.revision) {
			throw new IllegalStateException("generation " + next.generation + " is based on revision " + next.revision
					+ ", which is below revision " + this.revision);
		}
		next.objects.forEach((key, object) -> {
			AcceptedObject previous = this.objects.get(key);
			if (previous != null && object.version() < previous.version()) {
				throw new IllegalStateException("generation " + next.generation + " reverts " + key + " from version "
						+ previous.version() + " to version " + object.version());
			}
		});
	}

}
