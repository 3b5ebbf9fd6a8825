package org.mulberrycross.router.relay;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Memory for response bodies that are received completely before they are forwarded, and
 * for incomplete events of streams. An upstream in trouble may send either without end,
 * so both a single one and all together are limited. Small ones are not refused, so that
 * the responses of sound upstreams are not lost beside it. Thread-safe.
 */
final class ResponseBuffers {

	/** Maximum size of one body, the default limit of request bodies. */
	static final int MAX_BODY_BYTES = 4 << 20;

	/** Maximum size of all bodies together, a sixth of the heap of a daemon. */
	static final int MAX_TOTAL_BYTES = 16 << 20;

	/** Size up to which a body or an event is kept although the total is exceeded. */
	static final int SMALL_BYTES = 16 << 10;

	private final AtomicLong totalBytes = new AtomicLong();

	ResponseBuffer open() {
		return new ResponseBuffer();
	}

	// Adds bytes of a response that then has a size. Returns false without adding them if
	// the total is exceeded.
	private boolean reserve(int bytes, int size) {
		boolean exceeded = this.totalBytes.addAndGet(bytes) > MAX_TOTAL_BYTES;
		if (exceeded && bytes > 0 && size > SMALL_BYTES) {
			this.totalBytes.addAndGet(-bytes);
			return false;
		}
		return true;
	}

	/** Body or incomplete event of one response. Closing it releases the memory. */
	final class ResponseBuffer implements AutoCloseable {

		private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);

		private int partialEventBytes;

		private boolean closed;

		private ResponseBuffer() {
		}

		// Appends a part. Returns false without appending it if a limit is exceeded or
		// the
		// buffer is closed.
		synchronized boolean append(byte[] part) {
			if (this.closed || this.body.size() + part.length > MAX_BODY_BYTES) {
				return false;
			}
			if (!reserve(part.length, this.body.size() + part.length)) {
				return false;
			}
			this.body.writeBytes(part);
			return true;
		}

		// Sets the size of the incomplete event, which the event stream holds. Returns
		// false if the limit of all together is exceeded. A closed buffer counts nothing.
		synchronized boolean holdPartialEvent(int bytes) {
			if (this.closed) {
				return true;
			}
			if (!reserve(bytes - this.partialEventBytes, bytes)) {
				return false;
			}
			this.partialEventBytes = bytes;
			return true;
		}

		// Returns the body and closes the buffer. Empty if the buffer was closed before,
		// since the body is then lost and must not be sent.
		synchronized Optional<byte[]> take() {
			if (this.closed) {
				return Optional.empty();
			}
			byte[] bytes = this.body.toByteArray();
			close();
			return Optional.of(bytes);
		}

		@Override
		public synchronized void close() {
			if (!this.closed) {
				this.closed = true;
				ResponseBuffers.this.totalBytes.addAndGet(-this.body.size() - this.partialEventBytes);
				this.body.reset();
			}
		}

	}

}
