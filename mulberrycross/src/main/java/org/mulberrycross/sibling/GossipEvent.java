package org.mulberrycross.sibling;

/**
 * News from another daemon that the rest of the control state acts on. Implementations
 * are immutable and thread-safe.
 */
public sealed interface GossipEvent {

	/**
	 * A sibling has a higher configuration generation in force.
	 *
	 * @param generation the generation
	 * @param from the sibling, which can be asked for it
	 */
	record NewerGeneration(long generation, Member from) implements GossipEvent {

	}

	/**
	 * An upstream is leaving.
	 *
	 * @param notice the upstream and its incarnation
	 */
	record UpstreamLeaving(LeavingNotice notice) implements GossipEvent {

	}

	/**
	 * The health or load of an engine was reported.
	 *
	 * @param report the report
	 */
	record EngineReported(EngineReport<?> report) implements GossipEvent {

	}

}
