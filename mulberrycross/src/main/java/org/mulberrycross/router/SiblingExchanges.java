package org.mulberrycross.router;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.Address;
import org.mulberrycross.ControlThread;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.PeerException;
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
import org.mulberrycross.sibling.SiblingClient;
import org.mulberrycross.sibling.http.SiblingCodec;

/**
 * Runs the exchanges with other daemons and the reading of the instance list on threads
 * of its own, and the decisions about them on the control thread. Thread-safe.
 */
final class SiblingExchanges implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(SiblingExchanges.class);

	private static final Duration GOSSIP_PERIOD = Duration.ofSeconds(1);

	private static final Duration SHARE_PERIOD = Duration.ofMillis(100);

	private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);

	private static final int THREADS = 8;

	private static final int MAX_WAITING = 256;

	/**
	 * The least time between two reads of the instance list. With many daemons each reads
	 * less often, so that the fleet reads it about ten times a second at any size;
	 * leaving notices reach the others by gossip.
	 */
	private static final Duration LIST_PERIOD = Duration.ofSeconds(2);

	private static final Duration LIST_PERIOD_PER_MEMBER = Duration.ofMillis(100);

	private final ControlThread controlThread;

	private final RouterControl control;

	private final MonotonicClock clock;

	private final SiblingClient client;

	private final InstanceList instances;

	private final List<Address> seeds;

	private final ExecutorService executor;

	private final Membership membership;

	private final Gossip gossip;

	private final ToIntFunction<String> limits;

	private final LimitShares shares;

	private final SiblingConfigurations configurations;

	private final TeamLimits teamLimits = new TeamLimits() {

		@Override
		public int places(String team) {
			return SiblingExchanges.this.shares.held(team, SiblingExchanges.this.clock.nanos());
		}

		@Override
		public boolean tryAcquire(String team, int running) {
			boolean acquired = SiblingExchanges.this.shares.tryAcquire(team,
					SiblingExchanges.this.limits.applyAsInt(team), SiblingExchanges.this.clock.nanos());
			if (!acquired) {
				askSoon();
			}
			return acquired;
		}

		@Override
		public void release(String team) {
			SiblingExchanges.this.shares.release(team, SiblingExchanges.this.clock.nanos());
		}

	};

	private boolean asking;

	private long nextListNanos;

	private boolean readingList;

	/**
	 * Creates exchanges that do not run yet.
	 * @param controlThread the control thread, not null
	 * @param control the control state, not null
	 * @param clock the daemon's clock, not null
	 * @param random chooses whom to talk to, not null
	 * @param self this daemon, not null
	 * @param client talks to other daemons, not null
	 * @param instances the platform's list, not null
	 * @param seeds addresses of some siblings, not null
	 * @param follower applies the configurations of siblings, not null
	 */
	SiblingExchanges(ControlThread controlThread, RouterControl control, MonotonicClock clock, RandomGenerator random,
			Member self, SiblingClient client, InstanceList instances, List<Address> seeds,
			ConfigurationFollower follower) {
		this.controlThread = Objects.requireNonNull(controlThread, "controlThread");
		this.control = Objects.requireNonNull(control, "control");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.client = Objects.requireNonNull(client, "client");
		this.instances = Objects.requireNonNull(instances, "instances");
		this.seeds = List.copyOf(seeds);
		this.executor = new ThreadPoolExecutor(THREADS, THREADS, 0, TimeUnit.SECONDS,
				new LinkedBlockingQueue<>(MAX_WAITING));
		this.membership = new Membership(self, random);
		this.membership.seeds(this.seeds);
		this.configurations = new SiblingConfigurations(client, follower, random);
		this.gossip = new Gossip(this.membership, SiblingCodec::size);
		this.limits = (team) -> control.snapshot().configuration().team(team).map(TeamObject::maxConcurrent).orElse(0);
		this.shares = new LimitShares(this.membership, this.limits, clock.nanos());
		this.nextListNanos = clock.nanos();
	}

	/**
	 * Starts the exchanges.
	 */
	void start() {
		this.controlThread.every(GOSSIP_PERIOD, this::gossipTick);
		this.controlThread.every(SHARE_PERIOD, this::shareTick);
	}

	/**
	 * Returns the teams' limits, for use on the control thread.
	 * @return the limits
	 */
	TeamLimits teamLimits() {
		return this.teamLimits;
	}

	/**
	 * Answers a digest of another daemon. Blocks until the control thread answered.
	 * @param digest the digest, not null
	 * @return the reply, or empty if the control thread is overloaded
	 */
	Optional<Digest> gossip(Digest digest) {
		return onControlThread(() -> {
			Gossip.Answer answer = this.gossip.received(digest, this.clock.nanos());
			apply(answer.events());
			return answer.reply();
		});
	}

	/**
	 * Answers a request for shares of another daemon. Blocks until the control thread
	 * answered.
	 * @param request the request, not null
	 * @return the reply, or empty if the control thread is overloaded
	 */
	Optional<ShareReply> shares(ShareRequest request) {
		return onControlThread(() -> this.shares.requested(request, this.clock.nanos()));
	}

	private <T> Optional<T> onControlThread(Supplier<T> decision) {
		CompletableFuture<T> result = new CompletableFuture<>();
		if (!this.controlThread.offer(() -> result.complete(decision.get()))) {
			return Optional.empty();
		}
		try {
			return Optional.of(result.get(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
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
	 * Asks for a part of a team's limit before the next regular tick, since a request
	 * waits for it.
	 */
	private void askSoon() {
		if (this.asking) {
			return;
		}
		this.asking = true;
		this.controlThread.post(() -> {
			this.asking = false;
			shareTick();
		});
	}

	private void gossipTick() {
		long nanos = this.clock.nanos();
		this.configurations.members(this.membership);
		this.gossip.generation(this.control.snapshot().configuration().generation());
		this.control.leaving()
			.notices()
			.forEach((upstream, incarnation) -> this.gossip.leaving(new LeavingNotice(upstream, incarnation)));
		this.gossip.tick(nanos)
			.ifPresent((exchange) -> exchange(() -> this.client.gossip(exchange.target(), exchange.digest()),
					(reply) -> apply(this.gossip.merge(reply, this.clock.nanos())),
					() -> this.gossip.failed(exchange, this.clock.nanos())));
		if (!this.readingList && nanos - this.nextListNanos >= 0) {
			this.readingList = true;
			exchange(this.instances::read, this::listed, this::listFailed);
		}
	}

	private void shareTick() {
		for (LimitShares.Ask ask : this.shares.tick(this.clock.nanos())) {
			exchange(() -> this.client.shares(ask.owner().address(), ask.request()), (reply) -> {
				this.shares.replied(ask, reply, this.clock.nanos());
				this.control.tick();
			}, () -> this.shares.failed(ask, this.clock.nanos()));
		}
	}

	private void apply(List<GossipEvent> events) {
		boolean changed = false;
		for (GossipEvent event : events) {
			if (event instanceof GossipEvent.UpstreamLeaving leaving) {
				changed |= this.control.leaving().left(leaving.notice().upstream(), leaving.notice().incarnation());
			}
			else if (event instanceof GossipEvent.NewerGeneration newer) {
				follow(newer.from());
			}
		}
		if (changed) {
			this.control.leavingChanged();
		}
	}

	private void follow(Member sibling) {
		try {
			this.executor.execute(() -> this.configurations.follow(sibling));
		}
		catch (RejectedExecutionException ex) {
			logger.debug("configuration of {} not read, too many exchanges wait", sibling.name());
		}
	}

	/**
	 * Returns sources of the configuration to use while the object API does not answer.
	 * @return up to three siblings, chosen at random
	 */
	List<SnapshotSource> configurationSources() {
		return this.configurations.sources();
	}

	/**
	 * Returns whether this daemon is one of those that publish the configuration.
	 * @return true if it is
	 */
	boolean isPublisherCandidate() {
		return this.configurations.isPublisherCandidate();
	}

	private void listed(List<Instance> listed) {
		listEnded();
		boolean changed = false;
		for (Instance instance : listed) {
			boolean upstream = instance.role() == Instance.Role.ENGINE || instance.role() == Instance.Role.SERVICE;
			if (upstream) {
				this.control.leaving().seen(instance.name(), instance.incarnation());
			}
			if (upstream && instance.leaving()) {
				changed |= this.control.leaving().left(instance.name(), instance.incarnation());
			}
		}
		List<Address> addresses = listed.stream()
			.filter((instance) -> instance.role() == Instance.Role.ROUTER && !instance.leaving())
			.map(Instance::address)
			.toList();
		this.membership.seeds(addresses.isEmpty() ? this.seeds : addresses);
		if (changed) {
			logger.info("the instance list names more leaving upstreams");
		}
		this.control.leavingChanged();
	}

	private void listFailed() {
		listEnded();
	}

	private void listEnded() {
		this.readingList = false;
		Duration period = LIST_PERIOD_PER_MEMBER.multipliedBy(this.membership.alive().size());
		this.nextListNanos = this.clock.nanos() + Math.max(LIST_PERIOD.toNanos(), period.toNanos());
	}

	private <T> void exchange(PeerCall<T> call, Consumer<T> replied, Runnable failed) {
		try {
			this.executor.execute(() -> {
				try {
					T reply = call.call();
					this.controlThread.post(() -> replied.accept(reply));
				}
				catch (PeerException ex) {
					logger.debug("exchange failed: {}", ex.toString());
					this.controlThread.post(failed);
				}
			});
		}
		catch (RejectedExecutionException ex) {
			failed.run();
		}
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	@FunctionalInterface
	private interface PeerCall<T> {

		T call() throws PeerException;

	}

}
