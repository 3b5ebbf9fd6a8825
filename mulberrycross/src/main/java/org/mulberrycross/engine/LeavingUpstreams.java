package org.mulberrycross.engine;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Tracks upstreams that are about to stop and get no new work. An upstream is leaving as
 * soon as its configuration object, the instance list, its own load report or a sibling
 * daemon marks it so; later reports do not revoke this for the same incarnation. A source
 * that does not know the incarnation passes 0, which means the current one, or the first
 * one seen afterwards. Work in progress is not affected. Names are never removed: at the
 * design size, 210 instances a day are replaced, which takes less than 1 MB in a month.
 * Not thread-safe; confined to the control thread.
 */
public final class LeavingUpstreams {

	private static final long NOT_LEAVING = -1;

	private final Map<String, Long> incarnations = new HashMap<>();

	private final Map<String, Long> leavingIncarnations = new HashMap<>();

	/**
	 * Records the current incarnation of an upstream. An incarnation lower than one seen
	 * before is ignored.
	 * @param upstream the name of the upstream, not null
	 * @param incarnation its start time in milliseconds, 0 if unknown
	 */
	public void recordIncarnation(String upstream, long incarnation) {
		long previous = incarnation(upstream);
		this.incarnations.merge(upstream, incarnation, Math::max);
		if (previous == 0) {
			this.leavingIncarnations.computeIfPresent(upstream,
					(name, leavingIncarnation) -> (leavingIncarnation == 0) ? incarnation : leavingIncarnation);
		}
	}

	/**
	 * Records that the current incarnation of an upstream is leaving.
	 * @param upstream the name of the upstream, not null
	 * @return true if it was not leaving before
	 */
	public boolean markLeaving(String upstream) {
		return markLeaving(upstream, 0);
	}

	/**
	 * Records that an incarnation of an upstream is leaving.
	 * @param upstream the name of the upstream, not null
	 * @param incarnation its start time in milliseconds, 0 if unknown
	 * @return true if this call makes the upstream leaving; false if it already was, or a
	 * later incarnation is running
	 */
	public boolean markLeaving(String upstream, long incarnation) {
		boolean wasLeaving = isLeaving(upstream);
		this.leavingIncarnations.merge(upstream, (incarnation != 0) ? incarnation : incarnation(upstream), Math::max);
		return !wasLeaving && isLeaving(upstream);
	}

	/**
	 * Returns whether an upstream gets no new work.
	 * @param upstream the name of the upstream, not null
	 * @return true if its current incarnation or a later one is leaving
	 */
	public boolean isLeaving(String upstream) {
		return this.leavingIncarnations.getOrDefault(upstream, NOT_LEAVING) >= incarnation(upstream);
	}

	/**
	 * Returns the leaving incarnations, which are sent to sibling daemons.
	 * @return the highest leaving incarnation by the name of the upstream, unmodifiable
	 */
	public Map<String, Long> highestLeavingIncarnations() {
		return Collections.unmodifiableMap(this.leavingIncarnations);
	}

	/**
	 * Returns the upstreams that get no new work.
	 * @return their names, unmodifiable
	 */
	public Set<String> leavingNames() {
		return this.leavingIncarnations.keySet()
			.stream()
			.filter(this::isLeaving)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Returns the highest incarnation seen of an upstream.
	 * @param upstream the name of the upstream, not null
	 * @return its start time in milliseconds, 0 if unknown
	 */
	public long incarnation(String upstream) {
		return this.incarnations.getOrDefault(upstream, 0L);
	}

}
