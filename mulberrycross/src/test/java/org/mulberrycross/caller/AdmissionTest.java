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
 * Guards the decisions about waiting requests on a manual clock.
 */
class AdmissionTest {

	private static final long SECOND = 1_000_000_000;

	private static final int LONG_TOKENS = 100;

	private boolean capacity = true;

	private final List<String> granted = new ArrayList<>();

	private final Set<String> finished = new HashSet<>();

	private final List<AdmissionAction.Refuse> refused = new ArrayList<>();

	/** Fails if the order of arrival is no longer available as a baseline. */
	@Test
	void fifoGrantsInOrderOfArrival() {
		Admission admission = admission(AdmissionSettings.fifo(1, 10), 100);
		arrive(admission, "a1", "a", 500, 0, 60);
		arrive(admission, "a2", "a", 500, 0, 60);
		arrive(admission, "b1", "b", 10, 0, 60);
		finish(admission, 10, 1);
		finish(admission, 10, 2);
		assertThat(this.granted).containsExactly("a1", "a2", "b1").inOrder();
	}

	/** Fails if a team with many requests delays a team with few. */
	@Test
	void teamsTakeTurnsByWeight() {
		Admission admission = admission(AdmissionSettings.fair(1, 100), 100);
		for (int i = 0; i < 6; i++) {
			arrive(admission, "a" + i, "a", 10, 0, 600);
		}
		arrive(admission, "b0", "b", 10, 0, 600);
		arrive(admission, "w0", "weight2", 10, 0, 600);
		arrive(admission, "w1", "weight2", 10, 0, 600);
		for (int i = 0; i < 5; i++) {
			finish(admission, 10, i);
		}
		assertThat(this.granted.subList(1, 5)).containsExactly("a1", "b0", "w0", "w1");
	}

	/** Fails if a team exceeds its limit, or a team at its limit blocks others. */
	@Test
	void teamAtItsLimitWaitsAndOthersDoNot() {
		Admission admission = admission(AdmissionSettings.fair(10, 100), 2);
		arrive(admission, "a1", "a", 10, 0, 60);
		arrive(admission, "a2", "a", 10, 0, 60);
		arrive(admission, "a3", "a", 10, 0, 60);
		arrive(admission, "b1", "b", 10, 0, 60);
		assertThat(this.granted).containsExactly("a1", "a2", "b1").inOrder();
		finish(admission, 10, 1);
		assertThat(this.granted).contains("a3");
	}

	/** Fails if long work takes the places reserved for short work. */
	@Test
	void longWorkLeavesReservedPlaces() {
		Admission admission = admission(new AdmissionSettings(true, 8, 100, 0.25, 0.25), 100);
		for (int i = 0; i < 8; i++) {
			arrive(admission, "l" + i, "a", 500, 0, 600);
		}
		assertThat(this.granted).hasSize(6);
		arrive(admission, "s0", "b", 10, 0, 600);
		assertThat(this.granted).contains("s0");
	}

	/** Fails if short work that keeps coming starves long work. */
	@Test
	void waitingLongWorkGetsItsShare() {
		Admission admission = admission(new AdmissionSettings(true, 4, 1000, 0.25, 0.25), 1000);
		for (int i = 0; i < 20; i++) {
			arrive(admission, "s" + i, "a", 10, 0, 600);
		}
		arrive(admission, "l0", "a", 500, 0, 600);
		finish(admission, 10, 1);
		assertThat(this.granted).contains("l0");
	}

	/** Fails if a request is refused late although its wait was known to be too long. */
	@Test
	void refusesAtOnceWhenTheExpectedWaitPassesTheDeadline() {
		Admission admission = admission(AdmissionSettings.fair(1, 1000), 1000);
		arrive(admission, "a0", "a", 10, 0, 60);
		arrive(admission, "a1", "a", 10, 0, 60);
		finish(admission, 10, 5 * SECOND);
		arrive(admission, "b0", "b", 10, 5 * SECOND, 11);
		arrive(admission, "b1", "b", 10, 5 * SECOND, 11);
		assertThat(this.refused).hasSize(1);
		assertThat(this.refused.get(0).request().id()).isEqualTo("b1");
		assertThat(this.refused.get(0).retryAfter().toSeconds()).isAtLeast(1);
	}

	/** Fails if a request waits past its deadline or is granted after it. */
	@Test
	void refusesWhenTheDeadlinePasses() {
		Admission admission = admission(AdmissionSettings.fair(1, 1000), 1000);
		this.capacity = false;
		arrive(admission, "a0", "a", 10, 0, 2);
		this.capacity = true;
		perform(admission.tick(2 * SECOND + 1));
		assertThat(this.granted).isEmpty();
		assertThat(this.refused).hasSize(1);
	}

	/** Fails if a request is granted without capacity or stays queued once there is. */
	@Test
	void waitsForCapacity() {
		Admission admission = admission(AdmissionSettings.fair(1, 1000), 1000);
		this.capacity = false;
		arrive(admission, "a0", "a", 10, 0, 2);
		assertThat(this.granted).isEmpty();
		this.capacity = true;
		perform(admission.tick(SECOND));
		assertThat(this.granted).containsExactly("a0");
	}

	/** Fails if a flooding team can fill the queue for other teams. */
	@Test
	void longestQueueGivesWayWhenTheQueueIsFull() {
		Admission admission = admission(AdmissionSettings.fair(1, 3), 1000);
		for (int i = 0; i < 4; i++) {
			arrive(admission, "a" + i, "a", 10, 0, 60);
		}
		arrive(admission, "b0", "b", 10, 0, 60);
		assertThat(this.refused).hasSize(1);
		assertThat(this.refused.get(0).request().id()).isEqualTo("a3");
	}

	/** Fails if output beyond the estimate still counts as short work. */
	@Test
	void requestBeyondItsEstimateBecomesLong() {
		Admission admission = admission(new AdmissionSettings(true, 4, 100, 0.25, 0.5), 100);
		for (int i = 0; i < 4; i++) {
			arrive(admission, "s" + i, "a", 10, 0, 60);
		}
		arrive(admission, "l0", "a", 500, 0, 60);
		arrive(admission, "s4", "a", 10, 0, 60);
		perform(admission.exceeded("s0", 1));
		perform(admission.exceeded("s1", 1));
		perform(admission.finished("s2", 10, true, 2));
		assertThat(this.granted).contains("s4");
		assertThat(this.granted).doesNotContain("l0");
	}

	/** Fails if a request that ended twice frees two places. */
	@Test
	void refusesUnknownRequests() {
		Admission admission = admission(AdmissionSettings.fair(1, 1), 1);
		assertThrows(IllegalArgumentException.class, () -> admission.finished("x", 0, false, 0));
		assertThrows(IllegalArgumentException.class, () -> admission.exceeded("x", 0));
	}

	/** Fails if the class does not follow from the maximum and the history. */
	@ParameterizedTest
	@CsvSource({ "0,0,50,50", "0,0,500,500", "20,10,500,15", "20,10,12,12", "20,400,500,500" })
	void estimatesLength(int outputs, int tokens, int maxTokens, int expected) {
		LengthEstimator estimator = new LengthEstimator(10);
		CallerRequest request = request("r", "a", maxTokens, 0, 1);
		for (int i = 0; i < outputs; i++) {
			estimator.learn(request, tokens);
		}
		assertThat((double) estimator.estimate(request)).isWithin(Math.max(1, expected * 0.1)).of(expected);
	}

	/**
	 * Fails if, under random events, a request is granted and refused, is lost, starts
	 * after its deadline, if a limit is exceeded, or if a team or long work starves.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
	void invariantsHoldUnderRandomEvents(long seed) {
		Random random = new Random(seed);
		int places = 4 + random.nextInt(28);
		int teamLimit = 1 + random.nextInt(places);
		AdmissionSettings settings = AdmissionSettings.fair(places, 200);
		Map<String, Integer> teamRunning = new HashMap<>();
		Admission admission = admission(settings, teamLimit);
		Set<String> arrived = new HashSet<>();
		Set<String> ended = new HashSet<>();
		Map<String, CallerRequest> running = new HashMap<>();
		Map<String, Integer> grantsByTeam = new HashMap<>();
		int longGrants = 0;
		long now = 0;
		for (int event = 0; event < 10_000; event++) {
			now += random.nextInt(2_000_000);
			List<AdmissionAction> actions;
			int kind = random.nextInt(100);
			if (kind < 50 || (running.isEmpty() && kind < 95)) {
				// Team t0 sends most of the load, and one in ten requests is long.
				String team = "t" + ((random.nextInt(100) < 70) ? 0 : 1 + random.nextInt(4));
				int maxTokens = (random.nextInt(10) == 0) ? 400 : 1 + random.nextInt(50);
				CallerRequest request = request("r" + event, team, maxTokens, now, 1 + random.nextInt(3));
				arrived.add(request.id());
				actions = admission.arrived(request, now);
			}
			else if (kind < 90) {
				CallerRequest request = running
					.remove(running.keySet().stream().sorted().toList().get(random.nextInt(running.size())));
				ended.add(request.id());
				teamRunning.merge(request.team(), -1, Integer::sum);
				actions = admission.finished(request.id(), random.nextInt(request.maxTokens() + 1),
						random.nextInt(10) > 0, now);
			}
			else if (kind < 95) {
				actions = admission.exceeded(running.keySet().iterator().next(), now);
			}
			else {
				this.capacity = random.nextInt(4) > 0;
				actions = admission.tick(now);
			}
			for (AdmissionAction action : actions) {
				CallerRequest request = action.request();
				assertWithMessage("request decided twice").that(ended).doesNotContain(request.id());
				assertThat(running).doesNotContainKey(request.id());
				if (action instanceof AdmissionAction.Grant grant) {
					assertThat(now).isAtMost(request.deadlineNanos());
					running.put(request.id(), request);
					assertThat(teamRunning.merge(request.team(), 1, Integer::sum)).isAtMost(teamLimit);
					grantsByTeam.merge(request.team(), 1, Integer::sum);
					longGrants += (grant.workClass() == WorkClass.LONG) ? 1 : 0;
				}
				else {
					ended.add(request.id());
				}
			}
			assertThat(running.size()).isAtMost(places);
			assertThat(admission.running()).isEqualTo(running.size());
			assertThat(admission.queued()).isEqualTo(arrived.size() - ended.size() - running.size());
		}
		assertThat(grantsByTeam.keySet()).containsExactly("t0", "t1", "t2", "t3", "t4");
		grantsByTeam.values().forEach((grants) -> assertThat(grants).isAtLeast(100));
		assertThat(longGrants).isAtLeast(100);
	}

	private Admission admission(AdmissionSettings settings, int teamLimit) {
		return new Admission(settings, new AdmissionInputs((team) -> team.equals("weight2") ? 2 : 1,
				(pipeline) -> LONG_TOKENS, TeamLimits.local((team) -> teamLimit), (request, share) -> this.capacity));
	}

	private static CallerRequest request(String id, String team, int maxTokens, long now, long waitSeconds) {
		return new CallerRequest(id, team, "p", new long[1], maxTokens, now, now + waitSeconds * SECOND);
	}

	private void arrive(Admission admission, String id, String team, int maxTokens, long now, long deadlineSecond) {
		perform(admission
			.arrived(new CallerRequest(id, team, "p", new long[1], maxTokens, now, deadlineSecond * SECOND), now));
	}

	private void finish(Admission admission, int tokens, long now) {
		String oldest = this.granted.stream().filter((id) -> !this.finished.contains(id)).findFirst().orElseThrow();
		this.finished.add(oldest);
		perform(admission.finished(oldest, tokens, true, now));
	}

	private void perform(List<AdmissionAction> actions) {
		for (AdmissionAction action : actions) {
			if (action instanceof AdmissionAction.Refuse refuse) {
				this.refused.add(refuse);
			}
			else {
				this.granted.add(action.request().id());
			}
		}
	}

}
