package org.mulberrycross.engine;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds the parts of prompts, and the whole requests, that crash engines. A part is
 * suspected after several engines, one after the other, were lost with requests that have
 * it and that they had not begun to answer. An answer that begins clears all parts of its
 * request. The fingerprint of a request counts as a part that only the request and its
 * repetitions have. Not thread-safe; confined to the control thread.
 */
public final class CrashAttribution {

	private static final Logger logger = LoggerFactory.getLogger(CrashAttribution.class);

	/**
	 * Number of consecutive losses from which a part is suspected. One engine that
	 * crashes by itself, and the retry of what ran on it, raises no suspicion.
	 */
	private static final int SUSPECTED_FROM = 2;

	/**
	 * The same for a part with which a request began within {@link #RECENT}, which
	 * engines that crash by themselves explain better.
	 */
	private static final int RECENTLY_BEGUN_SUSPECTED_FROM = 3;

	/**
	 * Number of consecutive losses from which a whole request is suspected, whatever else
	 * explains them. Callers lose less by one refused request than by a fourth engine.
	 */
	private static final int REQUEST_SUSPECTED_REGARDLESS_FROM = 3;

	/**
	 * Start of the fingerprint of a whole request, which no id of a prompt part has.
	 */
	public static final String REQUEST_PREFIX = "request-";

	/**
	 * Maximum number of parts that explain the same losses equally well. With more of
	 * them, the engines were probably lost for another reason.
	 */
	private static final int MAX_EQUAL_EXPLANATIONS = 4;

	/**
	 * Maximum number of consecutive losses that are asked for. Each loss within
	 * {@link #OTHER_LOSSES_WINDOW} that a part cannot explain asks for one more: while
	 * engines crash by themselves, some request meets two or three of them.
	 */
	private static final int SUSPECTED_REGARDLESS_FROM = 5;

	/**
	 * Number of engines that count as two losses in a row even if they were lost at the
	 * same moment, as when many requests with a part come at once.
	 */
	private static final int MANY_ENGINES = 5;

	private static final Duration OTHER_LOSSES_WINDOW = Duration.ofSeconds(10);

	/**
	 * Time after which all daemons have told what they know of a loss. Until then, a loss
	 * that a part seems not to explain does not speak for it.
	 */
	private static final Duration LOSS_REPORT_TIME = Duration.ofMillis(500);

	/** Time for which an answer that began speaks for the parts of its request. */
	private static final Duration RECENT = Duration.ofMinutes(1);

	/**
	 * Time without a trial after the second loss; an engine that restarted holds layers
	 * again within it.
	 */
	private static final Duration INITIAL_HOLD = Duration.ofSeconds(5);

	/** Factor of the hold for each further loss. */
	private static final int HOLD_FACTOR = 4;

	/** Maximum time without a trial, after which a corrected model is noticed. */
	private static final Duration MAX_HOLD = Duration.ofMinutes(10);

	/** Time without a loss after which the losses before are forgotten. */
	public static final Duration RETENTION = Duration.ofHours(1);

	/** Maximum numbers of parts that are remembered; the oldest are forgotten first. */
	private static final int MAX_SUSPECTS = 1000;

	private static final int MAX_LOST_ENGINES = 1000;

	private static final int MAX_BEGUN_PARTS = 10_000;

	private final Map<String, Suspect> suspects = new LinkedHashMap<>();

	/** When each engine was lost, the first one first. */
	private final Map<String, Long> lostEngineNanos = new LinkedHashMap<>();

	private final Map<String, Long> lastBegunNanos = new LinkedHashMap<>();

	/**
	 * Returns whether a part is the fingerprint of a whole request.
	 * @param part the part, not null
	 * @return false if it is a part of prompts
	 */
	public static boolean isRequest(String part) {
		return part.startsWith(REQUEST_PREFIX);
	}

	/**
	 * Returns whether any engine was lost with a part that was not cleared since.
	 * @return false if no request can be suspected and none can be cleared
	 */
	public boolean hasSuspects() {
		return !this.suspects.isEmpty();
	}

	/**
	 * Returns the number of consecutive losses by part.
	 * @param parts the parts, not null
	 * @return the numbers of those parts for which there is one
	 */
	public Map<String, Integer> crashCounts(List<String> parts) {
		if (this.suspects.isEmpty()) {
			return Map.of();
		}
		Map<String, Integer> counts = new LinkedHashMap<>();
		parts.forEach((part) -> {
			Suspect suspect = this.suspects.get(part);
			if (suspect != null) {
				counts.put(part, suspect.crashCount);
			}
		});
		return counts;
	}

	/**
	 * Returns whether an answer to a request with a part has begun since a time.
	 * @param part the part, not null
	 * @param sinceNanos the monotonic time in nanoseconds
	 * @return true if one began at this time or later
	 */
	public boolean hasBegunSince(String part, long sinceNanos) {
		Long begunNanos = this.lastBegunNanos.get(part);
		return begunNanos != null && begunNanos - sinceNanos >= 0;
	}

	/**
	 * Records an event of this or another daemon. An event that is recorded again has no
	 * further effect.
	 * @param event the event, not null
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void record(CrashEvent event, long nowNanos) {
		Objects.requireNonNull(event, "event");
		if (event instanceof CrashEvent.EngineLost lost) {
			lost.candidates().forEach((candidate) -> recordLoss(lost.engineId(), candidate, nowNanos));
		}
		else if (event instanceof CrashEvent.PartBegun begun) {
			markBegun(begun.part(), nowNanos);
		}
		else if (event instanceof CrashEvent.TrialClaimed trial) {
			Suspect suspect = this.suspects.get(trial.part());
			if (suspect != null && suspect.crashCount == trial.crashCount()) {
				suspect.heldSinceNanos = nowNanos;
			}
		}
	}

	private void recordLoss(String engineId, CrashCandidate candidate, long nowNanos) {
		this.lostEngineNanos.putIfAbsent(engineId, nowNanos);
		removeOldest(this.lostEngineNanos, MAX_LOST_ENGINES);
		Set<String> parts = candidate.crashNumbers().keySet();
		candidate.crashNumbers().forEach((part, number) -> {
			Suspect suspect = this.suspects.computeIfAbsent(part, (key) -> new Suspect(parts));
			if (suspect.engineIds.add(engineId)) {
				suspect.heldSinceNanos = nowNanos;
			}
			suspect.companions.retainAll(parts);
			suspect.companions.remove(part);
			if (number > suspect.crashCount) {
				suspect.crashCount = number;
				logger.atInfo()
					.addKeyValue("part", part)
					.addKeyValue("losses", number)
					.addKeyValue("upstream", engineId)
					.addKeyValue("always_with", suspect.companions)
					.log("engine lost before it began a request with a prompt part");
			}
		});
		removeOldest(this.suspects, MAX_SUSPECTS);
	}

	/**
	 * Records that an engine began to answer a request.
	 * @param parts the parts of the request's prompt, not null
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the parts that were cleared of losses, which other daemons should know; not
	 * a whole request after one loss, with which no daemon suspects it
	 */
	public List<String> recordBegun(List<String> parts, long nowNanos) {
		Map<String, Integer> before = crashCounts(parts);
		return parts.stream()
			.filter((part) -> markBegun(part, nowNanos))
			.filter((part) -> !isRequest(part) || before.get(part) >= SUSPECTED_FROM)
			.toList();
	}

	private boolean markBegun(String part, long nowNanos) {
		// Removed first, so that the order of the map is that of the last use.
		this.lastBegunNanos.remove(part);
		this.lastBegunNanos.put(part, nowNanos);
		removeOldest(this.lastBegunNanos, MAX_BEGUN_PARTS);
		Suspect cleared = this.suspects.remove(part);
		if (cleared == null) {
			return false;
		}
		this.suspects.values().forEach((suspect) -> suspect.companions.remove(part));
		logger.atInfo()
			.addKeyValue("part", part)
			.addKeyValue("losses", cleared.crashCount)
			.log("prompt part cleared, a request with it began");
		return true;
	}

	private static void removeOldest(Map<String, ?> map, int maxSize) {
		while (map.size() > maxSize) {
			map.remove(map.keySet().iterator().next());
		}
	}

	/**
	 * Returns how long requests with a suspected part are refused before a trial.
	 * @param crashCount the number of losses in a row
	 * @return the time from the last loss or trial to the next trial
	 */
	public static Duration holdAfter(int crashCount) {
		Duration hold = INITIAL_HOLD;
		for (int i = SUSPECTED_FROM; i < crashCount && hold.compareTo(MAX_HOLD) < 0; i++) {
			hold = hold.multipliedBy(HOLD_FACTOR);
		}
		return (hold.compareTo(MAX_HOLD) < 0) ? hold : MAX_HOLD;
	}

	/**
	 * Returns the suspicion that a request crashes engines.
	 * @param parts the parts of the request's prompt, not null
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the suspicion with the longest time until a trial, or empty if there is
	 * none
	 */
	public Optional<CrashSuspicion> suspicion(List<String> parts, long nowNanos) {
		if (this.suspects.isEmpty()) {
			return Optional.empty();
		}
		return parts.stream()
			.filter((part) -> isSuspected(part, parts, nowNanos))
			.map((part) -> new CrashSuspicion(part, this.suspects.get(part).crashCount,
					this.suspects.get(part).untilTrial(nowNanos)))
			.max(Comparator.comparing(CrashSuspicion::untilTrial));
	}

	// Parts that were always lost together are suspected only together: a request with
	// one of them alone shows which of them it is.
	private boolean isSuspected(String part, List<String> parts, long nowNanos) {
		Suspect suspect = this.suspects.get(part);
		if (suspect == null || suspect.lossesInARow() < SUSPECTED_FROM
				|| nowNanos - suspect.heldSinceNanos >= RETENTION.toNanos()) {
			return false;
		}
		if (isRequest(part) && suspect.crashCount >= REQUEST_SUSPECTED_REGARDLESS_FROM) {
			return true;
		}
		if (!hasCompanions(part, suspect, parts, nowNanos)
				|| suspect.lossesInARow() < threshold(part, suspect, nowNanos)) {
			return false;
		}
		int equalExplanations = 0;
		for (Map.Entry<String, Suspect> other : this.suspects.entrySet()) {
			// A request with this part has its companions too, and is refused for all.
			boolean separate = !other.getKey().equals(part) && !suspect.companions.contains(other.getKey());
			if (!separate || !other.getValue().engineIds.containsAll(suspect.engineIds)) {
				continue;
			}
			if (isNarrower(other.getKey(), part, nowNanos) || explainsBetter(other.getKey(), part, nowNanos)) {
				return false;
			}
			boolean equal = isRequest(other.getKey()) == isRequest(part)
					&& !explainsBetter(part, other.getKey(), nowNanos);
			equalExplanations += equal ? 1 : 0;
		}
		return equalExplanations <= MAX_EQUAL_EXPLANATIONS;
	}

	// Returns whether a request has all that was always lost together with a part. A part
	// with which no request began is suspected without the one request that had it.
	private boolean hasCompanions(String part, Suspect suspect, List<String> parts, long nowNanos) {
		boolean withRequests = isRequest(part) || hasBegunRecently(part, nowNanos);
		return suspect.companions.stream()
			.filter((companion) -> withRequests || !isRequest(companion))
			.allMatch(parts::contains);
	}

	// Returns whether it is enough to refuse requests with the other part, which was
	// never
	// lost without this one. A whole request always has its parts, so it speaks only for
	// those with which others have begun.
	private boolean isNarrower(String other, String part, long nowNanos) {
		return this.suspects.get(other).companions.contains(part)
				&& (!isRequest(other) || isRequest(part) || hasBegunRecently(part, nowNanos));
	}

	private int threshold(String part, Suspect suspect, long nowNanos) {
		int base = hasBegunRecently(part, nowNanos) ? RECENTLY_BEGUN_SUSPECTED_FROM : SUSPECTED_FROM;
		long otherLosses = this.lostEngineNanos.entrySet()
			.stream()
			.filter((lost) -> isBetween(nowNanos - lost.getValue(), LOSS_REPORT_TIME, OTHER_LOSSES_WINDOW)
					&& !suspect.engineIds.contains(lost.getKey()))
			.count();
		return (int) Math.min(SUSPECTED_REGARDLESS_FROM, base + otherLosses);
	}

	private static boolean isBetween(long ageNanos, Duration min, Duration max) {
		return ageNanos >= min.toNanos() && ageNanos < max.toNanos();
	}

	// Returns whether one part explains losses better than another that had part in them
	// too.
	private boolean explainsBetter(String part, String other, long nowNanos) {
		int difference = this.suspects.get(part).crashCount - this.suspects.get(other).crashCount;
		return difference > 0
				|| (difference == 0 && hasBegunRecently(other, nowNanos) && !hasBegunRecently(part, nowNanos));
	}

	private boolean hasBegunRecently(String part, long nowNanos) {
		return hasBegunSince(part, nowNanos - RECENT.toNanos());
	}

	/** The engines that were lost with a part since a request with it last began. */
	private static final class Suspect {

		private final Set<String> engineIds = new HashSet<>();

		/** The other parts that each of the lost requests had. */
		private final Set<String> companions;

		private int crashCount;

		private long heldSinceNanos;

		private Suspect(Set<String> parts) {
			this.companions = new TreeSet<>(parts);
		}

		private int lossesInARow() {
			return (this.engineIds.size() >= MANY_ENGINES) ? Math.max(this.crashCount, SUSPECTED_FROM)
					: this.crashCount;
		}

		private Duration untilTrial(long nowNanos) {
			Duration remaining = holdAfter(this.crashCount).minusNanos(nowNanos - this.heldSinceNanos);
			return remaining.isNegative() ? Duration.ZERO : remaining;
		}

	}

}
