package org.mulberrycross;

import java.util.List;
import java.util.Objects;

/**
 * Result of a decision: the next state and the actions to take. Immutable if the state
 * is.
 *
 * @param <S> the type of the state
 * @param <A> the type of the actions
 * @param state the next state, not null
 * @param actions the actions in the order in which to take them, not null
 */
public record Transition<S, A>(S state, List<A> actions) {

	/**
	 * Creates a transition.
	 * @param state the next state, not null
	 * @param actions the actions, not null
	 */
	public Transition {
		Objects.requireNonNull(state, "state");
		actions = List.copyOf(actions);
	}

	/**
	 * Returns a transition without actions.
	 * @param <S> the type of the state
	 * @param <A> the type of the actions
	 * @param state the next state, not null
	 * @return the transition
	 */
	public static <S, A> Transition<S, A> to(S state) {
		return new Transition<>(state, List.of());
	}

}
