package org.mulberrycross.platform;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.operator.Configuration;

/**
 * Keeps the newest accepted configuration that this daemon has seen and hands each one on
 * whole, in increasing order of generations. It also serves what it has to siblings.
 * Thread-safe; {@link #follow} blocks while the source is read.
 */
public final class ConfigurationFollower implements SnapshotSource {

	private final ConfigurationCodec codec;

	private final Consumer<Configuration> sink;

	private volatile ConfigurationSnapshot current = ConfigurationSnapshot.empty();

	/**
	 * Creates a follower of generation 0.
	 * @param codec decodes heads and chunks, not null
	 * @param sink receives each configuration, not null; must not block
	 */
	public ConfigurationFollower(ConfigurationCodec codec, Consumer<Configuration> sink) {
		this.codec = Objects.requireNonNull(codec, "codec");
		this.sink = Objects.requireNonNull(sink, "sink");
	}

	/**
	 * Returns the generation that this daemon has.
	 * @return the generation, 0 if it has none
	 */
	public long generation() {
		return this.current.head().generation();
	}

	/**
	 * Returns the accepted objects that this daemon has.
	 * @return the set
	 */
	public AcceptedSet accepted() {
		return this.current.accepted();
	}

	/**
	 * Reads the head of a source and, if it is newer, the chunks that changed.
	 * @param source the source, not null
	 * @return true if a newer generation was applied
	 * @throws PeerException if the source does not answer or what it has is not whole;
	 * the configuration then stays as it is
	 */
	public boolean follow(SnapshotSource source) throws PeerException {
		Optional<byte[]> head = source.head();
		return head.isPresent() && follow(head.get(), source);
	}

	/**
	 * Applies the configuration that a head names, if it is newer.
	 * @param headBytes the JSON text of the head, not null
	 * @param source where to read the chunks that changed, not null
	 * @return true if a newer generation was applied
	 * @throws PeerException if the source does not answer or what it has is not whole;
	 * the configuration then stays as it is
	 */
	public boolean follow(byte[] headBytes, SnapshotSource source) throws PeerException {
		ConfigurationSnapshot known = this.current;
		ConfigurationHead head = this.codec.decode(headBytes, ConfigurationHead.class);
		if (head.generation() == known.head().generation() && !head.token().equals(known.head().token())) {
			throw new PeerException(Step.APPLY, new Peer(Peer.Kind.PLATFORM, ""),
					"two different heads have generation " + head.generation());
		}
		if (head.generation() <= known.head().generation()) {
			return false;
		}
		return apply(ConfigurationSnapshot.read(headBytes, this.codec, known, source));
	}

	private synchronized boolean apply(ConfigurationSnapshot next) {
		if (next.head().generation() <= generation()) {
			return false;
		}
		this.current.accepted().assertMayBeFollowedBy(next.accepted());
		this.current = next;
		this.sink.accept(next.accepted().configuration());
		return true;
	}

	@Override
	public Optional<byte[]> head() {
		return this.current.headBytes();
	}

	@Override
	public Optional<byte[]> chunk(String digest) {
		return Optional.ofNullable(this.current.chunks().get(digest));
	}

}
