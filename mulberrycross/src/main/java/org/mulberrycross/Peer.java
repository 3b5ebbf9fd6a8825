package org.mulberrycross;

import java.util.Objects;

/**
 * Names an outside party that the router talks to. Immutable and thread-safe.
 *
 * @param kind the kind of the peer, not null
 * @param name the name of the peer, not null; empty if the peer is not known by name
 */
public record Peer(Kind kind, String name) {

	/**
	 * Creates a peer.
	 * @param kind the kind of the peer, not null
	 * @param name the name of the peer, not null
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

		/** A plain service beside the engines. */
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
		 * Returns the name of the kind as it appears in messages.
		 * @return the label, in lower case
		 */
		public String label() {
			return this.label;
		}

	}

}
