package org.mulberrycross.standins.engine;

import java.nio.ByteBuffer;

import org.mulberrycross.engine.KvCache;
import org.mulberrycross.engine.LayerRange;

/**
 * State that an engine keeps for one stream. Not thread-safe; {@link EngineStandin}
 * guards it by a lock.
 */
final class StreamCache {

	private static final long FIXED_OVERHEAD_BYTES = 1024;

	private final LayerRange layers;

	private final long[] layerState;

	private int attempt;

	private int nextPosition;

	private byte[] lastReply = {};

	/** First position of the last step, -1 before the first step. */
	private int lastPosition = -1;

	private long lastUsedNanos;

	StreamCache(LayerRange layers, int attempt) {
		this.layers = layers;
		this.layerState = new long[layers.size()];
		this.attempt = attempt;
	}

	StreamCache(KvCache imported) {
		this.layers = imported.layers();
		this.layerState = new long[this.layers.size()];
		ByteBuffer.wrap(imported.content()).asLongBuffer().get(this.layerState);
		this.attempt = imported.attempt();
		this.nextPosition = imported.nextPosition();
	}

	KvCache export(String stream, String version) {
		ByteBuffer content = ByteBuffer.allocate(this.layerState.length * Long.BYTES);
		content.asLongBuffer().put(this.layerState);
		return new KvCache(stream, this.attempt, version, this.layers, this.nextPosition, content.array());
	}

	/**
	 * Returns the size that counts towards the limit of the engine.
	 * @return the size of the layer state and of the fixed overhead, in bytes
	 */
	long sizeBytes() {
		return FIXED_OVERHEAD_BYTES + (long) this.layerState.length * Long.BYTES;
	}

	long lastUsedNanos() {
		return this.lastUsedNanos;
	}

	void markUsed(long nanos) {
		this.lastUsedNanos = nanos;
	}

	LayerRange layers() {
		return this.layers;
	}

	long[] layerState() {
		return this.layerState;
	}

	int attempt() {
		return this.attempt;
	}

	void setAttempt(int newAttempt) {
		this.attempt = newAttempt;
	}

	int nextPosition() {
		return this.nextPosition;
	}

	int lastPosition() {
		return this.lastPosition;
	}

	byte[] lastReply() {
		return this.lastReply;
	}

	void recordStep(int position, int count, byte[] reply) {
		this.lastPosition = position;
		this.nextPosition = position + count;
		this.lastReply = reply;
	}

}
