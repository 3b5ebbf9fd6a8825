package org.mulberrycross.sibling;

/**
 * New information from another daemon that the caller of {@link Gossip} has to act on.
 * Implementations are immutable and thread-safe.
 */
public sealed interface GossipEvent {

	/**
	 * A sibling has a higher configuration generation in force.
	 *
	 * @param generation the generation in force at the sibling
	 * @param sibling the sibling, from which the configuration can be read
	 */
	record NewerGeneration(long generation, Member sibling) implements GossipEvent {

	}

	/**
	 * An upstream is leaving and must not receive new work.
	 *
	 * @param notice the upstream and its incarnation
	 */
	record UpstreamLeaving(LeavingNotice notice) implements GossipEvent {

	}

	/**
	 * A health or load report was received that is newer than the previous one.
	 *
	 * @param report the received report
	 */
	record EngineReported(EngineReport<?> report) implements GossipEvent {

	}

}
