package org.mulberrycross;

import java.util.OptionalLong;

/**
 * Position in the history of the object API. The store gives its revisions out again, for
 * other contents, when it comes back from an older copy, and begins a new era each time.
 * Revisions of two eras say nothing about each other. Immutable and thread-safe.
 *
 * @param era the era, empty if the store names none, not null
 * @param revision the revision within the era
 */
public record StorePosition(OptionalLong era, long revision) {

	/**
	 * Returns a position in a store that names no eras.
	 * @param revision the revision
	 * @return the position
	 */
	public static StorePosition of(long revision) {
		return new StorePosition(OptionalLong.empty(), revision);
	}

	/**
	 * Returns a position in an era.
	 * @param era the era
	 * @param revision the revision
	 * @return the position
	 */
	public static StorePosition of(long era, long revision) {
		return new StorePosition(OptionalLong.of(era), revision);
	}

	/**
	 * Returns whether the revisions of this and another position can be compared.
	 * @param other the other position, not null
	 * @return true if both have the same era or none
	 */
	public boolean isSameEra(StorePosition other) {
		return this.era.equals(other.era);
	}

	/**
	 * Returns whether the era of this position is known to have begun after that of
	 * another one.
	 * @param other the other position, not null
	 * @return true if both name an era and that of this position is higher
	 */
	public boolean isLaterEra(StorePosition other) {
		return this.era.isPresent() && other.era.isPresent() && this.era.getAsLong() > other.era.getAsLong();
	}

	/**
	 * Returns whether all that is known at this position is known at another one.
	 * @param other the other position, not null
	 * @return true if both have the same era or none, and the revision of this position
	 * is not higher
	 */
	public boolean isCoveredBy(StorePosition other) {
		return isSameEra(other) && this.revision <= other.revision;
	}

	/**
	 * Returns the position of another revision of the same era.
	 * @param otherRevision the revision
	 * @return the position
	 */
	public StorePosition withRevision(long otherRevision) {
		return new StorePosition(this.era, otherRevision);
	}

	/**
	 * Returns the text for logs, such as {@code 3:1207}.
	 * @return the era, empty if there is none, a colon and the revision
	 */
	@Override
	public String toString() {
		return (this.era.isPresent() ? Long.toString(this.era.getAsLong()) : "") + ":" + this.revision;
	}

}
