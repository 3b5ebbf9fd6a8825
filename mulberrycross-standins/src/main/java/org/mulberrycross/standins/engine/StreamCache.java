package org.mulberrycross.standins.engine;

import org.mulberrycross.engine.LayerRange;

/**
 * State that an engine keeps for one stream. Not thread-safe; used by the batch thread.
 */
final class StreamCache {

	private final LayerRange layers;

	private final long[] state;

	private int attempt;

	private int nextPosition;

	private byte[] lastReply = {};

	private int lastPosition = -1;

	StreamCache(LayerRange layers, int attempt) {
		this.layers = layers;
		this.state = new long[layers.size()];
		this.attempt = attempt;
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
