package org.mulberrycross.http;

import org.glassfish.grizzly.Buffer;

/**
 * Finds the end of a body in chunks and checks each chunk size and line end. The decoder
 * of Grizzly takes a chunk size without digits for the last chunk, and skips the bytes of
 * a chunk that is longer than its size. Not thread-safe.
 */
final class ChunkedBodyFraming {

	/** Maximum number of digits, with which a size still fits into a long. */
	private static final int MAX_SIZE_DIGITS = 15;

	/** Maximum size of all trailer fields. */
	private static final int MAX_TRAILER_BYTES = 8 << 10;

	private static final int HEX_RADIX = 16;

	private State state = State.SIZE;

	private int sizeDigits;

	/** Size read so far, then the bytes left of the chunk. */
	private long remaining;

	private int trailerBytes;

	/** Bytes in the current line of the trailer. */
	private int lineBytes;

	private boolean lineHasColon;

	/**
	 * Reads bytes up to the end of the body or of the part that is sound.
	 * @param buffer the bytes, whose position does not change
	 * @param start the index of the first byte to read
	 * @return the index after the last byte read
	 */
	int read(Buffer buffer, int start) {
		int index = start;
		while (index < buffer.limit() && !hasEnded() && !isBroken()) {
			if (this.state == State.DATA) {
				long skipped = Math.min(this.remaining, buffer.limit() - index);
				this.remaining -= skipped;
				index += (int) skipped;
				this.state = (this.remaining == 0) ? State.DATA_CR : State.DATA;
			}
			else {
				this.state = next(buffer.get(index++));
			}
		}
		return index;
	}

	boolean hasEnded() {
		return this.state == State.ENDED;
	}

	boolean isBroken() {
		return this.state == State.BROKEN;
	}

	private State next(byte value) {
		return switch (this.state) {
			case SIZE -> readSize(value);
			case SIZE_LF -> (value != '\n') ? State.BROKEN : (this.remaining == 0) ? State.TRAILER : State.DATA;
			case DATA_CR -> (value == '\r') ? State.DATA_LF : State.BROKEN;
			case DATA_LF -> (value == '\n') ? startSize() : State.BROKEN;
			case TRAILER -> readTrailer(value);
			case TRAILER_LF -> endTrailerLine(value);
			default -> throw new IllegalStateException("no byte is due in state " + this.state);
		};
	}

	private State startSize() {
		this.sizeDigits = 0;
		this.remaining = 0;
		return State.SIZE;
	}

	private State readSize(byte value) {
		if (value == '\r') {
			return (this.sizeDigits > 0) ? State.SIZE_LF : State.BROKEN;
		}
		int digit = Character.digit(value, HEX_RADIX);
		this.sizeDigits++;
		if (digit < 0 || this.sizeDigits > MAX_SIZE_DIGITS) {
			return State.BROKEN;
		}
		this.remaining = this.remaining * HEX_RADIX + digit;
		return State.SIZE;
	}

	private State readTrailer(byte value) {
		this.trailerBytes++;
		if (value == '\r') {
			return State.TRAILER_LF;
		}
		this.lineBytes++;
		this.lineHasColon |= value == ':' && this.lineBytes > 1;
		return (value == '\n' || this.trailerBytes > MAX_TRAILER_BYTES) ? State.BROKEN : State.TRAILER;
	}

	private State endTrailerLine(byte value) {
		if (value != '\n') {
			return State.BROKEN;
		}
		if (this.lineBytes == 0) {
			return State.ENDED;
		}
		boolean sound = this.lineHasColon;
		this.lineBytes = 0;
		this.lineHasColon = false;
		return sound ? State.TRAILER : State.BROKEN;
	}

	private enum State {

		SIZE, SIZE_LF, DATA, DATA_CR, DATA_LF, TRAILER, TRAILER_LF, ENDED, BROKEN

	}

}
