package org.mulberrycross.sibling;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import org.mulberrycross.Address;

/**
 * Tracks the known daemons and detects failed ones. A daemon is suspected after two
 * consecutive failed exchanges with it, or when its heartbeat has not increased for
 * {@link #SUSPECT_AFTER}, and expires after {@link #EXPIRE_AFTER}. Both durations are
 * measured on the local monotonic clock; clock readings of different daemons are never
 * compared. Not thread-safe; confined to the control thread.
 */
public final class Membership {

	/**
	 * Time without a higher heartbeat after which a daemon is suspected. A digest carries
	 * about 20 of 330 members, so a heartbeat needs several tens of seconds to reach all
	 * daemons. Failed exchanges detect a crashed daemon much earlier.
	 */
	public static final Duration SUSPECT_AFTER = Duration.ofSeconds(90);

	/**
	 * Time without a higher heartbeat after which a daemon expires and is no longer
	 * returned by {@link #member}. Its last heartbeat is kept for {@link #REMOVE_AFTER}.
	 */
	public static final Duration EXPIRE_AFTER = Duration.ofSeconds(180);

	/**
	 * Time without a higher heartbeat after which a daemon's entry is removed. Until then
	 * its last heartbeat is kept, so that an old message cannot revive an expired daemon.
	 */
	private static final Duration REMOVE_AFTER = Duration.ofSeconds(900);

	private static final int SUSPECT_FAILURE_COUNT = 2;

	/**
	 * One exchange in this many, on average, targets a seed or a suspected or expired
	 * daemon, so that both sides of a healed partition rediscover each other.
	 */
	private static final int EXCHANGES_PER_RECOVERY_PROBE = 5;

	private final Map<String, Entry> entries = new TreeMap<>();

	private final Deque<String> probeQueue = new ArrayDeque<>();

	private final RandomGenerator random;

	private Member self;

	private List<Address> seeds = List.of();

	private List<String> aliveNames;

	private long viewNumber;

	private long sendSequence;

	/**
	 * Creates a membership that contains only this daemon.
	 * @param self this daemon, not null
	 * @param random source of randomness for the choice of exchange targets, not null
	 */
	public Membership(Member self, RandomGenerator random) {
		this.self = Objects.requireNonNull(self, "self");
		this.random = Objects.requireNonNull(random, "random");
		this.aliveNames = List.of(self.name());
	}

	/**
	 * Returns the description of this daemon.
	 * @return this daemon with its current heartbeat
	 */
	public Member self() {
		return this.self;
	}

	/**
	 * Replaces the seeds. They are contacted in recovery exchanges, and when no other
	 * daemon is alive.
	 * @param addresses addresses from the settings or the instance list, not null; this
	 * daemon's own address is ignored
	 */
	public void updateSeeds(List<Address> addresses) {
		this.seeds = addresses.stream().filter((address) -> !address.equals(this.self.address())).toList();
	}

	/**
	 * Increments this daemon's heartbeat and re-evaluates suspicion and expiry.
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public void tick(long nanos) {
		this.self = new Member(this.self.name(), this.self.address(), this.self.incarnation(),
				this.self.heartbeat() + 1);
		this.entries.values().removeIf((entry) -> nanos - entry.lastHeartbeatNanos > REMOVE_AFTER.toNanos());
		updateAliveMembers(nanos);
	}

	/**
	 * Merges a received description of a daemon. Descriptions of this daemon, and those
	 * that are not newer than the known one, are ignored.
	 * @param member the received description, not null
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public void mergeMember(Member member, long nanos) {
		if (member.name().equals(this.self.name())) {
			return;
		}
		Entry current = this.entries.get(member.name());
		if (current != null && !member.isNewerThan(current.member)) {
			return;
		}
		Entry entry = (current != null) ? current : new Entry();
		if (current == null || member.incarnation() > current.member.incarnation()) {
			entry.consecutiveFailures = 0;
		}
		entry.member = member;
		entry.lastHeartbeatNanos = nanos;
		this.entries.put(member.name(), entry);
		if (!entry.alive) {
			updateAliveMembers(nanos);
		}
	}

	/**
	 * Records a successful exchange with a daemon and resets its failure count.
	 * @param name the name of the daemon, not null
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public void recordSuccess(String name, long nanos) {
		Optional.ofNullable(this.entries.get(name))
			.filter((entry) -> entry.consecutiveFailures > 0)
			.ifPresent((entry) -> {
				entry.consecutiveFailures = 0;
				updateAliveMembers(nanos);
			});
	}

	/**
	 * Records a failed exchange with a daemon. Until the daemon is suspected, another
	 * exchange with it is scheduled.
	 * @param address the address of the daemon, not null
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public void recordFailure(Address address, long nanos) {
		this.entries.values().stream().filter((entry) -> entry.member.address().equals(address)).forEach((entry) -> {
			entry.consecutiveFailures++;
			if (entry.consecutiveFailures < SUSPECT_FAILURE_COUNT) {
				scheduleProbe(entry.member.name());
			}
		});
		updateAliveMembers(nanos);
	}

	/**
	 * Schedules an exchange with a daemon that may have failed. Does nothing if one is
	 * already scheduled or the daemon is not alive.
	 * @param name the name of the daemon, not null
	 */
	public void scheduleProbe(String name) {
		if (!this.probeQueue.contains(name) && this.aliveNames.contains(name)) {
			this.probeQueue.add(name);
		}
	}

	/**
	 * Chooses the daemon for the next exchange. Scheduled probes come first; otherwise
	 * the choice is random.
	 * @return the address of the daemon, or empty if no other daemon is known
	 */
	public Optional<Address> chooseTarget() {
		Optional<Entry> scheduled = Optional.ofNullable(this.probeQueue.poll()).map(this.entries::get);
		if (scheduled.isPresent()) {
			return scheduled.map((entry) -> entry.member.address());
		}
		List<Address> candidates = this.aliveNames.stream()
			.filter((name) -> !name.equals(this.self.name()))
			.map((name) -> this.entries.get(name).member.address())
			.toList();
		if (candidates.isEmpty() || this.random.nextInt(EXCHANGES_PER_RECOVERY_PROBE) == 0) {
			List<Address> recoveryTargets = new ArrayList<>(this.seeds);
			this.entries.values()
				.stream()
				.filter((entry) -> !entry.alive)
				.forEach((entry) -> recoveryTargets.add(entry.member.address()));
			candidates = recoveryTargets.isEmpty() ? candidates : recoveryTargets;
		}
		return candidates.isEmpty() ? Optional.empty()
				: Optional.of(candidates.get(this.random.nextInt(candidates.size())));
	}

	/**
	 * Returns the names of the live daemons: this one and all that are neither suspected
	 * nor expired. Owners of teams are chosen among them.
	 * @return the names in natural order, not modifiable
	 */
	public List<String> aliveNames() {
		return this.aliveNames;
	}

	/**
	 * Returns the number of the current view of the live daemons, which increases
	 * whenever {@link #aliveNames} changes.
	 * @return the number of the view
	 */
	public long viewNumber() {
		return this.viewNumber;
	}

	/**
	 * Finds a daemon by its name.
	 * @param name the name of the daemon, not null
	 * @return the daemon, or empty if it is unknown or expired
	 */
	public Optional<Member> member(String name) {
		return name.equals(this.self.name()) ? Optional.of(this.self)
				: Optional.ofNullable(this.entries.get(name))
					.filter((entry) -> !entry.expired)
					.map((entry) -> entry.member);
	}

	/**
	 * Returns the live daemons other than this one, the least recently sent first.
	 * @return the descriptions to send
	 */
	List<Member> leastRecentlySent() {
		return this.entries.values()
			.stream()
			.filter((entry) -> entry.alive)
			.sorted((left, right) -> Long.compare(left.lastSentSequence, right.lastSentSequence))
			.map((entry) -> entry.member)
			.toList();
	}

	void markSent(Member member) {
		this.entries.get(member.name()).lastSentSequence = ++this.sendSequence;
	}

	private void updateAliveMembers(long nanos) {
		List<String> names = new ArrayList<>();
		names.add(this.self.name());
		for (Entry entry : this.entries.values()) {
			entry.expired = nanos - entry.lastHeartbeatNanos >= EXPIRE_AFTER.toNanos();
			entry.alive = entry.consecutiveFailures < SUSPECT_FAILURE_COUNT
					&& nanos - entry.lastHeartbeatNanos < SUSPECT_AFTER.toNanos();
			if (entry.alive) {
				names.add(entry.member.name());
			}
		}
		names.sort(null);
		if (!names.equals(this.aliveNames)) {
			this.aliveNames = List.copyOf(names);
			this.viewNumber++;
		}
	}

	private static final class Entry {

		private Member member;

		private long lastHeartbeatNanos;

		private int consecutiveFailures;

		private long lastSentSequence;

		private boolean alive;

		private boolean expired;

	}

}
