package org.mulberrycross.platform;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.operator.Configuration;

/**
 * Keeps the newest accepted configuration that this daemon has read and passes each
 * complete configuration to a consumer, in order of increasing generation. Also serves
 * the current snapshot to sibling daemons. Thread-safe; {@link #applyIfNewer} blocks
 * while the source is read.
 */
public final class ConfigurationFollower implements SnapshotSource {

	private final ConfigurationCodec codec;

	private final Consumer<Configuration> sink;

	private volatile ConfigurationSnapshot current = ConfigurationSnapshot.empty();

	/**
	 * Creates a follower at generation 0, without a configuration.
	 * @param codec decodes heads and chunks, not null
	 * @param sink consumes each applied configuration, not null; must not block
	 */
	public ConfigurationFollower(ConfigurationCodec codec, Consumer<Configuration> sink) {
		this.codec = Objects.requireNonNull(codec, "codec");
		this.sink = Objects.requireNonNull(sink, "sink");
	}

	/**
	 * Returns the generation of the current configuration.
	 * @return the generation, 0 if no configuration was applied yet
	 */
	public long generation() {
		return this.current.head().generation();
	}

	/**
	 * Returns the accepted objects of the current configuration.
	 * @return the set, empty at generation 0
	 */
	public AcceptedSet accepted() {
		return this.current.accepted();
	}

	/**
	 * Reads the head of a source and, if it is newer than the current one, the chunks
	 * that changed, and applies the configuration.
	 * @param source the source, not null
	 * @return true if a newer generation was applied
	 * @throws PeerException if the source cannot be read or its snapshot is incomplete or
	 * invalid; the current configuration is then kept
	 */
	public boolean applyIfNewer(SnapshotSource source) throws PeerException {
		Optional<byte[]> head = source.head();
		return head.isPresent() && applyIfNewer(head.get(), source);
	}

	/**
	 * Applies the configuration that a head references if its generation is newer than
	 * the current one.
	 * @param headBytes the encoded head, JSON in UTF-8, not null
	 * @param source the source to read changed chunks from, not null
	 * @return true if a newer generation was applied
	 * @throws PeerException if the source cannot be read or its snapshot is incomplete or
	 * invalid; the current configuration is then kept
	 */
	public boolean applyIfNewer(byte[] headBytes, SnapshotSource source) throws PeerException {
		ConfigurationSnapshot previous = this.current;
		ConfigurationHead head = this.codec.decode(headBytes, ConfigurationHead.class);
		if (head.generation() == previous.head().generation() && !head.token().equals(previous.head().token())) {
			throw new PeerException(Step.APPLY, new Peer(Peer.Kind.PLATFORM, ""),
					"two different heads have generation " + head.generation());
		}
		if (head.generation() <= previous.head().generation()) {
			return false;
		}
		return apply(ConfigurationSnapshot.read(headBytes, this.codec, previous, source));
	}

	private synchronized boolean apply(ConfigurationSnapshot next) {
		if (next.head().generation() <= generation()) {
			return false;
		}
		this.current.accepted().requireValidSuccessor(next.accepted());
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
