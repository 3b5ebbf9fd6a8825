package org.mulberrycross.engine;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Decides which upstreams get no new work. An upstream is leaving as soon as its object,
 * the instance list, its own load report or a sibling says so, and stays so for its
 * incarnation whatever comes later. A source that does not know the incarnation gives 0,
 * which means the present one, or the first one that is seen afterwards. Work in progress
 * is not affected. Names are never forgotten: 210 instances a day are replaced at the
 * size to design for, which is under 1 MB in a month. Not thread-safe; owned by the
 * control thread.
 */
public final class LeavingUpstreams {

	private static final long NEVER = -1;

	private final Map<String, Long> present = new HashMap<>();

	private final Map<String, Long> left = new HashMap<>();

	/**
	 * Notes that an upstream runs with an incarnation. Lower ones than before are
	 * ignored.
	 * @param upstream the name of the upstream, not null
	 * @param incarnation its start time in milliseconds, 0 if not known
	 */
	public void seen(String upstream, long incarnation) {
		long before = incarnation(upstream);
		this.present.merge(upstream, incarnation, Math::max);
		if (before == 0) {
			this.left.computeIfPresent(upstream, (name, leaving) -> (leaving == 0) ? incarnation : leaving);
		}
	}

	/**
	 * Notes that the present incarnation of an upstream is leaving.
	 * @param upstream the name of the upstream, not null
	 * @return whether it was not leaving before
	 */
	public boolean left(String upstream) {
		return left(upstream, 0);
	}

	/**
	 * Notes that an incarnation of an upstream is leaving.
	 * @param upstream the name of the upstream, not null
	 * @param incarnation its start time in milliseconds, 0 if not known
	 * @return whether that makes the upstream leaving, which it was not before
	 */
	public boolean left(String upstream, long incarnation) {
		boolean before = leaving(upstream);
		this.left.merge(upstream, (incarnation != 0) ? incarnation : incarnation(upstream), Math::max);
		return !before && leaving(upstream);
	}

	/**
	 * Returns whether an upstream gets no new work.
	 * @param upstream the name of the upstream, not null
	 * @return true if its present incarnation or a later one is leaving
	 */
	public boolean leaving(String upstream) {
		return this.left.getOrDefault(upstream, NEVER) >= incarnation(upstream);
	}

	/**
	 * Returns what other daemons should know.
	 * @return the highest leaving incarnation by the name of the upstream, not modifiable
	 */
	public Map<String, Long> notices() {
		return Collections.unmodifiableMap(this.left);
	}

	/**
	 * Returns the upstreams that get no new work.
	 * @return their names, not modifiable
	 */
	public Set<String> names() {
		return this.left.keySet().stream().filter(this::leaving).collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Returns the highest incarnation seen of an upstream.
	 * @param upstream the name of the upstream, not null
	 * @return its start time in milliseconds, 0 if not known
	 */
	public long incarnation(String upstream) {
		return this.present.getOrDefault(upstream, 0L);
	}

}
