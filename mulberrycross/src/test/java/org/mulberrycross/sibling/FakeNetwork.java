package org.mulberrycross.sibling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.mulberrycross.Address;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.engine.LeavingUpstreams;
import org.mulberrycross.sibling.http.SiblingCodec;

/**
 * Decision objects of several daemons, and a network between them that loses, delays,
 * duplicates and separates messages. Each daemon has a clock with its own origin and
 * rate. Messages pass through the real encoding, which asserts the size of digests.
 */
final class FakeNetwork {

	static final long STEP_NANOS = Duration.ofMillis(50).toNanos();

	private static final Peer SENDER = new Peer(Peer.Kind.SIBLING, "");

	final Random random;

	final Map<String, Node> nodes = new TreeMap<>();

	final Map<String, Integer> limits = new TreeMap<>();

	/** Last time at which an owner granted a part of a team's limit. */
	final Map<String, Map<String, Long>> granted = new HashMap<>();

	private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>(
			Comparator.comparingLong(Delivery::at).thenComparing(Delivery::number));

	private final Map<String, Integer> sides = new HashMap<>();

	double loss;

	double duplication;

	int maxDelayMillis = 5;

	long now;

	private long number;

	FakeNetwork(long seed) {
		this.random = new Random(seed);
	}

	Node start(int index) {
		Node node = new Node(index);
		this.nodes.put(node.name, node);
		return node;
	}

	void kill(String name) {
		this.nodes.remove(name);
	}

	void partition(int count) {
		this.nodes.keySet().forEach((name) -> this.sides.put(name, this.random.nextInt(count)));
	}

	void heal() {
		this.sides.clear();
	}

	void step() throws PeerException {
		this.now += STEP_NANOS;
		while (!this.deliveries.isEmpty() && this.deliveries.peek().at <= this.now) {
			Delivery delivery = this.deliveries.remove();
			Node target = this.nodes.get(delivery.target);
			if (target == null || target.incarnation != delivery.incarnation) {
				continue;
			}
			if (target.pausedUntil > this.now) {
				this.deliveries.add(new Delivery(target.pausedUntil, ++this.number, delivery.target,
						delivery.incarnation, delivery.run));
				continue;
			}
			delivery.run.run();
		}
		for (Node node : List.copyOf(this.nodes.values())) {
			if (node.pausedUntil <= this.now) {
				node.tick();
			}
		}
	}

	/** Returns the sum of the parts that are valid now on their borrowers' clocks. */
	int held(String team) {
		return this.nodes.values().stream().mapToInt((node) -> node.shares.held(team, node.nanos())).sum();
	}

	/** Returns the number of daemons that granted parts which may still be valid. */
	int owners(String team) {
		long oldest = this.now - LimitShares.LEASE.toNanos() * 21 / 20 - STEP_NANOS;
		return (int) this.granted.getOrDefault(team, Map.of()).values().stream().filter((at) -> at >= oldest).count();
	}

	private boolean separated(String left, String right) {
		return !this.sides.getOrDefault(left, 0).equals(this.sides.getOrDefault(right, 0));
	}

	private void send(String from, String to, Action action) {
		Node target = this.nodes.get(to);
		if (target == null || separated(from, to)) {
			return;
		}
		int copies = (this.random.nextDouble() < this.duplication) ? 2 : 1;
		for (int i = 0; i < copies; i++) {
			if (this.random.nextDouble() >= this.loss) {
				long at = this.now + Duration.ofMillis(1 + this.random.nextInt(this.maxDelayMillis)).toNanos();
				this.deliveries.add(new Delivery(at, ++this.number, to, target.incarnation, action));
			}
		}
	}

	/** A step of a daemon. */
	interface Action {

		void run() throws PeerException;

	}

	private record Delivery(long at, long number, String target, long incarnation, Action run) {

	}

	/** The decision objects of one daemon. */
	final class Node {

		final String name;

		final long incarnation;

		final Membership membership;

		final Gossip gossip;

		final LimitShares shares;

		final LeavingUpstreams leaving = new LeavingUpstreams();

		final List<String> running = new ArrayList<>();

		final Set<LeavingNotice> left = new HashSet<>();

		long pausedUntil;

		private final long origin;

		private final double rate;

		private long gossipNanos;

		private long sharesNanos;

		Node(int index) {
			this.name = "d" + index;
			this.incarnation = 1 + FakeNetwork.this.now / 1_000_000;
			this.origin = FakeNetwork.this.random.nextLong();
			this.rate = 0.98 + 0.04 * FakeNetwork.this.random.nextDouble();
			this.membership = new Membership(new Member(this.name, address(index), this.incarnation, 0),
					new Random(FakeNetwork.this.random.nextLong()));
			this.membership.seeds(List.of(address(0), address(1), address(2)));
			this.gossip = new Gossip(this.membership, SiblingCodec::size);
			this.shares = new LimitShares(this.membership, (team) -> FakeNetwork.this.limits.getOrDefault(team, 0),
					nanos());
			this.gossipNanos = nanos();
			this.sharesNanos = nanos();
		}

		private static Address address(int index) {
			return new Address("10.0.0.1", 1000 + index);
		}

		private static String nameOf(Address address) {
			return "d" + (address.port() - 1000);
		}

		long nanos() {
			return this.origin + (long) (FakeNetwork.this.now * this.rate);
		}

		void pause(long nanos) {
			this.pausedUntil = FakeNetwork.this.now + nanos;
		}

		void learn(LeavingNotice notice) {
			this.left.add(notice);
			this.leaving.left(notice.upstream(), notice.incarnation());
			this.gossip.leaving(notice);
		}

		boolean acquire(String team) {
			boolean acquired = this.shares.tryAcquire(team, FakeNetwork.this.limits.get(team), nanos());
			if (acquired) {
				this.running.add(team);
			}
			if (this.membership.alive().size() > 0
					&& Rendezvous.owner(team, this.membership.alive()).filter(this.name::equals).isPresent()) {
				grantedBy(team);
			}
			return acquired;
		}

		void releaseOne() {
			if (!this.running.isEmpty()) {
				this.shares.release(this.running.remove(FakeNetwork.this.random.nextInt(this.running.size())), nanos());
			}
		}

		private void grantedBy(String team) {
			FakeNetwork.this.granted.computeIfAbsent(team, (key) -> new HashMap<>())
				.put(this.name + "/" + this.incarnation, FakeNetwork.this.now);
		}

		private void tick() throws PeerException {
			if (nanos() - this.gossipNanos >= Duration.ofSeconds(1).toNanos()) {
				this.gossipNanos = nanos();
				gossipTick();
			}
			if (nanos() - this.sharesNanos >= Duration.ofMillis(100).toNanos()) {
				this.sharesNanos = nanos();
				for (LimitShares.Ask ask : this.shares.tick(nanos())) {
					byte[] json = SiblingCodec.encode(ask.request());
					send(this.name, ask.owner().name(),
							() -> FakeNetwork.this.nodes.get(ask.owner().name()).lend(this.name, ask, json));
				}
				FakeNetwork.this.limits.keySet()
					.stream()
					.filter((team) -> this.shares.held(team, nanos()) > 0)
					.filter((team) -> Rendezvous.owner(team, this.membership.alive())
						.filter(this.name::equals)
						.isPresent())
					.forEach(this::grantedBy);
			}
		}

		private void gossipTick() throws PeerException {
			this.gossip.tick(nanos()).ifPresent((exchange) -> {
				byte[] json = SiblingCodec.encode(exchange.digest());
				String target = nameOf(exchange.target());
				boolean[] answered = { false };
				send(this.name, target, () -> {
					Node sibling = FakeNetwork.this.nodes.get(target);
					Gossip.Answer answer = sibling.gossip.received(SiblingCodec.decode(json, Digest.class, SENDER),
							sibling.nanos());
					sibling.apply(answer.events());
					byte[] reply = SiblingCodec.encode(answer.reply());
					send(target, this.name, () -> {
						answered[0] = true;
						apply(this.gossip.merge(SiblingCodec.decode(reply, Digest.class, SENDER), nanos()));
					});
				});
				FakeNetwork.this.deliveries.add(new Delivery(FakeNetwork.this.now + Duration.ofSeconds(1).toNanos(),
						++FakeNetwork.this.number, this.name, this.incarnation, () -> {
							if (!answered[0]) {
								this.gossip.failed(exchange, nanos());
							}
						}));
			});
		}

		private void lend(String borrower, LimitShares.Ask ask, byte[] json) throws PeerException {
			ShareReply reply = this.shares.requested(SiblingCodec.decode(json, ShareRequest.class, SENDER), nanos());
			reply.grants().forEach((grant) -> grantedBy(grant.team()));
			byte[] answer = SiblingCodec.encode(reply);
			send(this.name, borrower, () -> {
				Node target = FakeNetwork.this.nodes.get(borrower);
				target.shares.replied(ask, SiblingCodec.decode(answer, ShareReply.class, SENDER), target.nanos());
			});
		}

		private void apply(List<GossipEvent> events) {
			for (GossipEvent event : events) {
				if (event instanceof GossipEvent.NewerGeneration newer) {
					this.gossip.generation(newer.generation());
				}
				if (event instanceof GossipEvent.UpstreamLeaving leaves) {
					learn(leaves.notice());
				}
			}
		}

	}

}
