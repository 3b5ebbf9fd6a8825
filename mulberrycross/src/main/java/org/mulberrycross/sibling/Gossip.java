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
 * Disseminates updates between daemons by push-pull gossip: once a second this daemon
 * sends a digest to one other daemon, which replies with its own digest. A digest is
 * filled in the order configuration generation, leaving upstreams, engine health, engine
 * load, members. Within each kind, entries that were never sent come first, then the
 * least recently sent ones. Not thread-safe; confined to the control thread.
 */
public final class Gossip {

	/**
	 * Maximum size of an encoded digest. At four digests per second (one exchange started
	 * and one answered) this is 16 KB/s of the 26 KB/s budget for control traffic.
	 */
	public static final int MAX_DIGEST_BYTES = 4096;

	/**
	 * Bytes reserved for the field names and the sender.
	 */
	private static final int ENVELOPE_BYTES = 320;

	/**
	 * Minimum number of bytes available to members, since daemons whose heartbeats are
	 * not disseminated become suspected.
	 */
	private static final int RESERVED_MEMBER_BYTES = 1100;

	/**
	 * Maximum number of bytes for leaving notices, so that old notices never crowd out
	 * health and load reports.
	 */
	private static final int MAX_LEAVING_BYTES = 1400;

	private static final int MAX_HEALTH_BYTES = 600;

	/**
	 * Maximum number of leaving notices kept; beyond it the notice that arrived first is
	 * dropped. The deployment expected in two years has 1,210 instances, 210 of which are
	 * replaced per day.
	 */
	private static final int MAX_LEAVING_NOTICES = 4096;

	private static final Duration HEALTH_EXPIRY = Duration.ofSeconds(60);

	private static final Duration LOAD_EXPIRY = Duration.ofSeconds(30);

	/**
	 * Number of bits by which the incarnation, in milliseconds, is shifted to obtain the
	 * first report version. Versions of a restarted daemon are therefore higher, as long
	 * as the previous process made fewer than a million reports per millisecond.
	 */
	private static final int VERSION_BITS_PER_MILLI = 20;

	private final Membership membership;

	private final ToIntFunction<Object> encodedSize;

	private final Map<String, NoticeEntry> notices = new HashMap<>();

	private final ReportTable<HealthReport> health = new ReportTable<>(HEALTH_EXPIRY);

	private final ReportTable<LoadReport> load = new ReportTable<>(LOAD_EXPIRY);

	private long generation;

	private long lastReportVersion;

	private long sendSequence;

	private long arrivalSequence;

	/**
	 * Creates a gossip state without notices and reports.
	 * @param membership the known daemons, not null
	 * @param encodedSize returns the encoded size of an entry including its separator, in
	 * bytes; not null
	 */
	public Gossip(Membership membership, ToIntFunction<Object> encodedSize) {
		this.membership = Objects.requireNonNull(membership, "membership");
		this.encodedSize = Objects.requireNonNull(encodedSize, "encodedSize");
		this.lastReportVersion = membership.self().incarnation() << VERSION_BITS_PER_MILLI;
	}

	/**
	 * Starts the next exchange. Called once a second.
	 * @param nanos the time on the daemon's monotonic clock
	 * @return the digest to send and its target, or empty if no other daemon is known
	 */
	public Optional<Exchange> tick(long nanos) {
		this.membership.tick(nanos);
		return this.membership.chooseTarget().map((address) -> new Exchange(address, buildDigest(nanos)));
	}

	/**
	 * Merges a digest that another daemon sent as a request and creates the reply.
	 * @param digest the received digest, not null
	 * @param nanos the time on the daemon's monotonic clock
	 * @return the reply, and an event for each new generation, notice or report
	 */
	public Answer handleRequest(Digest digest, long nanos) {
		List<GossipEvent> events = merge(digest, nanos);
		return new Answer(buildDigest(nanos), events);
	}

	/**
	 * Merges a received digest into the local state.
	 * @param digest the received digest, not null
	 * @param nanos the time on the daemon's monotonic clock
	 * @return an event for each new generation, notice or report
	 */
	public List<GossipEvent> merge(Digest digest, long nanos) {
		List<GossipEvent> events = new ArrayList<>();
		this.membership.mergeMember(digest.sender(), nanos);
		this.membership.recordSuccess(digest.sender().name(), nanos);
		digest.members().forEach((member) -> this.membership.mergeMember(member, nanos));
		if (digest.generation() > this.generation) {
			events.add(new GossipEvent.NewerGeneration(digest.generation(), digest.sender()));
		}
		for (LeavingNotice notice : digest.leaving()) {
			if (recordLeaving(notice)) {
				events.add(new GossipEvent.UpstreamLeaving(notice));
			}
		}
		for (HealthReport report : digest.health()) {
			if (this.health.putIfNewer(report, nanos)) {
				events.add(new GossipEvent.EngineReported(report));
			}
		}
		for (LoadReport report : digest.load()) {
			if (this.load.putIfNewer(report, nanos)) {
				events.add(new GossipEvent.EngineReported(report));
			}
		}
		return events;
	}

	/**
	 * Records that an exchange received no valid reply.
	 * @param exchange the failed exchange, not null
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public void recordFailure(Exchange exchange, long nanos) {
		this.membership.recordFailure(exchange.target(), nanos);
	}

	/**
	 * Updates the configuration generation in force at this daemon. A generation that is
	 * lower than the present one is ignored.
	 * @param newGeneration the generation in force
	 */
	public void updateGeneration(long newGeneration) {
		this.generation = Math.max(this.generation, newGeneration);
	}

	/**
	 * Returns the configuration generation in force at this daemon.
	 * @return the generation, 0 for none
	 */
	public long generation() {
		return this.generation;
	}

	/**
	 * Records that an upstream is leaving. A notice is never withdrawn, and does not
	 * apply to higher incarnations of the upstream.
	 * @param notice the notice, not null
	 * @return true if no notice for this or a higher incarnation was known
	 */
	public boolean recordLeaving(LeavingNotice notice) {
		NoticeEntry current = this.notices.get(notice.upstream());
		if (current != null && current.notice.incarnation() >= notice.incarnation()) {
			return false;
		}
		this.notices.put(notice.upstream(), new NoticeEntry(notice, ++this.arrivalSequence, 0));
		if (this.notices.size() > MAX_LEAVING_NOTICES) {
			this.notices.values()
				.stream()
				.min(Comparator.comparingLong(NoticeEntry::arrivalSequence))
				.ifPresent((oldest) -> this.notices.remove(oldest.notice.upstream()));
		}
		return true;
	}

	/**
	 * Records the health of an engine as observed by this daemon.
	 * @param engine the name of the engine, not null
	 * @param suspected whether the engine is suspected to have failed
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public void recordHealth(String engine, boolean suspected, long nanos) {
		this.health.putIfNewer(
				new HealthReport(engine, this.membership.self().name(), ++this.lastReportVersion, 0, suspected), nanos);
	}

	/**
	 * Records the load of an engine as observed by this daemon.
	 * @param engine the name of the engine, not null
	 * @param running the number of steps in the current batch
	 * @param queued the number of steps that wait for a batch
	 * @param batchLimit the maximum batch size, in steps
	 * @param stepMicros the duration of one batch step in microseconds
	 * @param nanos the time on the daemon's monotonic clock
	 */
	public void recordLoad(String engine, int running, int queued, int batchLimit, long stepMicros, long nanos) {
		this.load.putIfNewer(new LoadReport(engine, this.membership.self().name(), ++this.lastReportVersion, 0, running,
				queued, batchLimit, stepMicros), nanos);
	}

	private Digest buildDigest(long nanos) {
		int remainingBytes = MAX_DIGEST_BYTES - ENVELOPE_BYTES - RESERVED_MEMBER_BYTES;
		List<LeavingNotice> leaving = new ArrayList<>();
		List<HealthReport> healthReports = new ArrayList<>();
		List<LoadReport> loadReports = new ArrayList<>();
		List<Member> members = new ArrayList<>();
		remainingBytes -= appendWithinBudget(leaving, leastRecentlySentNotices(),
				Math.min(remainingBytes, MAX_LEAVING_BYTES), this::markSent);
		remainingBytes -= appendWithinBudget(healthReports, this.health.leastRecentlySent(nanos),
				Math.min(remainingBytes, MAX_HEALTH_BYTES), this.health::markSent);
		remainingBytes -= appendWithinBudget(loadReports, this.load.leastRecentlySent(nanos), remainingBytes,
				this.load::markSent);
		appendWithinBudget(members, this.membership.leastRecentlySent(), remainingBytes + RESERVED_MEMBER_BYTES,
				this.membership::markSent);
		return new Digest(Digest.PROTOCOL, this.membership.self(), this.generation, leaving, healthReports, loadReports,
				members);
	}

	private List<LeavingNotice> leastRecentlySentNotices() {
		return this.notices.values()
			.stream()
			.sorted(Comparator.comparingLong(NoticeEntry::lastSentSequence).thenComparing(NoticeEntry::arrivalSequence))
			.map(NoticeEntry::notice)
			.toList();
	}

	private void markSent(LeavingNotice notice) {
		this.notices.computeIfPresent(notice.upstream(),
				(name, entry) -> new NoticeEntry(entry.notice, entry.arrivalSequence, ++this.sendSequence));
	}

	private <T> int appendWithinBudget(List<T> target, List<T> candidates, int maxBytes, Consumer<T> markSent) {
		int usedBytes = 0;
		for (T entry : candidates) {
			int size = this.encodedSize.applyAsInt(entry);
			if (usedBytes + size > maxBytes) {
				break;
			}
			usedBytes += size;
			target.add(entry);
			markSent.accept(entry);
		}
		return usedBytes;
	}

	private record NoticeEntry(LeavingNotice notice, long arrivalSequence, long lastSentSequence) {

	}

	/**
	 * A digest to send to another daemon. Immutable and thread-safe.
	 *
	 * @param target the address of the daemon to send it to
	 * @param digest the digest
	 */
	public record Exchange(Address target, Digest digest) {

	}

	/**
	 * The result of handling a digest that another daemon sent as a request. Immutable
	 * and thread-safe.
	 *
	 * @param reply the digest to send back
	 * @param events an event for each new generation, notice or report
	 */
	public record Answer(Digest reply, List<GossipEvent> events) {

	}

}
