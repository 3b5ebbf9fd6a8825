package org.mulberrycross.engine;

import java.util.Arrays;
import java.util.Optional;

/**
 * How far one stage of a stream has run, and the inputs that it ran on as far as they are
 * retained. Not thread-safe; owned by the thread that runs the stream.
 */
final class StageProgress {

	private static final int FIRST_CAPACITY = 64;

	private final Stage stage;

	private EngineLoad load;

	private int ready;

	private long[] current = {};

	private long[] inputs = new long[FIRST_CAPACITY];

	private int retained;

	private boolean dropped;

	StageProgress(Stage stage) {
		this.stage = stage;
	}

	/**
	 * Creates the progress of a replacement stage, whose cache is empty.
	 * @param stage the replacement
	 * @param lost the stage before, whose inputs are taken over
	 */
	StageProgress(Stage stage, StageProgress lost) {
		this(stage);
		this.current = lost.current;
		this.inputs = lost.inputs;
		this.retained = lost.retained;
		this.dropped = lost.dropped;
	}

	Stage stage() {
		return this.stage;
	}

	Optional<EngineLoad> load() {
		return Optional.ofNullable(this.load);
	}

	/**
	 * Returns the number of positions that the engine's cache holds.
	 * @return the number
	 */
	int ready() {
		return this.ready;
	}

	long[] current() {
		return this.current;
	}

	void current(long[] input) {
		this.current = input;
	}

	void ran(StepReply reply) {
		this.ready = reply.position() + reply.count();
		this.load = reply.load();
	}

	void imported(int positions) {
		this.ready = positions;
	}

	/** Forgets the cache; the next step starts at position 0 under a new attempt. */
	void restart() {
		this.ready = 0;
	}

	/**
	 * Retains inputs that continue the retained ones; ignores others.
	 * @param position the first position
	 * @param input the inputs
	 */
	void retain(int position, long[] input) {
		if (this.dropped || position != this.retained) {
			return;
		}
		if (this.inputs.length < this.retained + input.length) {
			this.inputs = Arrays.copyOf(this.inputs, Math.max(this.inputs.length * 2, this.retained + input.length));
		}
		System.arraycopy(input, 0, this.inputs, this.retained, input.length);
		this.retained += input.length;
	}

	boolean retains(int positions) {
		return this.retained >= positions;
	}

	long[] retained(int first, int end) {
		return Arrays.copyOfRange(this.inputs, first, end);
	}

	long retainedBytes() {
		return (long) this.retained * Long.BYTES;
	}

	void drop() {
		this.dropped = true;
		this.retained = 0;
		this.inputs = new long[0];
	}

}
