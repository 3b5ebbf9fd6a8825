package org.mulberrycross.engine;

import java.util.Arrays;
import java.util.Optional;

/**
 * Tracks how many positions of a stream one stage has run, and retains its inputs so that
 * its KV cache can be recomputed on another engine. Not thread-safe; confined to the
 * thread that runs the stream.
 */
final class StageProgress {

	private static final int INITIAL_CAPACITY = 64;

	private final Stage stage;

	private EngineLoad load;

	private int cachedPositions;

	private long[] currentInput = {};

	private long[] retainedInputs = new long[INITIAL_CAPACITY];

	private int retainedPositions;

	private boolean inputsDropped;

	StageProgress(Stage stage) {
		this.stage = stage;
	}

	/**
	 * Creates the progress of a replacement stage. Its cache is empty; it takes over the
	 * current and the retained inputs.
	 * @param stage the replacement
	 * @param replaced the progress of the replaced stage
	 */
	StageProgress(Stage stage, StageProgress replaced) {
		this(stage);
		this.currentInput = replaced.currentInput;
		this.retainedInputs = replaced.retainedInputs;
		this.retainedPositions = replaced.retainedPositions;
		this.inputsDropped = replaced.inputsDropped;
	}

	Stage stage() {
		return this.stage;
	}

	Optional<EngineLoad> load() {
		return Optional.ofNullable(this.load);
	}

	/**
	 * Returns the number of positions, from 0, that the engine's KV cache holds.
	 * @return the number, 0 for an empty cache
	 */
	int cachedPositions() {
		return this.cachedPositions;
	}

	long[] currentInput() {
		return this.currentInput;
	}

	void setCurrentInput(long[] input) {
		this.currentInput = input;
	}

	void recordReply(StepReply reply) {
		this.cachedPositions = reply.position() + reply.count();
		this.load = reply.load();
	}

	void recordImport(int positions) {
		this.cachedPositions = positions;
	}

	/**
	 * Marks the cache as empty; the next step starts at position 0 under a new attempt.
	 */
	void resetCache() {
		this.cachedPositions = 0;
	}

	/**
	 * Appends inputs that directly follow the retained ones; ignores others, and all
	 * after {@link #dropInputs}.
	 * @param position the first position
	 * @param input one value per position
	 */
	void retainInput(int position, long[] input) {
		if (this.inputsDropped || position != this.retainedPositions) {
			return;
		}
		if (this.retainedInputs.length < this.retainedPositions + input.length) {
			this.retainedInputs = Arrays.copyOf(this.retainedInputs,
					Math.max(this.retainedInputs.length * 2, this.retainedPositions + input.length));
		}
		System.arraycopy(input, 0, this.retainedInputs, this.retainedPositions, input.length);
		this.retainedPositions += input.length;
	}

	boolean hasRetained(int positions) {
		return this.retainedPositions >= positions;
	}

	long[] retainedInput(int first, int end) {
		return Arrays.copyOfRange(this.retainedInputs, first, end);
	}

	long retainedBytes() {
		return (long) this.retainedPositions * Long.BYTES;
	}

	void dropInputs() {
		this.inputsDropped = true;
		this.retainedPositions = 0;
		this.retainedInputs = new long[0];
	}

}
