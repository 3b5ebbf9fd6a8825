package org.mulberrycross.standins.engine;

import java.nio.ByteBuffer;

import org.mulberrycross.engine.KvCache;
import org.mulberrycross.engine.LayerRange;

/**
 * State that an engine keeps for one stream. Not thread-safe; guarded by the lock of the
 * engine.
 */
final class StreamCache {

	private static final long FIXED_BYTES = 1024;

	private final LayerRange layers;

	private final long[] state;

	private int attempt;

	private int nextPosition;

	private byte[] lastReply = {};

	private int lastPosition = -1;

	private long usedNanos;

	StreamCache(LayerRange layers, int attempt) {
		this.layers = layers;
		this.state = new long[layers.size()];
		this.attempt = attempt;
	}

	StreamCache(KvCache imported) {
		this.layers = imported.layers();
		this.state = new long[this.layers.size()];
		ByteBuffer.wrap(imported.content()).asLongBuffer().get(this.state);
		this.attempt = imported.attempt();
		this.nextPosition = imported.nextPosition();
	}

	KvCache export(String stream, String version) {
		ByteBuffer content = ByteBuffer.allocate(this.state.length * Long.BYTES);
		content.asLongBuffer().put(this.state);
		return new KvCache(stream, this.attempt, version, this.layers, this.nextPosition, content.array());
	}

	/**
	 * Returns the size that counts towards the engine's limit.
	 * @return the size of the state and of the fixed parts, in bytes
	 */
	long bytes() {
		return FIXED_BYTES + (long) this.state.length * Long.BYTES;
	}

	long usedNanos() {
		return this.usedNanos;
	}

	void used(long nanos) {
		this.usedNanos = nanos;
	}

	LayerRange layers() {
		return this.layers;
	}

	long[] state() {
		return this.state;
	}

	int attempt() {
		return this.attempt;
	}

	void attempt(int newAttempt) {
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

	void ran(int position, int count, byte[] reply) {
		this.lastPosition = position;
		this.nextPosition = position + count;
		this.lastReply = reply;
	}

}
