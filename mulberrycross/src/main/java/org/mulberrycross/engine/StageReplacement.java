package org.mulberrycross.engine;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.mulberrycross.PeerException;

/**
 * Chooses stages that replace a failed one. Called on the thread that runs the stream;
 * implementations limit the time that they block.
 */
@FunctionalInterface
public interface StageReplacement {

	/**
	 * Chooses the replacement of a stage.
	 * @param failedStage the stage to replace, not null
	 * @param excludedEngines the names of engines that must not be chosen, not null
	 * @return stages that cover the layers of that stage exactly once, in order, or empty
	 * if the available engines do not cover them
	 * @throws PeerException if no choice was made in time
	 */
	Optional<List<Stage>> replace(Stage failedStage, Set<String> excludedEngines) throws PeerException;

}
