package org.mulberrycross.engine;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.mulberrycross.PeerException;

/**
 * Finds stages to run the layers of a lost stage. Called on the thread that runs the
 * stream; implementations bound their wait.
 */
@FunctionalInterface
public interface StageReplacement {

	/**
	 * Chooses stages.
	 * @param lost the lost stage, not null
	 * @param excluded the names of engines that must not be chosen, not null
	 * @return stages that cover the lost stage's layers exactly once, in order, or empty
	 * if the available engines do not cover them
	 * @throws PeerException if no choice was made in time
	 */
	Optional<List<Stage>> replace(Stage lost, Set<String> excluded) throws PeerException;

}
