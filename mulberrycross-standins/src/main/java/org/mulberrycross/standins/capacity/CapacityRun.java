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
 * Runs the control parts of several daemons on one thread with a manual clock. Messages
 * are encoded and decoded, and delivered at once. Not thread-safe.
 */
final class CapacityRun {

	private static final long TICK_NANOS = Duration.ofMillis(100).toNanos();

	private static final int TICKS_PER_SECOND = 10;

	/**
	 * Load reports that a daemon gets a second. Each engine sends its load with every
	 * step reply; the table keeps the newest.
	 */
	private static final int REPORTS_PER_SECOND = 100;

	private static final int MAX_SPREAD_SECONDS = 120;

	private static final long INCARNATION = 1_764_835_200_000L;

	private static final Peer PEER = new Peer(Peer.Kind.SIBLING, "");

	private final List<Daemon> daemons = new ArrayList<>();

	private final Map<Address, Daemon> byAddress = new HashMap<>();

	private final Load load;

	private final Random random = new Random(1);

	private long nanos;

	private long gossipBytes;

	private long gossipMessages;

	private long shareBytes;

	private long shareMessages;

	private long admitted;

	private long arrived;

	CapacityRun(int count, Load load) {
		this.load = load;
		for (int i = 0; i < count; i++) {
			Daemon daemon = new Daemon(i);
			this.daemons.add(daemon);
			this.byAddress.put(daemon.member.address(), daemon);
		}
	}

	Result measure(int warmUpSeconds, int seconds, long heapBefore) throws PeerException {
		run(warmUpSeconds);
		this.gossipBytes = 0;
		this.gossipMessages = 0;
		this.shareBytes = 0;
		this.shareMessages = 0;
		this.admitted = 0;
		this.arrived = 0;
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		long cpu = threads.getCurrentThreadCpuTime();
		run(seconds);
		double perDaemonSecond = 1.0 / (this.daemons.size() * (double) seconds);
		double cpuShare = (threads.getCurrentThreadCpuTime() - cpu) * perDaemonSecond / 1e9;
		Result result = new Result(this.daemons.size(), cpuShare, (heap() - heapBefore) / this.daemons.size(),
				this.gossipBytes * perDaemonSecond, this.gossipMessages * perDaemonSecond,
				this.shareBytes * perDaemonSecond, this.shareMessages * perDaemonSecond,
				this.admitted * perDaemonSecond, this.arrived * perDaemonSecond, 0, 0);
		return result.spread(leavingSpread(), generationSpread());
	}

	static long heap() {
		System.gc();
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private int leavingSpread() throws PeerException {
		LeavingNotice notice = new LeavingNotice("engine-0", INCARNATION);
		this.daemons.get(0).gossip.leaving(notice);
		this.daemons.get(0).leaving = true;
		return spread((daemon) -> daemon.leaving);
	}

	private int generationSpread() throws PeerException {
		this.daemons.get(0).gossip.generation(2);
		return spread((daemon) -> daemon.gossip.generation() == 2);
	}

	private int spread(Predicate<Daemon> reached) throws PeerException {
		for (int ticks = 0; ticks < MAX_SPREAD_SECONDS * TICKS_PER_SECOND; ticks++) {
			if (this.daemons.stream().allMatch(reached)) {
				return ticks;
			}
			tick();
		}
		throw new IllegalStateException("news did not reach all daemons");
	}

	private void run(int seconds) throws PeerException {
		for (int i = 0; i < seconds * TICKS_PER_SECOND; i++) {
			tick();
		}
	}

	private void tick() throws PeerException {
		this.nanos += TICK_NANOS;
		for (Daemon daemon : this.daemons) {
			daemon.tick();
		}
	}

	private int count(double rate) {
		double expected = rate / TICKS_PER_SECOND;
		return (int) expected + ((this.random.nextDouble() < expected % 1) ? 1 : 0);
	}

	/**
	 * What each daemon has to do. Immutable and thread-safe.
	 *
	 * @param engines the number of engines
	 * @param teams the number of teams
	 * @param requestsPerSecond the requests that arrive at one daemon a second
	 * @param requestSeconds the mean time that a request runs
	 * @param teamLimit the limit of each team
	 * @param daemonsPerTeam the number of daemons that the requests of one team come to
	 */
	record Load(int engines, int teams, double requestsPerSecond, double requestSeconds, int teamLimit,
			int daemonsPerTeam) {

	}

	/**
	 * Figures for one daemon and one second. Immutable and thread-safe.
	 *
	 * @param daemons the number of daemons
	 * @param cpuShare the share of one core
	 * @param heapBytes the heap
	 * @param gossipBytes the bytes of digests sent and received, without HTTP headers
	 * @param gossipMessages the digests sent and received
	 * @param shareBytes the bytes of share messages sent and received, without headers
	 * @param shareMessages the share messages sent and received
	 * @param admitted the requests that got a place
	 * @param arrived the requests that arrived
	 * @param leavingTicks the time in tenths of a second until all knew a leaving notice
	 * @param generationTicks the same for a configuration generation
	 */
	record Result(int daemons, double cpuShare, long heapBytes, double gossipBytes, double gossipMessages,
			double shareBytes, double shareMessages, double admitted, double arrived, int leavingTicks,
			int generationTicks) {

		Result spread(int leaving, int generation) {
			return new Result(this.daemons, this.cpuShare, this.heapBytes, this.gossipBytes, this.gossipMessages,
					this.shareBytes, this.shareMessages, this.admitted, this.arrived, leaving, generation);
		}

	}

	private record Running(long endNanos, String team) {

	}

	private final class Daemon {

		private final Member member;

		private final Membership membership;

		private final Gossip gossip;

		private final LimitShares shares;

		private final int phase;

		private final int index;

		private final PriorityQueue<Running> running = new PriorityQueue<>(Comparator.comparingLong(Running::endNanos));

		private final List<String> waiting = new ArrayList<>();

		private boolean leaving;

		private Daemon(int index) {
			this.index = index;
			this.member = new Member("daemon-" + index, new Address("10.20." + index / 250 + "." + index % 250, 18080),
					INCARNATION + index, 0);
			this.membership = new Membership(this.member, new Random(index));
			this.membership.seeds(List.of(new Address("10.20.0.0", 18080), new Address("10.20.0.1", 18080)));
			this.gossip = new Gossip(this.membership, SiblingCodec::size);
			this.gossip.generation(1);
			this.shares = new LimitShares(this.membership, (team) -> CapacityRun.this.load.teamLimit, 0);
			this.phase = CapacityRun.this.random.nextInt(TICKS_PER_SECOND);
		}

		private void tick() throws PeerException {
			long now = CapacityRun.this.nanos;
			while (!this.running.isEmpty() && this.running.peek().endNanos <= now) {
				this.shares.release(this.running.remove().team, now);
			}
			for (int i = count(REPORTS_PER_SECOND); i > 0; i--) {
				this.gossip.observedLoad("engine-" + CapacityRun.this.random.nextInt(CapacityRun.this.load.engines), 20,
						5, 64, 30_000, now);
			}
			requests(now);
			if (now / TICK_NANOS % TICKS_PER_SECOND == this.phase) {
				gossip(now);
			}
			for (LimitShares.Ask ask : this.shares.tick(now)) {
				borrow(ask, now);
			}
		}

		private void requests(long now) {
			List<String> tried = new ArrayList<>(this.waiting);
			this.waiting.clear();
			for (int i = count(CapacityRun.this.load.requestsPerSecond); i > 0; i--) {
				tried.add("team-" + team());
				CapacityRun.this.arrived++;
			}
			for (String team : tried) {
				if (this.shares.tryAcquire(team, CapacityRun.this.load.teamLimit, now)) {
					double seconds = -Math.log(1 - CapacityRun.this.random.nextDouble())
							* CapacityRun.this.load.requestSeconds;
					this.running.add(new Running(now + (long) (seconds * 1e9), team));
					CapacityRun.this.admitted++;
				}
				else {
					this.waiting.add(team);
				}
			}
		}

		// Chooses among the teams whose requests come to this daemon.
		private int team() {
			int count = CapacityRun.this.daemons.size();
			int neighbour = CapacityRun.this.random.nextInt(Math.min(count, CapacityRun.this.load.daemonsPerTeam));
			int first = Math.floorMod(this.index - neighbour, count);
			int rounds = Math.max(1, CapacityRun.this.load.teams / count);
			return first + count * CapacityRun.this.random.nextInt(rounds);
		}

		private void gossip(long now) throws PeerException {
			Gossip.Exchange exchange = this.gossip.tick(now).orElse(null);
			if (exchange == null || exchange.target().equals(this.member.address())) {
				return;
			}
			Daemon sibling = CapacityRun.this.byAddress.get(exchange.target());
			byte[] request = SiblingCodec.encode(exchange.digest());
			Gossip.Answer answer = sibling.gossip.received(SiblingCodec.decode(request, Digest.class, PEER), now);
			sibling.apply(answer.events());
			byte[] reply = SiblingCodec.encode(answer.reply());
			apply(this.gossip.merge(SiblingCodec.decode(reply, Digest.class, PEER), now));
			CapacityRun.this.gossipBytes += 2L * (request.length + reply.length);
			CapacityRun.this.gossipMessages += 4;
		}

		private void borrow(LimitShares.Ask ask, long now) throws PeerException {
			Daemon owner = CapacityRun.this.byAddress.get(ask.owner().address());
			byte[] request = SiblingCodec.encode(ask.request());
			byte[] reply = SiblingCodec
				.encode(owner.shares.requested(SiblingCodec.decode(request, ShareRequest.class, PEER), now));
			this.shares.replied(ask, SiblingCodec.decode(reply, ShareReply.class, PEER), now);
			CapacityRun.this.shareBytes += 2L * (request.length + reply.length);
			CapacityRun.this.shareMessages += 4;
		}

		private void apply(List<GossipEvent> events) {
			for (GossipEvent event : events) {
				if (event instanceof GossipEvent.NewerGeneration newer) {
					this.gossip.generation(newer.generation());
				}
				if (event instanceof GossipEvent.UpstreamLeaving) {
					this.leaving = true;
				}
			}
		}

	}

}
