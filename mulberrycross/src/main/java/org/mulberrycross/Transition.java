package org.mulberrycross;

import java.util.List;
import java.util.Objects;

/**
 * Result of a state machine step: the next state and the actions to perform. Immutable if
 * the state and the actions are.
 *
 * @param <S> the type of the state
 * @param <A> the type of the actions
 * @param state the next state, not null
 * @param actions the actions in the order in which to perform them, not null
 */
public record Transition<S, A>(S state, List<A> actions) {

	/**
	 * Creates a transition.
	 * @param state the next state, not null
	 * @param actions the actions in the order in which to perform them, not null
	 */
	public Transition {
		Objects.requireNonNull(state, "state");
		actions = List.copyOf(actions);
	}

	/**
	 * Creates a transition without actions.
	 * @param <S> the type of the state
	 * @param <A> the type of the actions
	 * @param state the next state, not null
	 * @return the transition
	 */
	public static <S, A> Transition<S, A> withoutActions(S state) {
		return new Transition<>(state, List.of());
	}

}
