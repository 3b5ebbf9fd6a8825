package org.mulberrycross.platform;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

import org.mulberrycross.operator.Configuration;

/**
 * All accepted objects of one generation. Immutable and thread-safe.
 *
 * @param generation the generation, 0 if nothing was ever accepted
 * @param revision the revision of the operators' objects that the generation was decided
 * on
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
	 * Returns the set in which nothing was ever accepted.
	 * @return the empty set, of generation 0
	 */
	public static AcceptedSet empty() {
		return new AcceptedSet(0, 0, Collections.emptySortedMap());
	}

	/**
	 * Returns the configuration that daemons put in force.
	 * @return the configuration
	 */
	public Configuration configuration() {
		return Configuration.of(this.generation, this.objects.values().stream().map(AcceptedObject::object).toList());
	}

	/**
	 * Asserts that a set may follow this one: the generation and the revision do not
	 * decrease and no object goes back to an older version.
	 * @param next the set that is to follow, not null
	 * @throws IllegalStateException if it may not follow
	 */
	public void assertMayBeFollowedBy(AcceptedSet next) {
		if (next.generation <= this.generation) {
			throw new IllegalStateException(
					"generation " + next.generation + " does not follow generation " + this.generation);
		}
		if (next.revision < this.revision) {
			throw new IllegalStateException("generation " + next.generation + " was decided on revision "
					+ next.revision + ", which is before " + this.revision);
		}
		next.objects.forEach((key, object) -> {
			AcceptedObject known = this.objects.get(key);
			if (known != null && object.version() < known.version()) {
				throw new IllegalStateException("generation " + next.generation + " takes " + key + " from version "
						+ known.version() + " back to " + object.version());
			}
		});
	}

}
