package org.mulberrycross.sibling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;

import org.mulberrycross.Address;

/**
 * Spreads news between daemons: once a second a digest goes to one of them, and its reply
 * is a digest too. A digest is filled in the order configuration generation, leaving
 * upstreams, health of engines, load of engines, members; within each kind, news that was
 * never sent goes first and then what was sent longest ago. Not thread-safe; owned by the
 * control thread.
 */
public final class Gossip {

	/**
	 * Bound on an encoded digest. At four digests a second (one exchange started and one
	 * answered) this is 16 KB/s of the 26 KB/s that control work may use.
	 */
	public static final int MAX_DIGEST_BYTES = 4096;

	/**
	 * Room for the names of the fields and for the sender.
	 */
	private static final int ENVELOPE_BYTES = 320;

	/**
	 * Room kept for members, since without heartbeats every daemon would become
	 * suspected.
	 */
	private static final int MEMBER_BYTES = 1100;

	/**
	 * Bound on leaving notices, so that a history of them never displaces health and
	 * load.
	 */
	private static final int LEAVING_BYTES = 1400;

	private static final int HEALTH_BYTES = 600;

	/**
	 * Bound on the leaving notices kept. Two years' size has 1,210 instances, of which
	 * 210 are replaced a day; above the bound the notice received longest ago is dropped.
	 */
	private static final int MAX_NOTICES = 4096;

	private static final Duration HEALTH_EXPIRY = Duration.ofSeconds(60);

	private static final Duration LOAD_EXPIRY = Duration.ofSeconds(30);

	/**
	 * Versions start at the incarnation times this number, so that those of a restarted
	 * daemon are higher while it made less than a million reports per millisecond.
	 */
	private static final int VERSIONS_PER_MILLI_BITS = 20;

	private final Membership membership;

	private final ToIntFunction<Object> bytes;

	private final Map<String, Notice> notices = new HashMap<>();

	private final ReportTable<HealthReport> health = new ReportTable<>(HEALTH_EXPIRY);

	private final ReportTable<LoadReport> load = new ReportTable<>(LOAD_EXPIRY);

	private long generation;

	private long version;

	private long sendCount;

	private long noticeCount;

	/**
	 * Creates a gossip without news.
	 * @param membership the daemons, not null
	 * @param bytes returns the encoded size of an entry with its separator, not null
	 */
	public Gossip(Membership membership, ToIntFunction<Object> bytes) {
		this.membership = Objects.requireNonNull(membership, "membership");
		this.bytes = Objects.requireNonNull(bytes, "bytes");
		this.version = membership.self().incarnation() << VERSIONS_PER_MILLI_BITS;
	}

	/**
	 * Starts the exchange of this second.
	 * @param nanos the time on the daemon's monotonic clock
	 * @return where to send which digest, or empty if no other daemon is known
	 */
	public Optional<Exchange> tick(long nanos) {
		this.membership.tick(nanos);
		return this.membership.target().map((address) -> new Exchange(address, digest(nanos)));
	}

	/**
	 * Takes in a digest that came as a request and answers it.
	 * @param digest the digest, not null
	 * @param nanos the time on the daemon's monotonic clock
	 * @return the reply and the news
	 */
	public Answer received(Digest digest, long nanos) {
		List<GossipEvent> events = merge(digest, nanos);
		return new Answer(digest(nanos), events);
	}

	/**
	 * Takes in a digest.
	 * @param digest the digest, not null
	 * @param nanos the time on the daemon's monotonic clock
	 * @return the news
	 */
	public List<GossipEvent> merge(Digest digest, long nanos) {
		List<GossipEvent> events = new ArrayList<>();
		this.membership.heard(digest.sender(), nanos);
		this.membership.reached(digest.sender().name(), nanos);
		digest.members().forEach((member) -> this.membership.heard(member, nanos));
		if (digest.generation() > this.generation) {
			events.add(new GossipEvent.NewerGeneration(digest.generation(), digest.sender()));
		}
		for (LeavingNotice notice : digest.leaving()) {
			if (leaving(notice)) {
				events.add(new GossipEvent.UpstreamLeaving(notice));
			}
		}
		for (HealthReport report : digest.health()) {
			if (this.health.offer(report, nanos)) {
				events.add(new GossipEvent.EngineReported(report));
			}
		}
		for (LoadReport report : digest.load()) {
			if (this.load.offer(report, nanos)) {
				events.add(new GossipEvent.EngineReported(report));
			}
		}
		return events;
	}

	/**
	 * Notes that an exchange got no reply.
	 * @param exchange the exchange, not null
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public void failed(Exchange exchange, long nanos) {
		this.membership.unreachable(exchange.target(), nanos);
	}

	/**
	 * Notes which configuration generation is in force here. Lower ones are ignored.
	 * @param inForce the generation
	 */
	public void generation(long inForce) {
		this.generation = Math.max(this.generation, inForce);
	}

	/**
	 * Returns the configuration generation in force here.
	 * @return the generation, 0 for none
	 */
	public long generation() {
		return this.generation;
	}

	/**
	 * Notes that an upstream is leaving. The notice is never withdrawn; a higher
	 * incarnation of the upstream is not covered by it.
	 * @param notice the notice, not null
	 * @return whether it is news
	 */
	public boolean leaving(LeavingNotice notice) {
		Notice known = this.notices.get(notice.upstream());
		if (known != null && known.notice.incarnation() >= notice.incarnation()) {
			return false;
		}
		this.notices.put(notice.upstream(), new Notice(notice, ++this.noticeCount, 0));
		if (this.notices.size() > MAX_NOTICES) {
			this.notices.values()
				.stream()
				.min(Comparator.comparingLong(Notice::number))
				.ifPresent((oldest) -> this.notices.remove(oldest.notice.upstream()));
		}
		return true;
	}

	/**
	 * Notes the health of an engine that this daemon observed.
	 * @param engine the name of the engine, not null
	 * @param suspected whether it is suspected to have failed
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public void observedHealth(String engine, boolean suspected, long nanos) {
		this.health.offer(new HealthReport(engine, this.membership.self().name(), ++this.version, 0, suspected), nanos);
	}

	/**
	 * Notes the load of an engine that this daemon observed.
	 * @param engine the name of the engine, not null
	 * @param running the number of steps in the current batch
	 * @param queued the number of steps that wait for a batch
	 * @param batchLimit the largest batch
	 * @param stepMicros the time of one batch step, in microseconds
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public void observedLoad(String engine, int running, int queued, int batchLimit, long stepMicros, long nanos) {
		this.load.offer(new LoadReport(engine, this.membership.self().name(), ++this.version, 0, running, queued,
				batchLimit, stepMicros), nanos);
	}

	private Digest digest(long nanos) {
		int room = MAX_DIGEST_BYTES - ENVELOPE_BYTES - MEMBER_BYTES;
		List<LeavingNotice> leaving = new ArrayList<>();
		List<HealthReport> healthReports = new ArrayList<>();
		List<LoadReport> loadReports = new ArrayList<>();
		List<Member> members = new ArrayList<>();
		room -= fill(leaving, toSend(), Math.min(room, LEAVING_BYTES), this::sent);
		room -= fill(healthReports, this.health.toSend(nanos), Math.min(room, HEALTH_BYTES), this.health::sent);
		room -= fill(loadReports, this.load.toSend(nanos), room, this.load::sent);
		fill(members, this.membership.toSend(), room + MEMBER_BYTES, this.membership::sent);
		return new Digest(Digest.PROTOCOL, this.membership.self(), this.generation, leaving, healthReports, loadReports,
				members);
	}

	private List<LeavingNotice> toSend() {
		return this.notices.values()
			.stream()
			.sorted(Comparator.comparingLong(Notice::sentNumber).thenComparing(Notice::number))
			.map(Notice::notice)
			.toList();
	}

	private void sent(LeavingNotice notice) {
		this.notices.computeIfPresent(notice.upstream(),
				(name, entry) -> new Notice(entry.notice, entry.number, ++this.sendCount));
	}

	private <T> int fill(List<T> target, List<T> source, int room, Consumer<T> sent) {
		int used = 0;
		for (T entry : source) {
			int size = this.bytes.applyAsInt(entry);
			if (used + size > room) {
				break;
			}
			used += size;
			target.add(entry);
			sent.accept(entry);
		}
		return used;
	}

	private record Notice(LeavingNotice notice, long number, long sentNumber) {

	}

	/**
	 * A digest to send. Immutable and thread-safe.
	 *
	 * @param target where to send it
	 * @param digest the digest
	 */
	public record Exchange(Address target, Digest digest) {

	}

	/**
	 * What comes of a digest. Immutable and thread-safe.
	 *
	 * @param reply the digest to answer with
	 * @param events the news
	 */
	public record Answer(Digest reply, List<GossipEvent> events) {

	}

}
