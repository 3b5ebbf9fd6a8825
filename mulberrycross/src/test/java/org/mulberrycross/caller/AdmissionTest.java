package org.mulberrycross.caller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link Admission} and {@link LengthEstimator} with times set by the test.
 */
class AdmissionTest {

	private static final long SECOND_NANOS = 1_000_000_000;

	private static final int LONG_TOKENS = 100;

	private boolean hasCapacity = true;

	private final List<String> granted = new ArrayList<>();

	private final Set<String> finished = new HashSet<>();

	private final List<AdmissionAction.Reject> rejected = new ArrayList<>();

	/** Fails if fifo admission, the baseline in comparisons, reorders requests. */
	@Test
	void fifoGrantsInOrderOfArrival() {
		Admission admission = admission(AdmissionSettings.fifo(1, 10), 100);
		submit(admission, "a1", "a", 500, 0, 60);
		submit(admission, "a2", "a", 500, 0, 60);
		submit(admission, "b1", "b", 10, 0, 60);
		finishOldest(admission, 10, 1);
		finishOldest(admission, 10, 2);
		assertThat(this.granted).containsExactly("a1", "a2", "b1").inOrder();
	}

	/** Fails if a team with many queued requests delays teams with few. */
	@Test
	void grantsTeamsInProportionToWeight() {
		Admission admission = admission(AdmissionSettings.fair(1, 100), 100);
		for (int i = 0; i < 6; i++) {
			submit(admission, "a" + i, "a", 10, 0, 600);
		}
		submit(admission, "b0", "b", 10, 0, 600);
		submit(admission, "w0", "weight2", 10, 0, 600);
		submit(admission, "w1", "weight2", 10, 0, 600);
		for (int i = 0; i < 5; i++) {
			finishOldest(admission, 10, i);
		}
		assertThat(this.granted.subList(1, 5)).containsExactly("a1", "b0", "w0", "w1");
	}

	/** Fails if a team exceeds its limit or a team at its limit blocks other teams. */
	@Test
	void teamAtLimitWaitsWithoutBlockingOthers() {
		Admission admission = admission(AdmissionSettings.fair(10, 100), 2);
		submit(admission, "a1", "a", 10, 0, 60);
		submit(admission, "a2", "a", 10, 0, 60);
		submit(admission, "a3", "a", 10, 0, 60);
		submit(admission, "b1", "b", 10, 0, 60);
		assertThat(this.granted).containsExactly("a1", "a2", "b1").inOrder();
		finishOldest(admission, 10, 1);
		assertThat(this.granted).contains("a3");
	}

	/** Fails if long work takes the slots reserved for short work. */
	@Test
	void longWorkLeavesReservedSlots() {
		Admission admission = admission(new AdmissionSettings(true, 8, 100, 0.25, 0.25), 100);
		for (int i = 0; i < 8; i++) {
			submit(admission, "l" + i, "a", 500, 0, 600);
		}
		assertThat(this.granted).hasSize(6);
		submit(admission, "s0", "b", 10, 0, 600);
		assertThat(this.granted).contains("s0");
	}

	/** Fails if a steady load of short work starves long work. */
	@Test
	void queuedLongWorkGetsGuaranteedShare() {
		Admission admission = admission(new AdmissionSettings(true, 4, 1000, 0.25, 0.25), 1000);
		for (int i = 0; i < 20; i++) {
			submit(admission, "s" + i, "a", 10, 0, 600);
		}
		submit(admission, "l0", "a", 500, 0, 600);
		finishOldest(admission, 10, 1);
		assertThat(this.granted).contains("l0");
	}

	/** Fails if a request is queued although its expected wait exceeds its deadline. */
	@Test
	void rejectsImmediatelyIfExpectedWaitExceedsDeadline() {
		Admission admission = admission(AdmissionSettings.fair(1, 1000), 1000);
		submit(admission, "a0", "a", 10, 0, 60);
		submit(admission, "a1", "a", 10, 0, 60);
		finishOldest(admission, 10, 5 * SECOND_NANOS);
		submit(admission, "b0", "b", 10, 5 * SECOND_NANOS, 11);
		submit(admission, "b1", "b", 10, 5 * SECOND_NANOS, 11);
		assertThat(this.rejected).hasSize(1);
		assertThat(this.rejected.get(0).request().id()).isEqualTo("b1");
		assertThat(this.rejected.get(0).retryAfter().toSeconds()).isAtLeast(1);
	}

	/** Fails if a request stays queued or is granted after its deadline. */
	@Test
	void rejectsQueuedRequestAfterDeadline() {
		Admission admission = admission(AdmissionSettings.fair(1, 1000), 1000);
		this.hasCapacity = false;
		submit(admission, "a0", "a", 10, 0, 2);
		this.hasCapacity = true;
		recordActions(admission.tick(2 * SECOND_NANOS + 1));
		assertThat(this.granted).isEmpty();
		assertThat(this.rejected).hasSize(1);
	}

	/** Fails if a request is granted without capacity or stays queued with capacity. */
	@Test
	void waitsForCapacity() {
		Admission admission = admission(AdmissionSettings.fair(1, 1000), 1000);
		this.hasCapacity = false;
		submit(admission, "a0", "a", 10, 0, 2);
		assertThat(this.granted).isEmpty();
		this.hasCapacity = true;
		recordActions(admission.tick(SECOND_NANOS));
		assertThat(this.granted).containsExactly("a0");
	}

	/** Fails if a team that floods the daemon can fill the queue for other teams. */
	@Test
	void fullQueueDropsNewestRequestOfLongestQueue() {
		Admission admission = admission(AdmissionSettings.fair(1, 3), 1000);
		for (int i = 0; i < 4; i++) {
			submit(admission, "a" + i, "a", 10, 0, 60);
		}
		submit(admission, "b0", "b", 10, 0, 60);
		assertThat(this.rejected).hasSize(1);
		assertThat(this.rejected.get(0).request().id()).isEqualTo("a3");
	}

	/** Fails if a request still counts as short work after exceeding its estimate. */
	@Test
	void requestExceedingEstimateBecomesLong() {
		Admission admission = admission(new AdmissionSettings(true, 4, 100, 0.25, 0.5), 100);
		for (int i = 0; i < 4; i++) {
			submit(admission, "s" + i, "a", 10, 0, 60);
		}
		submit(admission, "l0", "a", 500, 0, 60);
		submit(admission, "s4", "a", 10, 0, 60);
		recordActions(admission.reclassifyAsLong("s0", 1));
		recordActions(admission.reclassifyAsLong("s1", 1));
		recordActions(admission.release("s2", 10, true, 2));
		assertThat(this.granted).contains("s4");
		assertThat(this.granted).doesNotContain("l0");
	}

	/** Fails if a request that is reported as ended twice releases two slots. */
	@Test
	void failsForUnknownRequests() {
		Admission admission = admission(AdmissionSettings.fair(1, 1), 1);
		assertThrows(IllegalArgumentException.class, () -> admission.release("x", 0, false, 0));
		assertThrows(IllegalArgumentException.class, () -> admission.reclassifyAsLong("x", 0));
	}

	/**
	 * Fails if the estimate, which decides the work class, ignores the requested maximum
	 * or the team's history.
	 */
	@ParameterizedTest
	@CsvSource({ "0,0,50,50", "0,0,500,500", "20,10,500,15", "20,10,12,12", "20,400,500,500" })
	void estimatesLengthFromMaximumAndHistory(int outputs, int tokens, int maxTokens, int expectedTokens) {
		LengthEstimator estimator = new LengthEstimator(10);
		CallerRequest request = request("r", "a", maxTokens, 0, 1);
		for (int i = 0; i < outputs; i++) {
			estimator.recordLength(request, tokens);
		}
		assertThat((double) estimator.estimate(request)).isWithin(Math.max(1, expectedTokens * 0.1)).of(expectedTokens);
	}

	/**
	 * Fails if random events lead to a request that is both granted and rejected, is lost
	 * or starts after its deadline, to an exceeded limit, or to starvation of a team or
	 * of long work.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
	void invariantsHoldUnderRandomEvents(long seed) {
		Random random = new Random(seed);
		int maxRunning = 4 + random.nextInt(28);
		int teamLimit = 1 + random.nextInt(maxRunning);
		AdmissionSettings settings = AdmissionSettings.fair(maxRunning, 200);
		Map<String, Integer> runningByTeam = new HashMap<>();
		Admission admission = admission(settings, teamLimit);
		Set<String> submitted = new HashSet<>();
		Set<String> ended = new HashSet<>();
		Map<String, CallerRequest> running = new HashMap<>();
		Map<String, Integer> grantsByTeam = new HashMap<>();
		int longGrants = 0;
		long now = 0;
		for (int event = 0; event < 10_000; event++) {
			now += random.nextInt(2_000_000);
			List<AdmissionAction> actions;
			int eventKind = random.nextInt(100);
			if (eventKind < 50 || (running.isEmpty() && eventKind < 95)) {
				// Team t0 sends 70% of the load, and one in ten requests is long.
				String team = "t" + ((random.nextInt(100) < 70) ? 0 : 1 + random.nextInt(4));
				int maxTokens = (random.nextInt(10) == 0) ? 400 : 1 + random.nextInt(50);
				CallerRequest request = request("r" + event, team, maxTokens, now, 1 + random.nextInt(3));
				submitted.add(request.id());
				actions = admission.submit(request, now);
			}
			else if (eventKind < 90) {
				CallerRequest request = running
					.remove(running.keySet().stream().sorted().toList().get(random.nextInt(running.size())));
				ended.add(request.id());
				runningByTeam.merge(request.team(), -1, Integer::sum);
				actions = admission.release(request.id(), random.nextInt(request.maxTokens() + 1),
						random.nextInt(10) > 0, now);
			}
			else if (eventKind < 95) {
				actions = admission.reclassifyAsLong(running.keySet().iterator().next(), now);
			}
			else {
				this.hasCapacity = random.nextInt(4) > 0;
				actions = admission.tick(now);
			}
			for (AdmissionAction action : actions) {
				CallerRequest request = action.request();
				assertWithMessage("request is granted or rejected after it was rejected or ended").that(ended)
					.doesNotContain(request.id());
				assertThat(running).doesNotContainKey(request.id());
				if (action instanceof AdmissionAction.Grant grant) {
					assertThat(now).isAtMost(request.deadlineNanos());
					running.put(request.id(), request);
					assertThat(runningByTeam.merge(request.team(), 1, Integer::sum)).isAtMost(teamLimit);
					grantsByTeam.merge(request.team(), 1, Integer::sum);
					longGrants += (grant.workClass() == WorkClass.LONG) ? 1 : 0;
				}
				else {
					ended.add(request.id());
				}
			}
			assertThat(running.size()).isAtMost(maxRunning);
			assertThat(admission.runningCount()).isEqualTo(running.size());
			assertThat(admission.queuedCount()).isEqualTo(submitted.size() - ended.size() - running.size());
		}
		assertThat(grantsByTeam.keySet()).containsExactly("t0", "t1", "t2", "t3", "t4");
		grantsByTeam.values().forEach((grants) -> assertThat(grants).isAtLeast(100));
		assertThat(longGrants).isAtLeast(100);
	}

	private Admission admission(AdmissionSettings settings, int teamLimit) {
		return new Admission(settings,
				new AdmissionInputs((team) -> team.equals("weight2") ? 2 : 1, (pipeline) -> LONG_TOKENS,
						TeamLimits.local((team) -> teamLimit), (request, limitShare) -> this.hasCapacity));
	}

	private static CallerRequest request(String id, String team, int maxTokens, long now, long waitSeconds) {
		return new CallerRequest(id, team, "p", new long[1], maxTokens, now, now + waitSeconds * SECOND_NANOS);
	}

	private void submit(Admission admission, String id, String team, int maxTokens, long now, long deadlineSecond) {
		recordActions(admission
			.submit(new CallerRequest(id, team, "p", new long[1], maxTokens, now, deadlineSecond * SECOND_NANOS), now));
	}

	private void finishOldest(Admission admission, int tokens, long now) {
		String oldest = this.granted.stream().filter((id) -> !this.finished.contains(id)).findFirst().orElseThrow();
		this.finished.add(oldest);
		recordActions(admission.release(oldest, tokens, true, now));
	}

	private void recordActions(List<AdmissionAction> actions) {
		for (AdmissionAction action : actions) {
			if (action instanceof AdmissionAction.Reject rejection) {
				this.rejected.add(rejection);
			}
			else {
				this.granted.add(action.request().id());
			}
		}
	}

}
