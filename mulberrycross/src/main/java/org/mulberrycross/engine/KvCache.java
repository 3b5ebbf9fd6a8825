package org.mulberrycross.engine;

import java.util.Objects;

/**
 * KV cache of one stream, exported from one engine in the engine's own encoding.
 * Immutable and thread-safe; the content must not be changed.
 *
 * @param stream the identifier of the stream
 * @param attempt the attempt that the cache belongs to
 * @param version the model version that computed it
 * @param layers the layers that it covers
 * @param nextPosition the position after the last one that it covers
 * @param content the cache in the engine's encoding
 */
public record KvCache(String stream, int attempt, String version, LayerRange layers, int nextPosition, byte[] content) {

	/**
	 * Creates a cache.
	 * @param stream the identifier of the stream, not null
	 * @param attempt the attempt that the cache belongs to
	 * @param version the model version, not null
	 * @param layers the layers, not null
	 * @param nextPosition the position after the last one that it covers
	 * @param content the content, not null
	 */
	public KvCache {
		Objects.requireNonNull(stream, "stream");
		Objects.requireNonNull(version, "version");
		Objects.requireNonNull(layers, "layers");
		Objects.requireNonNull(content, "content");
	}

	/**
	 * Returns this cache for another attempt of its stream.
	 * @param newAttempt the number of the attempt
	 * @return a cache that shares this content
	 */
	public KvCache withAttempt(int newAttempt) {
		return new KvCache(this.stream, newAttempt, this.version, this.layers, this.nextPosition, this.content);
	}

}
