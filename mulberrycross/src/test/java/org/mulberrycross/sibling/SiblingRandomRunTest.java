package org.mulberrycross.sibling;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mulberrycross.PeerException;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Randomised tests of membership, gossip and limit sharing with 5 to 20 daemons, on a
 * simulated unreliable network and with fixed seeds.
 */
class SiblingRandomRunTest {

	private static final int STEPS = 10_000;

	private static final int RECOVERY_STEPS = 6_000;

	private static final int TEAM_COUNT = 6;

	private static final int UPSTREAM_COUNT = 20;

	private long highestGeneration;

	/**
	 * Fails if loss, delay, duplicates, partitions, pauses or restarts let the shares
	 * exceed the documented bound, decrease a generation, make a leaving upstream
	 * available again, or prevent the daemons from converging once the network is
	 * reliable again.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
	void invariantsHoldOverAnUnreliableNetwork(int seed) throws PeerException {
		FakeNetwork network = createNetwork(seed, 5 + seed % 16);
		int nodeCount = network.nodes.size();
		Map<String, Long> generations = new HashMap<>();
		Set<LeavingNotice> notices = new HashSet<>();
		network.lossProbability = 0.05;
		network.duplicateProbability = 0.05;
		network.maxDelayMillis = 600;
		for (int step = 0; step < STEPS; step++) {
			if (step % 1000 == 300) {
				network.partition(2 + network.random.nextInt(2));
			}
			if (step % 1000 == 700) {
				network.heal();
			}
			injectRandomFault(network, nodeCount);
			publishRandomUpdate(network, notices);
			runTraffic(network);
			network.step();
			checkInvariants(network, generations);
		}
		network.heal();
		network.lossProbability = 0;
		network.maxDelayMillis = 5;
		for (int index = 0; index < nodeCount; index++) {
			if (!network.nodes.containsKey("d" + index)) {
				network.start(index);
			}
		}
		for (int step = 0; step < RECOVERY_STEPS; step++) {
			runTraffic(network);
			network.step();
			checkInvariants(network, generations);
		}
		for (FakeNetwork.Node node : network.nodes.values()) {
			assertThat(node.membership.aliveNames()).containsExactlyElementsIn(network.nodes.keySet());
			assertThat(node.gossip.generation()).isEqualTo(this.highestGeneration);
			notices.forEach((notice) -> assertThat(node.leavingUpstreams.isLeaving(notice.upstream())).isTrue());
		}
		network.limits.forEach((team, limit) -> assertThat(network.totalHeld(team)).isAtMost(limit));
	}

	/**
	 * Fails if a new owner grants shares before the leases of a killed owner have
	 * expired. With kills as the only fault, the sum over all daemons is bounded by the
	 * limit of the team.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 31, 32, 33, 34, 35 })
	void killedDaemonsCauseNoOverAdmission(int seed) throws PeerException {
		FakeNetwork network = createNetwork(seed, 12);
		for (int step = 0; step < STEPS; step++) {
			if (step % 1000 == 999 && network.nodes.size() > 3) {
				List<String> names = List.copyOf(network.nodes.keySet());
				network.kill(names.get(network.random.nextInt(names.size())));
			}
			runTraffic(network);
			network.step();
			int currentStep = step;
			network.limits.forEach((team, limit) -> assertWithMessage("step %s, team %s", currentStep, team)
				.that(network.totalHeld(team))
				.isAtMost(limit));
		}
		int totalHeld = network.limits.keySet().stream().mapToInt(network::totalHeld).sum();
		assertThat(totalHeld).isGreaterThan(0);
	}

	private static FakeNetwork createNetwork(int seed, int nodeCount) {
		FakeNetwork network = new FakeNetwork(seed);
		for (int team = 0; team < TEAM_COUNT; team++) {
			network.limits.put("team" + team, 1 + network.random.nextInt(12));
		}
		for (int index = 0; index < nodeCount; index++) {
			network.start(index);
		}
		return network;
	}

	private static void injectRandomFault(FakeNetwork network, int nodeCount) {
		if (network.random.nextInt(400) == 0) {
			List<FakeNetwork.Node> nodes = List.copyOf(network.nodes.values());
			nodes.get(network.random.nextInt(nodes.size()))
				.pauseFor(Duration.ofMillis(500 + network.random.nextInt(15_000)).toNanos());
		}
		if (network.random.nextInt(800) == 0) {
			int index = network.random.nextInt(nodeCount);
			if (network.nodes.containsKey("d" + index) && network.nodes.size() > 3) {
				network.kill("d" + index);
			}
			else {
				network.start(index);
			}
		}
	}

	private void publishRandomUpdate(FakeNetwork network, Set<LeavingNotice> notices) {
		if (network.random.nextInt(200) == 0) {
			List<FakeNetwork.Node> nodes = List.copyOf(network.nodes.values());
			FakeNetwork.Node node = nodes.get(network.random.nextInt(nodes.size()));
			node.gossip.updateGeneration(++this.highestGeneration);
			node.gossip.recordHealth("e" + network.random.nextInt(UPSTREAM_COUNT), network.random.nextBoolean(),
					node.localNanos());
			node.gossip.recordLoad("e" + network.random.nextInt(UPSTREAM_COUNT), 1, 2, 8, 9000, node.localNanos());
			if (notices.size() < UPSTREAM_COUNT / 2 && network.random.nextInt(4) == 0) {
				LeavingNotice notice = new LeavingNotice("e" + network.random.nextInt(UPSTREAM_COUNT), 5);
				node.recordLeaving(notice);
				notices.add(notice);
			}
		}
	}

	private static void runTraffic(FakeNetwork network) {
		for (FakeNetwork.Node node : network.nodes.values()) {
			if (node.pausedUntilNanos <= network.nowNanos && network.random.nextInt(4) == 0) {
				node.tryAcquire("team" + network.random.nextInt(TEAM_COUNT));
			}
			if (node.pausedUntilNanos <= network.nowNanos && network.random.nextInt(4) == 0) {
				node.releaseRandom();
			}
		}
	}

	private static void checkInvariants(FakeNetwork network, Map<String, Long> generations) {
		network.limits.forEach((team, limit) -> assertWithMessage(team).that(network.totalHeld(team))
			.isAtMost(limit * Math.max(1, network.recentOwnerCount(team))));
		for (FakeNetwork.Node node : network.nodes.values()) {
			String key = node.name + "/" + node.incarnation;
			assertThat(node.gossip.generation()).isAtLeast(generations.getOrDefault(key, 0L));
			generations.put(key, node.gossip.generation());
			// The instance list lags and still reports the incarnation as live.
			node.leavingNotices.forEach((notice) -> {
				node.leavingUpstreams.recordIncarnation(notice.upstream(), notice.incarnation());
				assertThat(node.leavingUpstreams.isLeaving(notice.upstream())).isTrue();
			});
		}
	}

}
