package org.mulberrycross;

import java.util.Objects;

/**
 * External party that the router communicates with. Immutable and thread-safe.
 *
 * @param kind the kind of the peer, not null
 * @param name the name of the peer, not null; empty if it is unknown
 */
public record Peer(Kind kind, String name) {

	/**
	 * Creates a peer.
	 * @param kind the kind of the peer, not null
	 * @param name the name of the peer, not null; empty if it is unknown
	 */
	public Peer {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(name, "name");
	}

	@Override
	public String toString() {
		return this.name.isEmpty() ? this.kind.label() : this.kind.label() + " " + this.name;
	}

	/**
	 * Kinds of peers. Each has a package of its own.
	 */
	public enum Kind {

		/** A client that sends requests. */
		CALLER("caller"),

		/** A model engine. */
		ENGINE("engine"),

		/** A plain HTTP service that is not a model engine. */
		SERVICE("service"),

		/** The platform's object API and instance list. */
		PLATFORM("platform"),

		/** The store that engines load weights from. */
		WEIGHT_STORE("weight store"),

		/** Another router daemon. */
		SIBLING("sibling"),

		/** A person or tool that edits objects. */
		OPERATOR("operator");

		private final String label;

		Kind(String label) {
			this.label = label;
		}

		/**
		 * Returns the name of the kind as it appears in error messages.
		 * @return the label in lower case
		 */
		public String label() {
			return this.label;
		}

	}

}
