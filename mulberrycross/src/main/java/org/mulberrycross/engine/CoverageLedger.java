package org.mulberrycross.engine;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;

/**
 * Checks that every layer runs exactly once for each token, in order. A reply is accepted
 * only if it continues the current attempt at the next layer of the position in work; a
 * token may be emitted only when all layers have run for its position. Not thread-safe;
 * owned by the thread that runs the stream.
 */
public final class CoverageLedger {

	private final String stream;

	private final String version;

	private final int layerCount;

	private int attempt = 1;

	private int position;

	private int count;

	private int nextLayer;

	private int emitted;

	private boolean finished;

	/**
	 * Creates a ledger for a stream that has not run yet.
	 * @param stream the identifier of the stream, not null
	 * @param version the model version that every layer must run
	 * @param layerCount the number of layers of the model, 1 or more
	 */
	public CoverageLedger(String stream, String version, int layerCount) {
		this.stream = stream;
		this.version = version;
		this.layerCount = layerCount;
	}

	/**
	 * Starts the layers of consecutive positions.
	 * @param firstPosition the first position; the one after the last finished position
	 * @param positions the number of positions, 1 or more
	 * @throws IllegalStateException if the positions before have not run through all
	 * layers, or a position is left out or repeated
	 */
	public void begin(int firstPosition, int positions) {
		if (this.nextLayer != 0 || firstPosition != this.position || positions < 1) {
			throw new IllegalStateException("stream " + this.stream + " starts positions " + firstPosition + " (+"
					+ positions + ") where position " + this.position + ", layer " + this.nextLayer + " is next");
		}
		this.count = positions;
	}

	/**
	 * Checks that a reply answers a step of the current attempt.
	 * @param stage the stage that was asked, not null
	 * @param reply the reply, not null
	 * @param firstPosition the first position of the step
	 * @param positions the number of positions of the step
	 * @throws PeerException if the reply belongs to another stream, attempt, version,
	 * position or stage, or has another number of outputs than the step asks for
	 */
	public void check(Stage stage, StepReply reply, int firstPosition, int positions) throws PeerException {
		int outputs = (stage.layers().end() == this.layerCount) ? 1 : positions;
		boolean matches = reply.stream().equals(this.stream) && reply.attempt() == this.attempt
				&& reply.version().equals(this.version) && reply.position() == firstPosition
				&& reply.count() == positions && reply.layers().equals(stage.layers())
				&& reply.output().length == outputs;
		if (!matches) {
			throw new PeerException(Step.DECODE, new Peer(Peer.Kind.ENGINE, stage.engine()),
					"reply for stream " + reply.stream() + " attempt " + reply.attempt() + " version " + reply.version()
							+ " positions " + reply.position() + " (+" + reply.count() + ") layers " + reply.layers()
							+ " does not answer stream " + this.stream + " attempt " + this.attempt + " version "
							+ this.version + " positions " + firstPosition + " (+" + positions + ") layers "
							+ stage.layers());
		}
	}

	/**
	 * Accepts a reply for the next layers of the positions in work.
	 * @param stage the stage that was asked, not null
	 * @param reply the reply, not null
	 * @throws PeerException if the reply belongs to another stream, attempt or position,
	 * or ran other layers than the next ones
	 */
	public void accept(Stage stage, StepReply reply) throws PeerException {
		check(stage, reply, this.position, this.count);
		if (reply.layers().first() != this.nextLayer) {
			throw new PeerException(Step.DECODE, new Peer(Peer.Kind.ENGINE, stage.engine()), "reply for layers "
					+ reply.layers() + " of stream " + this.stream + " where layer " + this.nextLayer + " is next");
		}
		this.nextLayer = reply.layers().end();
	}

	/**
	 * Finishes the positions in work, after which their token may be emitted.
	 * @throws IllegalStateException if a layer has not run
	 */
	public void finish() {
		if (this.nextLayer != this.layerCount) {
			throw new IllegalStateException("stream " + this.stream + " ends position " + this.position + " at layer "
					+ this.nextLayer + " of " + this.layerCount);
		}
		this.position += this.count;
		this.nextLayer = 0;
		this.finished = true;
	}

	/**
	 * Notes that the token of the finished positions is emitted.
	 * @param index the index of the token in the answer, from 0
	 * @throws IllegalStateException if the positions are not finished, or a token is left
	 * out or emitted again
	 */
	public void emit(int index) {
		if (!this.finished || index != this.emitted) {
			throw new IllegalStateException("stream " + this.stream + " emits token " + index + " where token "
					+ this.emitted + " is next, positions finished: " + this.finished);
		}
		this.finished = false;
		this.emitted++;
	}

	/**
	 * Returns the current attempt.
	 * @return the attempt, from 1
	 */
	public int attempt() {
		return this.attempt;
	}

	/**
	 * Returns the next position.
	 * @return the position in work, or the one after the last finished position
	 */
	public int position() {
		return this.position;
	}

	/**
	 * Returns the number of positions in work.
	 * @return the number, 1 or more after the first begin
	 */
	public int count() {
		return this.count;
	}

	/**
	 * Returns the next layer to run for the positions in work.
	 * @return the layer, 0 if none has run
	 */
	public int nextLayer() {
		return this.nextLayer;
	}

	/**
	 * Starts the next attempt. The positions in work keep the layers that have run, and
	 * replies of older attempts are refused from now on.
	 */
	public void nextAttempt() {
		this.attempt++;
	}

}
