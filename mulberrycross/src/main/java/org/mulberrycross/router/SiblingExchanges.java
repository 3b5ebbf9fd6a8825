package org.mulberrycross.router;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.Address;
import org.mulberrycross.ControlThread;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.caller.TeamLimits;
import org.mulberrycross.operator.TeamObject;
import org.mulberrycross.platform.ConfigurationFollower;
import org.mulberrycross.platform.Instance;
import org.mulberrycross.platform.InstanceList;
import org.mulberrycross.platform.SnapshotSource;
import org.mulberrycross.sibling.Digest;
import org.mulberrycross.sibling.Gossip;
import org.mulberrycross.sibling.GossipEvent;
import org.mulberrycross.sibling.LeavingNotice;
import org.mulberrycross.sibling.LimitShares;
import org.mulberrycross.sibling.Member;
import org.mulberrycross.sibling.Membership;
import org.mulberrycross.sibling.ShareReply;
import org.mulberrycross.sibling.ShareRequest;
import org.mulberrycross.sibling.SiblingCalls;
import org.mulberrycross.sibling.SiblingClient;
import org.mulberrycross.sibling.http.SiblingCodec;

/**
 * Schedules gossip and share requests to sibling daemons and reads of the instance list.
 * The calls block on threads of this class; their results are handled on the control
 * thread. Thread-safe.
 */
final class SiblingExchanges implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(SiblingExchanges.class);

	private static final Duration GOSSIP_PERIOD = Duration.ofSeconds(1);

	private static final Duration SHARE_PERIOD = Duration.ofMillis(100);

	private static final Duration CONTROL_REPLY_TIMEOUT = Duration.ofSeconds(1);

	private static final int EXCHANGE_THREADS = 8;

	private static final int MAX_QUEUED_EXCHANGES = 256;

	/**
	 * Minimum time between two reads of the instance list by this daemon. The period
	 * grows with the number of members, so that large fleets together read the list about
	 * ten times a second; the other daemons learn of leaving upstreams by gossip.
	 */
	private static final Duration MIN_LIST_PERIOD = Duration.ofSeconds(2);

	private static final Duration LIST_PERIOD_PER_MEMBER = Duration.ofMillis(100);

	private final ControlThread controlThread;

	private final RouterControl control;

	private final MonotonicClock clock;

	private final SiblingClient client;

	private final InstanceList instanceList;

	private final List<Address> seeds;

	private final SiblingCalls calls;

	private final Membership membership;

	private final Gossip gossip;

	/** Returns the configured limit of a team, 0 if the team is unknown. */
	private final ToIntFunction<String> limits;

	private final LimitShares shares;

	private final SiblingConfigurations siblingConfigurations;

	private final TeamLimits teamLimits = new TeamLimits() {

		@Override
		public int availableSlots(String team) {
			return SiblingExchanges.this.shares.heldSlots(team, SiblingExchanges.this.clock.nanos());
		}

		@Override
		public boolean tryAcquire(String team, int running) {
			boolean acquired = SiblingExchanges.this.shares.tryAcquire(team,
					SiblingExchanges.this.limits.applyAsInt(team), SiblingExchanges.this.clock.nanos());
			if (!acquired) {
				scheduleShareTick();
			}
			return acquired;
		}

		@Override
		public void release(String team) {
			SiblingExchanges.this.shares.release(team, SiblingExchanges.this.clock.nanos());
		}

	};

	private boolean shareTickScheduled;

	private long nextListReadNanos;

	private boolean listReadInFlight;

	/**
	 * Creates the exchanges without scheduling them.
	 * @param controlThread the control thread, not null
	 * @param control the control state, not null
	 * @param clock the daemon's clock, not null
	 * @param random selects gossip targets and configuration sources, not null
	 * @param self this daemon as a member, not null
	 * @param client sends requests to siblings, not null
	 * @param instanceList reads the platform's instance list, not null
	 * @param seeds addresses of siblings to contact while the instance list names none,
	 * not null
	 * @param follower applies configurations that siblings have, not null
	 */
	SiblingExchanges(ControlThread controlThread, RouterControl control, MonotonicClock clock, RandomGenerator random,
			Member self, SiblingClient client, InstanceList instanceList, List<Address> seeds,
			ConfigurationFollower follower) {
		this.controlThread = Objects.requireNonNull(controlThread, "controlThread");
		this.control = Objects.requireNonNull(control, "control");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.client = Objects.requireNonNull(client, "client");
		this.instanceList = Objects.requireNonNull(instanceList, "instanceList");
		this.seeds = List.copyOf(seeds);
		this.calls = new SiblingCalls(controlThread, EXCHANGE_THREADS, MAX_QUEUED_EXCHANGES);
		this.membership = new Membership(self, random);
		this.membership.updateSeeds(this.seeds);
		this.siblingConfigurations = new SiblingConfigurations(client, follower, random);
		this.gossip = new Gossip(this.membership, SiblingCodec::encodedSize);
		this.limits = (team) -> control.snapshot().configuration().team(team).map(TeamObject::maxConcurrent).orElse(0);
		this.shares = new LimitShares(this.membership, this.limits, clock.nanos());
		this.nextListReadNanos = clock.nanos();
	}

	/**
	 * Schedules the periodic gossip and share requests on the control thread.
	 */
	void start() {
		this.controlThread.scheduleWithFixedDelay(GOSSIP_PERIOD, this::gossipTick);
		this.controlThread.scheduleWithFixedDelay(SHARE_PERIOD, this::shareTick);
	}

	/**
	 * Returns the limits on running requests by team. Used on the control thread only.
	 * @return limits backed by the shares that this daemon holds
	 */
	TeamLimits teamLimits() {
		return this.teamLimits;
	}

	/**
	 * Answers a gossip digest of a sibling. Blocks until the control thread has answered.
	 * @param digest the digest, not null
	 * @return the reply, or empty if the control thread is overloaded, failed or did not
	 * answer in time
	 */
	Optional<Digest> answerGossip(Digest digest) {
		return callOnControlThread(() -> {
			Gossip.Answer answer = this.gossip.handleRequest(digest, this.clock.nanos());
			handleGossipEvents(answer.events());
			return answer.reply();
		});
	}

	/**
	 * Answers a sibling's request for shares of team limits that this daemon owns. Blocks
	 * until the control thread has answered.
	 * @param request the request, not null
	 * @return the reply, or empty if the control thread is overloaded, failed or did not
	 * answer in time
	 */
	Optional<ShareReply> answerShareRequest(ShareRequest request) {
		return callOnControlThread(() -> this.shares.handleRequest(request, this.clock.nanos()));
	}

	private <T> Optional<T> callOnControlThread(Supplier<T> task) {
		CompletableFuture<T> result = new CompletableFuture<>();
		if (!this.controlThread.offer(() -> result.complete(task.get()))) {
			return Optional.empty();
		}
		try {
			return Optional.of(result.get(CONTROL_REPLY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
		}
		catch (TimeoutException | ExecutionException ex) {
			return Optional.empty();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Optional.empty();
		}
	}

	/**
	 * Requests shares before the next periodic tick, since a queued request needs one. At
	 * most one such tick is pending.
	 */
	private void scheduleShareTick() {
		if (this.shareTickScheduled) {
			return;
		}
		this.shareTickScheduled = true;
		this.controlThread.post(() -> {
			this.shareTickScheduled = false;
			shareTick();
		});
	}

	private void gossipTick() {
		long nanos = this.clock.nanos();
		this.siblingConfigurations.updateMembers(this.membership);
		this.gossip.updateGeneration(this.control.snapshot().configuration().generation());
		this.control.leavingUpstreams()
			.highestLeavingIncarnations()
			.forEach((upstream, incarnation) -> this.gossip.recordLeaving(new LeavingNotice(upstream, incarnation)));
		this.gossip.tick(nanos)
			.ifPresent((exchange) -> this.calls.start(
					() -> this.client.exchangeDigests(exchange.target(), exchange.digest()),
					(reply) -> handleGossipEvents(this.gossip.merge(reply, this.clock.nanos())),
					() -> this.gossip.recordFailure(exchange, this.clock.nanos())));
		if (!this.listReadInFlight && nanos - this.nextListReadNanos >= 0) {
			this.listReadInFlight = true;
			this.calls.start(this.instanceList::read, this::applyInstanceList, this::handleListFailure);
		}
	}

	private void shareTick() {
		for (LimitShares.Exchange exchange : this.shares.tick(this.clock.nanos())) {
			this.calls.start(() -> this.client.requestShares(exchange.owner().address(), exchange.request()),
					(reply) -> {
						this.shares.applyReply(exchange, reply, this.clock.nanos());
						this.control.tick();
					}, () -> this.shares.recordFailure(exchange, this.clock.nanos()));
		}
	}

	private void handleGossipEvents(List<GossipEvent> events) {
		boolean changed = false;
		for (GossipEvent event : events) {
			if (event instanceof GossipEvent.UpstreamLeaving upstreamLeaving) {
				changed |= this.control.leavingUpstreams()
					.markLeaving(upstreamLeaving.notice().upstream(), upstreamLeaving.notice().incarnation());
			}
			else if (event instanceof GossipEvent.NewerGeneration newerGeneration) {
				followSibling(newerGeneration.sibling());
			}
		}
		if (changed) {
			this.control.publishLeavingUpstreams();
		}
	}

	private void followSibling(Member sibling) {
		if (!this.calls.execute(() -> this.siblingConfigurations.applyConfiguration(sibling))) {
			logger.debug("configuration of sibling {} is not read: the exchange queue is full", sibling.name());
		}
	}

	/**
	 * Returns the configuration sources to use while the object API is unreachable.
	 * @return up to three siblings in random order
	 */
	List<SnapshotSource> configurationSources() {
		return this.siblingConfigurations.sources();
	}

	/**
	 * Returns whether this daemon may acquire the publisher's lease.
	 * @return true if it is one of the candidates among the members that are alive
	 */
	boolean isPublisherCandidate() {
		return this.siblingConfigurations.isPublisherCandidate();
	}

	private void applyInstanceList(List<Instance> instances) {
		scheduleNextListRead();
		boolean changed = false;
		for (Instance instance : instances) {
			boolean isUpstream = instance.role() == Instance.Role.ENGINE || instance.role() == Instance.Role.SERVICE;
			if (isUpstream) {
				this.control.leavingUpstreams().recordIncarnation(instance.name(), instance.incarnation());
			}
			if (isUpstream && instance.leaving()) {
				changed |= this.control.leavingUpstreams().markLeaving(instance.name(), instance.incarnation());
			}
		}
		List<Address> routerAddresses = instances.stream()
			.filter((instance) -> instance.role() == Instance.Role.ROUTER && !instance.leaving())
			.map(Instance::address)
			.toList();
		this.membership.updateSeeds(routerAddresses.isEmpty() ? this.seeds : routerAddresses);
		if (changed) {
			logger.info("the instance list marks more upstreams as leaving");
		}
		this.control.publishLeavingUpstreams();
	}

	private void handleListFailure() {
		scheduleNextListRead();
	}

	private void scheduleNextListRead() {
		this.listReadInFlight = false;
		Duration period = LIST_PERIOD_PER_MEMBER.multipliedBy(this.membership.aliveNames().size());
		this.nextListReadNanos = this.clock.nanos() + Math.max(MIN_LIST_PERIOD.toNanos(), period.toNanos());
	}

	@Override
	public void close() {
		this.calls.close();
	}

}
