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

	private final int layerCount;

	private int attempt = 1;

	private int position;

	private int count;

	private int nextLayer;

	/**
	 * Creates a ledger for a stream that has not run yet.
	 * @param stream the identifier of the stream, not null
	 * @param layerCount the number of layers of the model, 1 or more
	 */
	public CoverageLedger(String stream, int layerCount) {
		this.stream = stream;
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
	 * Accepts a reply for the next layers of the positions in work.
	 * @param stage the stage that was asked, not null
	 * @param reply the reply, not null
	 * @throws PeerException if the reply belongs to another stream, attempt or position,
	 * or ran other layers than the next ones
	 */
	public void accept(Stage stage, StepReply reply) throws PeerException {
		boolean matches = reply.stream().equals(this.stream) && reply.attempt() == this.attempt
				&& reply.position() == this.position && reply.count() == this.count
				&& reply.layers().equals(stage.layers()) && reply.layers().first() == this.nextLayer;
		if (!matches) {
			throw new PeerException(Step.DECODE, new Peer(Peer.Kind.ENGINE, stage.engine()),
					"reply for stream " + reply.stream() + " attempt " + reply.attempt() + " position "
							+ reply.position() + " layers " + reply.layers() + " does not continue stream "
							+ this.stream + " attempt " + this.attempt + " position " + this.position + " layer "
							+ this.nextLayer);
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
