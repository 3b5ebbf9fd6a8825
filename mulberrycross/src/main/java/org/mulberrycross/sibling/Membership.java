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
 * The daemons that this daemon knows. A daemon is suspected when two exchanges with it
 * failed in a row or its heartbeat has not risen for {@link #SUSPECT_AFTER}, and expires
 * after {@link #EXPIRE_AFTER}. Both times are measured on the local monotonic clock; no
 * clock reading is compared with one of another daemon. Not thread-safe; owned by the
 * control thread.
 */
public final class Membership {

	/**
	 * Time without a higher heartbeat after which a daemon is suspected. A digest carries
	 * about 20 of 330 members, so a heartbeat needs several tens of seconds to reach all;
	 * failed exchanges reveal a dead daemon much earlier.
	 */
	public static final Duration SUSPECT_AFTER = Duration.ofSeconds(90);

	/**
	 * Time without a higher heartbeat after which a daemon no longer counts as known. Its
	 * last heartbeat is kept for {@link #FORGET_AFTER}.
	 */
	public static final Duration EXPIRE_AFTER = Duration.ofSeconds(180);

	/**
	 * Time for which the last heartbeat of an expired daemon is kept, so that an old
	 * message cannot bring it back.
	 */
	private static final Duration FORGET_AFTER = Duration.ofSeconds(900);

	private static final int FAILURES_TO_SUSPECT = 2;

	/**
	 * One in this many exchanges goes to a seed or to a suspected or expired daemon, so
	 * that the two sides of a healed partition find each other.
	 */
	private static final int RECOVERY_PERIOD = 5;

	private final Map<String, Entry> entries = new TreeMap<>();

	private final Deque<String> toVerify = new ArrayDeque<>();

	private final RandomGenerator random;

	private Member self;

	private List<Address> seeds = List.of();

	private List<String> alive;

	private long viewNumber;

	private long sendCount;

	/**
	 * Creates a membership that knows this daemon only.
	 * @param self this daemon, not null
	 * @param random chooses whom to talk to, not null
	 */
	public Membership(Member self, RandomGenerator random) {
		this.self = Objects.requireNonNull(self, "self");
		this.random = Objects.requireNonNull(random, "random");
		this.alive = List.of(self.name());
	}

	/**
	 * Returns this daemon.
	 * @return this daemon with its last heartbeat
	 */
	public Member self() {
		return this.self;
	}

	/**
	 * Sets the addresses from the settings and the instance list.
	 * @param addresses the addresses, not null
	 */
	public void seeds(List<Address> addresses) {
		this.seeds = addresses.stream().filter((address) -> !address.equals(this.self.address())).toList();
	}

	/**
	 * Raises this daemon's heartbeat and lets suspicion and expiry take effect.
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public void tick(long nanos) {
		this.self = new Member(this.self.name(), this.self.address(), this.self.incarnation(),
				this.self.heartbeat() + 1);
		this.entries.values().removeIf((entry) -> nanos - entry.risenNanos > FORGET_AFTER.toNanos());
		refresh(nanos);
	}

	/**
	 * Takes over a description that another daemon sent. Old ones are ignored.
	 * @param member the description, not null
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public void heard(Member member, long nanos) {
		if (member.name().equals(this.self.name())) {
			return;
		}
		Entry known = this.entries.get(member.name());
		if (known != null && !member.newerThan(known.member)) {
			return;
		}
		Entry entry = (known != null) ? known : new Entry();
		if (known == null || member.incarnation() > known.member.incarnation()) {
			entry.failures = 0;
		}
		entry.member = member;
		entry.risenNanos = nanos;
		this.entries.put(member.name(), entry);
		if (!entry.up) {
			refresh(nanos);
		}
	}

	/**
	 * Notes that a daemon was talked to, which clears failed exchanges.
	 * @param name the name of the daemon, not null
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public void reached(String name, long nanos) {
		Optional.ofNullable(this.entries.get(name)).filter((entry) -> entry.failures > 0).ifPresent((entry) -> {
			entry.failures = 0;
			refresh(nanos);
		});
	}

	/**
	 * Notes that an exchange with a daemon failed.
	 * @param address the address of the daemon, not null
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public void unreachable(Address address, long nanos) {
		this.entries.values().stream().filter((entry) -> entry.member.address().equals(address)).forEach((entry) -> {
			entry.failures++;
			if (entry.failures < FAILURES_TO_SUSPECT) {
				verify(entry.member.name());
			}
		});
		refresh(nanos);
	}

	/**
	 * Asks for an exchange with a daemon soon, since another daemon has doubts about it.
	 * @param name the name of the daemon, not null
	 */
	public void verify(String name) {
		if (!this.toVerify.contains(name) && this.alive.contains(name)) {
			this.toVerify.add(name);
		}
	}

	/**
	 * Chooses whom to talk to.
	 * @return an address, or empty if no other daemon is known
	 */
	public Optional<Address> target() {
		Optional<Entry> doubted = Optional.ofNullable(this.toVerify.poll()).map(this.entries::get);
		if (doubted.isPresent()) {
			return doubted.map((entry) -> entry.member.address());
		}
		List<Address> candidates = this.alive.stream()
			.filter((name) -> !name.equals(this.self.name()))
			.map((name) -> this.entries.get(name).member.address())
			.toList();
		if (candidates.isEmpty() || this.random.nextInt(RECOVERY_PERIOD) == 0) {
			List<Address> lost = new ArrayList<>(this.seeds);
			this.entries.values()
				.stream()
				.filter((entry) -> !entry.up)
				.forEach((entry) -> lost.add(entry.member.address()));
			candidates = lost.isEmpty() ? candidates : lost;
		}
		return candidates.isEmpty() ? Optional.empty()
				: Optional.of(candidates.get(this.random.nextInt(candidates.size())));
	}

	/**
	 * Returns the daemons that take part in decisions: this one and all that are neither
	 * suspected nor expired.
	 * @return the names in their natural order, not modifiable
	 */
	public List<String> alive() {
		return this.alive;
	}

	/**
	 * Returns a number that changes whenever {@link #alive} changes.
	 * @return the number
	 */
	public long viewNumber() {
		return this.viewNumber;
	}

	/**
	 * Finds a daemon that is known and not expired.
	 * @param name the name, not null
	 * @return the daemon, or empty
	 */
	public Optional<Member> member(String name) {
		return name.equals(this.self.name()) ? Optional.of(this.self)
				: Optional.ofNullable(this.entries.get(name))
					.filter((entry) -> !entry.expired)
					.map((entry) -> entry.member);
	}

	/**
	 * Returns the descriptions to send, the one sent longest ago first.
	 * @return the descriptions
	 */
	List<Member> toSend() {
		return this.entries.values()
			.stream()
			.filter((entry) -> entry.up)
			.sorted((left, right) -> Long.compare(left.sentNumber, right.sentNumber))
			.map((entry) -> entry.member)
			.toList();
	}

	void sent(Member member) {
		this.entries.get(member.name()).sentNumber = ++this.sendCount;
	}

	private void refresh(long nanos) {
		List<String> names = new ArrayList<>();
		names.add(this.self.name());
		for (Entry entry : this.entries.values()) {
			entry.expired = nanos - entry.risenNanos >= EXPIRE_AFTER.toNanos();
			entry.up = entry.failures < FAILURES_TO_SUSPECT && nanos - entry.risenNanos < SUSPECT_AFTER.toNanos();
			if (entry.up) {
				names.add(entry.member.name());
			}
		}
		names.sort(null);
		if (!names.equals(this.alive)) {
			this.alive = List.copyOf(names);
			this.viewNumber++;
		}
	}

	private static final class Entry {

		private Member member;

		private long risenNanos;

		private int failures;

		private long sentNumber;

		private boolean up;

		private boolean expired;

	}

}
