package org.mulberrycross.standins.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Predicate;

import org.mulberrycross.Address;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.sibling.Digest;
import org.mulberrycross.sibling.Gossip;
import org.mulberrycross.sibling.GossipEvent;
import org.mulberrycross.sibling.LeavingNotice;
import org.mulberrycross.sibling.LimitShares;
import org.mulberrycross.sibling.Member;
import org.mulberrycross.sibling.Membership;
import org.mulberrycross.sibling.ShareReply;
import org.mulberrycross.sibling.ShareRequest;
import org.mulberrycross.sibling.http.SiblingCodec;

/**
 * Simulates the control plane of several daemons (membership, gossip and limit shares) on
 * one thread with a manual clock. Messages are encoded and decoded as on the network, but
 * delivered without delay. Not thread-safe.
 */
final class FleetSimulation {

	private static final long TICK_NANOS = Duration.ofMillis(100).toNanos();

	private static final int TICKS_PER_SECOND = 10;

	/**
	 * Number of engine load reports that each daemon receives per second. Each engine
	 * sends its load with every step reply; the gossip table keeps the newest.
	 */
	private static final int LOAD_REPORTS_PER_SECOND = 100;

	private static final int MAX_PROPAGATION_SECONDS = 120;

	private static final long BASE_INCARNATION = 1_764_835_200_000L;

	private static final Peer PEER = new Peer(Peer.Kind.SIBLING, "");

	private final List<Daemon> daemons = new ArrayList<>();

	private final Map<Address, Daemon> daemonsByAddress = new HashMap<>();

	private final Workload workload;

	private final Random random = new Random(1);

	private long clockNanos;

	private long gossipBytes;

	private long gossipMessages;

	private long shareBytes;

	private long shareMessages;

	private long admitted;

	private long arrived;

	FleetSimulation(int daemonCount, Workload workload) {
		this.workload = workload;
		for (int i = 0; i < daemonCount; i++) {
			Daemon daemon = new Daemon(i);
			this.daemons.add(daemon);
			this.daemonsByAddress.put(daemon.member.address(), daemon);
		}
	}

	Result measure(int warmUpSeconds, int seconds, long heapBytesBefore) throws PeerException {
		advance(warmUpSeconds);
		this.gossipBytes = 0;
		this.gossipMessages = 0;
		this.shareBytes = 0;
		this.shareMessages = 0;
		this.admitted = 0;
		this.arrived = 0;
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		long cpuNanosBefore = threads.getCurrentThreadCpuTime();
		advance(seconds);
		double perDaemonSecond = 1.0 / (this.daemons.size() * (double) seconds);
		double cpuFraction = (threads.getCurrentThreadCpuTime() - cpuNanosBefore) * perDaemonSecond / 1e9;
		Result result = new Result(this.daemons.size(), cpuFraction,
				(usedHeapBytes() - heapBytesBefore) / this.daemons.size(), this.gossipBytes * perDaemonSecond,
				this.gossipMessages * perDaemonSecond, this.shareBytes * perDaemonSecond,
				this.shareMessages * perDaemonSecond, this.admitted * perDaemonSecond, this.arrived * perDaemonSecond,
				0, 0);
		return result.withPropagation(measureLeavingPropagation(), measureGenerationPropagation());
	}

	// Requests a garbage collection first, so that the result excludes most garbage.
	static long usedHeapBytes() {
		System.gc();
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private int measureLeavingPropagation() throws PeerException {
		LeavingNotice notice = new LeavingNotice("engine-0", BASE_INCARNATION);
		this.daemons.get(0).gossip.recordLeaving(notice);
		this.daemons.get(0).leavingNoticeSeen = true;
		return countTicksUntilAll((daemon) -> daemon.leavingNoticeSeen);
	}

	private int measureGenerationPropagation() throws PeerException {
		this.daemons.get(0).gossip.updateGeneration(2);
		return countTicksUntilAll((daemon) -> daemon.gossip.generation() == 2);
	}

	private int countTicksUntilAll(Predicate<Daemon> received) throws PeerException {
		for (int ticks = 0; ticks < MAX_PROPAGATION_SECONDS * TICKS_PER_SECOND; ticks++) {
			if (this.daemons.stream().allMatch(received)) {
				return ticks;
			}
			tick();
		}
		throw new IllegalStateException(
				"update did not reach all daemons within " + MAX_PROPAGATION_SECONDS + " seconds");
	}

	private void advance(int seconds) throws PeerException {
		for (int i = 0; i < seconds * TICKS_PER_SECOND; i++) {
			tick();
		}
	}

	private void tick() throws PeerException {
		this.clockNanos += TICK_NANOS;
		for (Daemon daemon : this.daemons) {
			daemon.tick();
		}
	}

	// Returns the expected number of events per tick, randomly rounded up or down.
	private int sampleCountPerTick(double ratePerSecond) {
		double expectedCount = ratePerSecond / TICKS_PER_SECOND;
		return (int) expectedCount + ((this.random.nextDouble() < expectedCount % 1) ? 1 : 0);
	}

	/**
	 * Workload of the simulated fleet. Immutable and thread-safe.
	 *
	 * @param engines the number of engines that report their load
	 * @param teams the number of teams
	 * @param requestsPerDaemonSecond the mean number of requests per second and daemon
	 * @param meanRequestSeconds the mean duration of a request
	 * @param teamLimit the maximum number of concurrent requests of each team
	 * @param daemonsPerTeam the maximum number of daemons that receive a team's requests
	 */
	record Workload(int engines, int teams, double requestsPerDaemonSecond, double meanRequestSeconds, int teamLimit,
			int daemonsPerTeam) {

	}

	/**
	 * Means per daemon; counts and bytes are per second. Immutable and thread-safe.
	 *
	 * @param daemons the number of daemons
	 * @param cpuFraction the fraction of one core that is used
	 * @param heapBytes the heap that a daemon occupies; not per second
	 * @param gossipBytes the bytes of digests sent and received, without HTTP headers
	 * @param gossipMessages the digests sent and received
	 * @param shareBytes the bytes of share messages sent and received, without headers
	 * @param shareMessages the share messages sent and received
	 * @param admitted the requests that were admitted
	 * @param arrived the requests that arrived
	 * @param leavingTicks the ticks of 100 ms until all daemons knew a leaving notice
	 * @param generationTicks the ticks of 100 ms until all daemons knew a new generation
	 */
	record Result(int daemons, double cpuFraction, long heapBytes, double gossipBytes, double gossipMessages,
			double shareBytes, double shareMessages, double admitted, double arrived, int leavingTicks,
			int generationTicks) {

		Result withPropagation(int leavingTicks, int generationTicks) {
			return new Result(this.daemons, this.cpuFraction, this.heapBytes, this.gossipBytes, this.gossipMessages,
					this.shareBytes, this.shareMessages, this.admitted, this.arrived, leavingTicks, generationTicks);
		}

	}

	private record RunningRequest(long endNanos, String team) {

	}

	private final class Daemon {

		private final Member member;

		private final Membership membership;

		private final Gossip gossip;

		private final LimitShares shares;

		private final int gossipTick;

		private final int index;

		private final PriorityQueue<RunningRequest> runningRequests = new PriorityQueue<>(
				Comparator.comparingLong(RunningRequest::endNanos));

		private final List<String> waitingTeams = new ArrayList<>();

		private boolean leavingNoticeSeen;

		private Daemon(int index) {
			this.index = index;
			this.member = new Member("daemon-" + index, new Address("10.20." + index / 250 + "." + index % 250, 18080),
					BASE_INCARNATION + index, 0);
			this.membership = new Membership(this.member, new Random(index));
			this.membership.updateSeeds(List.of(new Address("10.20.0.0", 18080), new Address("10.20.0.1", 18080)));
			this.gossip = new Gossip(this.membership, SiblingCodec::encodedSize);
			this.gossip.updateGeneration(1);
			this.shares = new LimitShares(this.membership, (team) -> FleetSimulation.this.workload.teamLimit, 0);
			this.gossipTick = FleetSimulation.this.random.nextInt(TICKS_PER_SECOND);
		}

		private void tick() throws PeerException {
			long nowNanos = FleetSimulation.this.clockNanos;
			while (!this.runningRequests.isEmpty() && this.runningRequests.peek().endNanos <= nowNanos) {
				this.shares.release(this.runningRequests.remove().team, nowNanos);
			}
			for (int i = sampleCountPerTick(LOAD_REPORTS_PER_SECOND); i > 0; i--) {
				this.gossip.recordLoad(
						"engine-" + FleetSimulation.this.random.nextInt(FleetSimulation.this.workload.engines), 20, 5,
						64, 30_000, nowNanos);
			}
			admitRequests(nowNanos);
			if (nowNanos / TICK_NANOS % TICKS_PER_SECOND == this.gossipTick) {
				exchangeDigests(nowNanos);
			}
			for (LimitShares.Exchange exchange : this.shares.tick(nowNanos)) {
				borrowShare(exchange, nowNanos);
			}
		}

		private void admitRequests(long nowNanos) {
			List<String> candidates = new ArrayList<>(this.waitingTeams);
			this.waitingTeams.clear();
			for (int i = sampleCountPerTick(FleetSimulation.this.workload.requestsPerDaemonSecond); i > 0; i--) {
				candidates.add("team-" + pickTeam());
				FleetSimulation.this.arrived++;
			}
			for (String team : candidates) {
				if (this.shares.tryAcquire(team, FleetSimulation.this.workload.teamLimit, nowNanos)) {
					double durationSeconds = -Math.log(1 - FleetSimulation.this.random.nextDouble())
							* FleetSimulation.this.workload.meanRequestSeconds;
					this.runningRequests.add(new RunningRequest(nowNanos + (long) (durationSeconds * 1e9), team));
					FleetSimulation.this.admitted++;
				}
				else {
					this.waitingTeams.add(team);
				}
			}
		}

		// Selects a random team among those whose requests this daemon receives.
		private int pickTeam() {
			int daemonCount = FleetSimulation.this.daemons.size();
			int offset = FleetSimulation.this.random
				.nextInt(Math.min(daemonCount, FleetSimulation.this.workload.daemonsPerTeam));
			int firstTeam = Math.floorMod(this.index - offset, daemonCount);
			int teamsPerDaemon = Math.max(1, FleetSimulation.this.workload.teams / daemonCount);
			return firstTeam + daemonCount * FleetSimulation.this.random.nextInt(teamsPerDaemon);
		}

		private void exchangeDigests(long nowNanos) throws PeerException {
			Gossip.Exchange exchange = this.gossip.tick(nowNanos).orElse(null);
			if (exchange == null || exchange.target().equals(this.member.address())) {
				return;
			}
			Daemon sibling = FleetSimulation.this.daemonsByAddress.get(exchange.target());
			byte[] request = SiblingCodec.encode(exchange.digest());
			Gossip.Answer answer = sibling.gossip.handleRequest(SiblingCodec.decode(request, Digest.class, PEER),
					nowNanos);
			sibling.applyEvents(answer.events());
			byte[] reply = SiblingCodec.encode(answer.reply());
			applyEvents(this.gossip.merge(SiblingCodec.decode(reply, Digest.class, PEER), nowNanos));
			FleetSimulation.this.gossipBytes += 2L * (request.length + reply.length);
			FleetSimulation.this.gossipMessages += 4;
		}

		private void borrowShare(LimitShares.Exchange exchange, long nowNanos) throws PeerException {
			Daemon owner = FleetSimulation.this.daemonsByAddress.get(exchange.owner().address());
			byte[] request = SiblingCodec.encode(exchange.request());
			byte[] reply = SiblingCodec
				.encode(owner.shares.handleRequest(SiblingCodec.decode(request, ShareRequest.class, PEER), nowNanos));
			this.shares.applyReply(exchange, SiblingCodec.decode(reply, ShareReply.class, PEER), nowNanos);
			FleetSimulation.this.shareBytes += 2L * (request.length + reply.length);
			FleetSimulation.this.shareMessages += 4;
		}

		private void applyEvents(List<GossipEvent> events) {
			for (GossipEvent event : events) {
				if (event instanceof GossipEvent.NewerGeneration newer) {
					this.gossip.updateGeneration(newer.generation());
				}
				if (event instanceof GossipEvent.UpstreamLeaving) {
					this.leavingNoticeSeen = true;
				}
			}
		}

	}

}
