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
 * Simulates several daemons and a network that loses, delays and duplicates their
 * messages and can be partitioned. Each daemon has a clock with its own origin and rate.
 * Messages pass through the production encoding, which enforces the size of digests.
 */
final class FakeNetwork {

	static final long STEP_NANOS = Duration.ofMillis(50).toNanos();

	private static final Peer UNNAMED_SENDER = new Peer(Peer.Kind.SIBLING, "");

	final Random random;

	final Map<String, Node> nodes = new TreeMap<>();

	final Map<String, Integer> limits = new TreeMap<>();

	/** Time of the last grant by team and by the owner's name and incarnation. */
	final Map<String, Map<String, Long>> lastGrantNanos = new HashMap<>();

	private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>(
			Comparator.comparingLong(Delivery::dueNanos).thenComparing(Delivery::sequence));

	private final Map<String, Integer> partitionByName = new HashMap<>();

	double lossProbability;

	double duplicateProbability;

	int maxDelayMillis = 5;

	long nowNanos;

	private long deliverySequence;

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
		this.nodes.keySet().forEach((name) -> this.partitionByName.put(name, this.random.nextInt(count)));
	}

	void heal() {
		this.partitionByName.clear();
	}

	void step() throws PeerException {
		this.nowNanos += STEP_NANOS;
		while (!this.deliveries.isEmpty() && this.deliveries.peek().dueNanos <= this.nowNanos) {
			Delivery delivery = this.deliveries.remove();
			Node target = this.nodes.get(delivery.target);
			if (target == null || target.incarnation != delivery.incarnation) {
				continue;
			}
			if (target.pausedUntilNanos > this.nowNanos) {
				this.deliveries.add(new Delivery(target.pausedUntilNanos, ++this.deliverySequence, delivery.target,
						delivery.incarnation, delivery.action));
				continue;
			}
			delivery.action.run();
		}
		for (Node node : List.copyOf(this.nodes.values())) {
			if (node.pausedUntilNanos <= this.nowNanos) {
				node.tick();
			}
		}
	}

	/** Returns the sum of the shares whose leases are valid on the borrowers' clocks. */
	int totalHeld(String team) {
		return this.nodes.values().stream().mapToInt((node) -> node.shares.heldSlots(team, node.localNanos())).sum();
	}

	/**
	 * Returns the number of owners that granted shares whose leases may still be valid. A
	 * restarted daemon counts as another owner.
	 */
	int recentOwnerCount(String team) {
		long oldestNanos = this.nowNanos - LimitShares.LEASE.toNanos() * 21 / 20 - STEP_NANOS;
		return (int) this.lastGrantNanos.getOrDefault(team, Map.of())
			.values()
			.stream()
			.filter((grantNanos) -> grantNanos >= oldestNanos)
			.count();
	}

	private boolean areSeparated(String first, String second) {
		return !this.partitionByName.getOrDefault(first, 0).equals(this.partitionByName.getOrDefault(second, 0));
	}

	private void send(String from, String to, DeliveryAction action) {
		Node target = this.nodes.get(to);
		if (target == null || areSeparated(from, to)) {
			return;
		}
		int copies = (this.random.nextDouble() < this.duplicateProbability) ? 2 : 1;
		for (int i = 0; i < copies; i++) {
			if (this.random.nextDouble() >= this.lossProbability) {
				long arrivalNanos = this.nowNanos
						+ Duration.ofMillis(1 + this.random.nextInt(this.maxDelayMillis)).toNanos();
				this.deliveries
					.add(new Delivery(arrivalNanos, ++this.deliverySequence, to, target.incarnation, action));
			}
		}
	}

	/** Code that runs when a message arrives or a timeout expires at a daemon. */
	interface DeliveryAction {

		void run() throws PeerException;

	}

	private record Delivery(long dueNanos, long sequence, String target, long incarnation, DeliveryAction action) {

	}

	/** The coordination state of one simulated daemon. */
	final class Node {

		final String name;

		final long incarnation;

		final Membership membership;

		final Gossip gossip;

		final LimitShares shares;

		final LeavingUpstreams leavingUpstreams = new LeavingUpstreams();

		final List<String> runningTeams = new ArrayList<>();

		final Set<LeavingNotice> leavingNotices = new HashSet<>();

		long pausedUntilNanos;

		private final long clockOriginNanos;

		private final double clockRate;

		private long lastGossipNanos;

		private long lastSharesNanos;

		Node(int index) {
			this.name = "d" + index;
			this.incarnation = 1 + FakeNetwork.this.nowNanos / 1_000_000;
			this.clockOriginNanos = FakeNetwork.this.random.nextLong();
			this.clockRate = 0.98 + 0.04 * FakeNetwork.this.random.nextDouble();
			this.membership = new Membership(new Member(this.name, address(index), this.incarnation, 0),
					new Random(FakeNetwork.this.random.nextLong()));
			this.membership.updateSeeds(List.of(address(0), address(1), address(2)));
			this.gossip = new Gossip(this.membership, SiblingCodec::encodedSize);
			this.shares = new LimitShares(this.membership, (team) -> FakeNetwork.this.limits.getOrDefault(team, 0),
					localNanos());
			this.lastGossipNanos = localNanos();
			this.lastSharesNanos = localNanos();
		}

		private static Address address(int index) {
			return new Address("10.0.0.1", 1000 + index);
		}

		private static String nodeName(Address address) {
			return "d" + (address.port() - 1000);
		}

		long localNanos() {
			return this.clockOriginNanos + (long) (FakeNetwork.this.nowNanos * this.clockRate);
		}

		void pauseFor(long durationNanos) {
			this.pausedUntilNanos = FakeNetwork.this.nowNanos + durationNanos;
		}

		void recordLeaving(LeavingNotice notice) {
			this.leavingNotices.add(notice);
			this.leavingUpstreams.markLeaving(notice.upstream(), notice.incarnation());
			this.gossip.recordLeaving(notice);
		}

		boolean tryAcquire(String team) {
			boolean acquired = this.shares.tryAcquire(team, FakeNetwork.this.limits.get(team), localNanos());
			if (acquired) {
				this.runningTeams.add(team);
			}
			if (this.membership.aliveNames().size() > 0
					&& Rendezvous.owner(team, this.membership.aliveNames()).filter(this.name::equals).isPresent()) {
				recordGrant(team);
			}
			return acquired;
		}

		void releaseRandom() {
			if (!this.runningTeams.isEmpty()) {
				this.shares.release(this.runningTeams.remove(FakeNetwork.this.random.nextInt(this.runningTeams.size())),
						localNanos());
			}
		}

		private void recordGrant(String team) {
			FakeNetwork.this.lastGrantNanos.computeIfAbsent(team, (key) -> new HashMap<>())
				.put(this.name + "/" + this.incarnation, FakeNetwork.this.nowNanos);
		}

		private void tick() throws PeerException {
			if (localNanos() - this.lastGossipNanos >= Duration.ofSeconds(1).toNanos()) {
				this.lastGossipNanos = localNanos();
				startGossipExchange();
			}
			if (localNanos() - this.lastSharesNanos >= Duration.ofMillis(100).toNanos()) {
				this.lastSharesNanos = localNanos();
				for (LimitShares.Exchange exchange : this.shares.tick(localNanos())) {
					byte[] json = SiblingCodec.encode(exchange.request());
					send(this.name, exchange.owner().name(), () -> FakeNetwork.this.nodes.get(exchange.owner().name())
						.handleShareRequest(this.name, exchange, json));
				}
				FakeNetwork.this.limits.keySet()
					.stream()
					.filter((team) -> this.shares.heldSlots(team, localNanos()) > 0)
					.filter((team) -> Rendezvous.owner(team, this.membership.aliveNames())
						.filter(this.name::equals)
						.isPresent())
					.forEach(this::recordGrant);
			}
		}

		private void startGossipExchange() throws PeerException {
			this.gossip.tick(localNanos()).ifPresent((exchange) -> {
				byte[] json = SiblingCodec.encode(exchange.digest());
				String target = nodeName(exchange.target());
				boolean[] replyReceived = { false };
				send(this.name, target, () -> {
					Node sibling = FakeNetwork.this.nodes.get(target);
					Gossip.Answer answer = sibling.gossip
						.handleRequest(SiblingCodec.decode(json, Digest.class, UNNAMED_SENDER), sibling.localNanos());
					sibling.applyEvents(answer.events());
					byte[] encodedReply = SiblingCodec.encode(answer.reply());
					send(target, this.name, () -> {
						replyReceived[0] = true;
						applyEvents(this.gossip.merge(SiblingCodec.decode(encodedReply, Digest.class, UNNAMED_SENDER),
								localNanos()));
					});
				});
				FakeNetwork.this.deliveries
					.add(new Delivery(FakeNetwork.this.nowNanos + Duration.ofSeconds(1).toNanos(),
							++FakeNetwork.this.deliverySequence, this.name, this.incarnation, () -> {
								if (!replyReceived[0]) {
									this.gossip.recordFailure(exchange, localNanos());
								}
							}));
			});
		}

		private void handleShareRequest(String borrower, LimitShares.Exchange exchange, byte[] json)
				throws PeerException {
			ShareReply reply = this.shares.handleRequest(SiblingCodec.decode(json, ShareRequest.class, UNNAMED_SENDER),
					localNanos());
			reply.grants().forEach((grant) -> recordGrant(grant.team()));
			byte[] encodedReply = SiblingCodec.encode(reply);
			send(this.name, borrower, () -> {
				Node target = FakeNetwork.this.nodes.get(borrower);
				target.shares.applyReply(exchange, SiblingCodec.decode(encodedReply, ShareReply.class, UNNAMED_SENDER),
						target.localNanos());
			});
		}

		private void applyEvents(List<GossipEvent> events) {
			for (GossipEvent event : events) {
				if (event instanceof GossipEvent.NewerGeneration newer) {
					this.gossip.updateGeneration(newer.generation());
				}
				if (event instanceof GossipEvent.UpstreamLeaving leaving) {
					recordLeaving(leaving.notice());
				}
			}
		}

	}

}
