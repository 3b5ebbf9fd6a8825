package org.mulberrycross.engine;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;

/**
 * Checks that every layer runs exactly once for each position of a stream, in order. A
 * reply is accepted only if it belongs to the current attempt and ran the next layers of
 * the current positions; a token may be emitted only when all layers have run for its
 * position. Not thread-safe; confined to the thread that runs the stream.
 */
public final class LayerCoverageTracker {

	private final String stream;

	private final String version;

	private final int layerCount;

	private int attempt = 1;

	private int position;

	private int positionCount;

	private int nextLayer;

	private int emittedTokens;

	private boolean positionsFinished;

	/**
	 * Creates a tracker for a stream that has not run any layer.
	 * @param stream the identifier of the stream, not null
	 * @param version the model version that every layer must run
	 * @param layerCount the number of layers of the model, 1 or more
	 */
	public LayerCoverageTracker(String stream, String version, int layerCount) {
		this.stream = stream;
		this.version = version;
		this.layerCount = layerCount;
	}

	/**
	 * Makes consecutive positions the current ones.
	 * @param firstPosition the first position, which must follow the last finished one
	 * @param positions the number of positions, 1 or more
	 * @throws IllegalStateException if the previous positions have not run through all
	 * layers, or a position is skipped or repeated
	 */
	public void beginPositions(int firstPosition, int positions) {
		if (this.nextLayer != 0 || firstPosition != this.position || positions < 1) {
			throw new IllegalStateException("stream " + this.stream + " cannot begin at position " + firstPosition
					+ " (count " + positions + "): expected position " + this.position + ", next layer "
					+ this.nextLayer + " of the current positions");
		}
		this.positionCount = positions;
	}

	/**
	 * Checks that a reply answers a step of the current attempt.
	 * @param stage the stage that the step was sent to, not null
	 * @param reply the reply, not null
	 * @param firstPosition the first position of the step
	 * @param positions the number of positions of the step
	 * @throws PeerException if the reply belongs to another stream, attempt, version,
	 * position or stage, or has the wrong number of outputs
	 */
	public void checkReply(Stage stage, StepReply reply, int firstPosition, int positions) throws PeerException {
		int outputs = (stage.layers().end() == this.layerCount) ? 1 : positions;
		boolean matches = reply.stream().equals(this.stream) && reply.attempt() == this.attempt
				&& reply.version().equals(this.version) && reply.position() == firstPosition
				&& reply.count() == positions && reply.layers().equals(stage.layers())
				&& reply.output().length == outputs;
		if (!matches) {
			throw new PeerException(Step.DECODE, new Peer(Peer.Kind.ENGINE, stage.engine()),
					"reply for stream " + reply.stream() + " attempt " + reply.attempt() + " version " + reply.version()
							+ " position " + reply.position() + " (count " + reply.count() + ") layers "
							+ reply.layers() + " does not match the step for stream " + this.stream + " attempt "
							+ this.attempt + " version " + this.version + " position " + firstPosition + " (count "
							+ positions + ") layers " + stage.layers());
		}
	}

	/**
	 * Accepts a reply for the next layers of the current positions.
	 * @param stage the stage that the step was sent to, not null
	 * @param reply the reply, not null
	 * @throws PeerException if {@link #checkReply} fails, or the reply does not start at
	 * the next layer
	 */
	public void acceptReply(Stage stage, StepReply reply) throws PeerException {
		checkReply(stage, reply, this.position, this.positionCount);
		if (reply.layers().first() != this.nextLayer) {
			throw new PeerException(Step.DECODE, new Peer(Peer.Kind.ENGINE, stage.engine()),
					"reply for layers " + reply.layers() + " of stream " + this.stream + " is out of order: layer "
							+ this.nextLayer + " is next");
		}
		this.nextLayer = reply.layers().end();
	}

	/**
	 * Finishes the current positions, after which their token may be emitted.
	 * @throws IllegalStateException if a layer has not run
	 */
	public void finishPositions() {
		if (this.nextLayer != this.layerCount) {
			throw new IllegalStateException("stream " + this.stream + " cannot finish position " + this.position
					+ ": next layer " + this.nextLayer + " of " + this.layerCount);
		}
		this.position += this.positionCount;
		this.nextLayer = 0;
		this.positionsFinished = true;
	}

	/**
	 * Records that the token of the finished positions is emitted.
	 * @param index the index of the token in the generated text, from 0
	 * @throws IllegalStateException if the positions are not finished, or a token is
	 * skipped or repeated
	 */
	public void recordEmitted(int index) {
		if (!this.positionsFinished || index != this.emittedTokens) {
			throw new IllegalStateException("stream " + this.stream + " cannot emit token " + index
					+ ": expected token " + this.emittedTokens + ", positions finished: " + this.positionsFinished);
		}
		this.positionsFinished = false;
		this.emittedTokens++;
	}

	/**
	 * Returns the number of the current attempt.
	 * @return the attempt, from 1
	 */
	public int attempt() {
		return this.attempt;
	}

	/**
	 * Returns the first current position.
	 * @return the position; between {@link #finishPositions} and {@link #beginPositions}
	 * the one after the last finished position
	 */
	public int position() {
		return this.position;
	}

	/**
	 * Returns the number of current positions.
	 * @return the number; 0 before the first {@link #beginPositions}
	 */
	public int positionCount() {
		return this.positionCount;
	}

	/**
	 * Returns the next layer to run for the current positions.
	 * @return the layer, 0 if none has run
	 */
	public int nextLayer() {
		return this.nextLayer;
	}

	/**
	 * Starts the next attempt. The layers that have run for the current positions still
	 * count; replies of earlier attempts are rejected from now on.
	 */
	public void startNextAttempt() {
		this.attempt++;
	}

}
