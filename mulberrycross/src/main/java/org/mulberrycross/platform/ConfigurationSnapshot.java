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
 * One complete generation in its stored form: the head and the chunks that it references.
 * Immutable and thread-safe; the byte arrays must not be modified.
 */
public final class ConfigurationSnapshot {

	/**
	 * Number of buckets that objects are distributed over. With 20,000 teams of about 300
	 * bytes each, a daemon reads a chunk of 23 KB and a head of 16 KB for each change,
	 * which is close to the minimum of their sum over all bucket counts.
	 */
	static final int BUCKET_COUNT = 256;

	private static final ConfigurationSnapshot EMPTY = new ConfigurationSnapshot(
			new ConfigurationHead(0, 0, "", Collections.nCopies(BUCKET_COUNT, "")), new byte[0], Map.of(), Map.of());

	private final ConfigurationHead head;

	private final byte[] headBytes;

	private final Map<String, byte[]> chunks;

	private final Map<String, ConfigurationChunk> decodedChunks;

	private final AcceptedSet accepted;

	private ConfigurationSnapshot(ConfigurationHead head, byte[] headBytes, Map<String, byte[]> chunks,
			Map<String, ConfigurationChunk> decoded) {
		this.head = head;
		this.headBytes = headBytes;
		this.chunks = Map.copyOf(chunks);
		this.decodedChunks = Map.copyOf(decoded);
		TreeMap<String, AcceptedObject> objects = new TreeMap<>();
		for (ConfigurationChunk chunk : decoded.values()) {
			chunk.objects().forEach((object) -> objects.put(object.object().key(), object));
		}
		this.accepted = new AcceptedSet(head.generation(), head.revision(), objects);
	}

	/**
	 * Returns the snapshot without objects, for use before anything was accepted.
	 * @return the snapshot of generation 0
	 */
	public static ConfigurationSnapshot empty() {
		return EMPTY;
	}

	/**
	 * Reads the snapshot that a head references. Chunks that the previous snapshot
	 * contains are reused.
	 * @param headBytes the encoded head, JSON in UTF-8, not null
	 * @param codec decodes the head and the chunks, not null
	 * @param previous a snapshot whose chunks are reused, not null
	 * @param source the source to read missing chunks from, not null
	 * @return the snapshot
	 * @throws PeerException if a chunk is missing or does not match its digest, the head
	 * or a chunk cannot be decoded, or the source cannot be read
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
			byte[] reused = previous.chunks.get(digest);
			if (reused != null) {
				chunks.put(digest, reused);
				decoded.put(digest, previous.decodedChunks.get(digest));
				continue;
			}
			byte[] bytes = source.chunk(digest)
				.orElseThrow(() -> invalidSnapshot(
						"chunk " + digest + " of generation " + head.generation() + " is missing"));
			if (!DigestUtils.sha256Hex(bytes).equals(digest)) {
				throw invalidSnapshot(
						"chunk " + digest + " of generation " + head.generation() + " does not match its digest");
			}
			chunks.put(digest, bytes);
			decoded.put(digest, codec.decode(bytes, ConfigurationChunk.class));
		}
		return new ConfigurationSnapshot(head, headBytes, chunks, decoded);
	}

	private static PeerException invalidSnapshot(String message) {
		return new PeerException(Step.APPLY, new Peer(Peer.Kind.PLATFORM, ""), message);
	}

	/**
	 * Builds the snapshot of the next generation. Buckets without a change reuse their
	 * current chunk.
	 * @param next the accepted objects of the next generation, not null
	 * @param codec encodes the head and the chunks, not null
	 * @param token a new unique token, not null
	 * @return the snapshot
	 * @throws IllegalStateException if the set is not a valid successor of the set of
	 * this snapshot
	 */
	public ConfigurationSnapshot buildSuccessor(AcceptedSet next, ConfigurationCodec codec, String token) {
		Objects.requireNonNull(token, "token");
		this.accepted.requireValidSuccessor(next);
		List<List<AcceptedObject>> buckets = new ArrayList<>();
		for (int i = 0; i < BUCKET_COUNT; i++) {
			buckets.add(new ArrayList<>());
		}
		next.objects().forEach((key, object) -> buckets.get(bucketIndex(key)).add(object));
		List<String> digests = new ArrayList<>();
		Map<String, byte[]> encodedChunks = new HashMap<>();
		Map<String, ConfigurationChunk> chunkValues = new HashMap<>();
		for (int i = 0; i < BUCKET_COUNT; i++) {
			String digest = this.head.chunks().get(i);
			ConfigurationChunk chunk = this.decodedChunks.get(digest);
			byte[] encoded = this.chunks.get(digest);
			List<AcceptedObject> previousObjects = (chunk != null) ? chunk.objects() : List.of();
			if (buckets.get(i).isEmpty()) {
				digests.add("");
				continue;
			}
			if (!buckets.get(i).equals(previousObjects)) {
				chunk = new ConfigurationChunk(next.generation(), token, buckets.get(i));
				encoded = codec.encode(chunk);
				digest = DigestUtils.sha256Hex(encoded);
			}
			digests.add(digest);
			encodedChunks.put(digest, encoded);
			chunkValues.put(digest, chunk);
		}
		ConfigurationHead successor = new ConfigurationHead(next.generation(), next.revision(), token, digests);
		return new ConfigurationSnapshot(successor, codec.encode(successor), encodedChunks, chunkValues);
	}

	private static int bucketIndex(String key) {
		return DigestUtils.sha256(key)[0] & 0xff;
	}

	/**
	 * Returns the decoded head.
	 * @return the head, of generation 0 for the empty snapshot
	 */
	public ConfigurationHead head() {
		return this.head;
	}

	/**
	 * Returns the encoded head.
	 * @return the head as JSON in UTF-8, empty for generation 0
	 */
	public Optional<byte[]> headBytes() {
		return (this.headBytes.length > 0) ? Optional.of(this.headBytes) : Optional.empty();
	}

	/**
	 * Returns the encoded chunks by digest.
	 * @return the chunks, unmodifiable
	 */
	public Map<String, byte[]> chunks() {
		return this.chunks;
	}

	/**
	 * Returns the accepted objects of all chunks.
	 * @return the set, with the generation and revision of the head
	 */
	public AcceptedSet accepted() {
		return this.accepted;
	}

}
