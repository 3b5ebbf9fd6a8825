package org.mulberrycross.platform;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import org.apache.commons.codec.digest.DigestUtils;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;

/**
 * One whole generation in its stored form: the head and the chunks that it names.
 * Immutable and thread-safe; the byte arrays must not be changed.
 */
public final class ConfigurationSnapshot {

	/**
	 * Number of buckets. With 20,000 teams of about 300 bytes, a changed chunk (23 KB)
	 * and the head (16 KB) are near the least total that a change costs a daemon.
	 */
	static final int BUCKETS = 256;

	private static final ConfigurationSnapshot EMPTY = new ConfigurationSnapshot(
			new ConfigurationHead(0, 0, "", Collections.nCopies(BUCKETS, "")), new byte[0], Map.of(), Map.of());

	private final ConfigurationHead head;

	private final byte[] headBytes;

	private final Map<String, byte[]> chunks;

	private final Map<String, ConfigurationChunk> decoded;

	private final AcceptedSet accepted;

	private ConfigurationSnapshot(ConfigurationHead head, byte[] headBytes, Map<String, byte[]> chunks,
			Map<String, ConfigurationChunk> decoded) {
		this.head = head;
		this.headBytes = headBytes;
		this.chunks = Map.copyOf(chunks);
		this.decoded = Map.copyOf(decoded);
		TreeMap<String, AcceptedObject> objects = new TreeMap<>();
		for (ConfigurationChunk chunk : decoded.values()) {
			chunk.objects().forEach((object) -> objects.put(object.object().key(), object));
		}
		this.accepted = new AcceptedSet(head.generation(), head.revision(), objects);
	}

	/**
	 * Returns the snapshot from before anything was accepted.
	 * @return the snapshot of generation 0
	 */
	public static ConfigurationSnapshot empty() {
		return EMPTY;
	}

	/**
	 * Reads the snapshot that a head names. Chunks that the previous snapshot has are not
	 * read again.
	 * @param headBytes the JSON text of the head, not null
	 * @param codec decodes the head and the chunks, not null
	 * @param previous a snapshot that is known already, not null
	 * @param source where to read chunks, not null
	 * @return the snapshot
	 * @throws PeerException if a chunk is missing or does not match its digest, the text
	 * cannot be decoded or the source does not answer
	 */
	public static ConfigurationSnapshot read(byte[] headBytes, ConfigurationCodec codec, ConfigurationSnapshot previous,
			SnapshotSource source) throws PeerException {
		ConfigurationHead head = codec.decode(headBytes, ConfigurationHead.class);
		Map<String, byte[]> chunks = new HashMap<>();
		Map<String, ConfigurationChunk> decoded = new HashMap<>();
		for (String digest : head.chunks()) {
			if (digest.isEmpty()) {
				continue;
			}
			byte[] known = previous.chunks.get(digest);
			if (known != null) {
				chunks.put(digest, known);
				decoded.put(digest, previous.decoded.get(digest));
				continue;
			}
			byte[] bytes = source.chunk(digest)
				.orElseThrow(() -> fault("chunk " + digest + " of generation " + head.generation() + " is missing"));
			if (!DigestUtils.sha256Hex(bytes).equals(digest)) {
				throw fault("chunk " + digest + " of generation " + head.generation() + " does not match its digest");
			}
			chunks.put(digest, bytes);
			decoded.put(digest, codec.decode(bytes, ConfigurationChunk.class));
		}
		return new ConfigurationSnapshot(head, headBytes, chunks, decoded);
	}

	private static PeerException fault(String message) {
		return new PeerException(Step.APPLY, new Peer(Peer.Kind.PLATFORM, ""), message);
	}

	/**
	 * Builds the snapshot that is to follow this one. Buckets without a change keep their
	 * chunk.
	 * @param next the set to store, not null
	 * @param codec encodes the head and the chunks, not null
	 * @param token a new unique token, not null
	 * @return the snapshot
	 * @throws IllegalStateException if the set may not follow this snapshot's set
	 */
	public ConfigurationSnapshot successor(AcceptedSet next, ConfigurationCodec codec, String token) {
		Objects.requireNonNull(token, "token");
		this.accepted.assertMayBeFollowedBy(next);
		List<List<AcceptedObject>> buckets = new ArrayList<>();
		for (int i = 0; i < BUCKETS; i++) {
			buckets.add(new ArrayList<>());
		}
		next.objects().forEach((key, object) -> buckets.get(bucket(key)).add(object));
		List<String> digests = new ArrayList<>();
		Map<String, byte[]> bytes = new HashMap<>();
		Map<String, ConfigurationChunk> values = new HashMap<>();
		for (int i = 0; i < BUCKETS; i++) {
			String digest = this.head.chunks().get(i);
			ConfigurationChunk chunk = this.decoded.get(digest);
			byte[] encoded = this.chunks.get(digest);
			List<AcceptedObject> known = (chunk != null) ? chunk.objects() : List.of();
			if (buckets.get(i).isEmpty()) {
				digests.add("");
				continue;
			}
			if (!buckets.get(i).equals(known)) {
				chunk = new ConfigurationChunk(next.generation(), token, buckets.get(i));
				encoded = codec.encode(chunk);
				digest = DigestUtils.sha256Hex(encoded);
			}
			digests.add(digest);
			bytes.put(digest, encoded);
			values.put(digest, chunk);
		}
		ConfigurationHead successor = new ConfigurationHead(next.generation(), next.revision(), token, digests);
		return new ConfigurationSnapshot(successor, codec.encode(successor), bytes, values);
	}

	private static int bucket(String key) {
		return DigestUtils.sha256(key)[0] & 0xff;
	}

	/**
	 * Returns the head.
	 * @return the head
	 */
	public ConfigurationHead head() {
		return this.head;
	}

	/**
	 * Returns the JSON text of the head.
	 * @return the text, empty for generation 0
	 */
	public Optional<byte[]> headBytes() {
		return (this.headBytes.length > 0) ? Optional.of(this.headBytes) : Optional.empty();
	}

	/**
	 * Returns the bytes of all chunks by digest.
	 * @return the chunks, not modifiable
	 */
	public Map<String, byte[]> chunks() {
		return this.chunks;
	}

	/**
	 * Returns the accepted objects.
	 * @return the set
	 */
	public AcceptedSet accepted() {
		return this.accepted;
	}

}
