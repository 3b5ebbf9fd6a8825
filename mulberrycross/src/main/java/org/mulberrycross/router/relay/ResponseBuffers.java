package org.mulberrycross.router.relay;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Memory for response bodies that are received completely before they are forwarded. An
 * upstream in trouble may send a body without end, so both a single body and all bodies
 * together are limited. Thread-safe.
 */
final class ResponseBuffers {

	/** Maximum size of one body, the default limit of request bodies. */
	static final int MAX_BODY_BYTES = 4 << 20;

	/** Maximum size of all bodies together, a sixth of the heap of a daemon. */
	static final int MAX_TOTAL_BYTES = 16 << 20;

	private final AtomicLong totalBytes = new AtomicLong();

	ResponseBuffer open() {
		return new ResponseBuffer();
	}

	/** Body of one response. Closing it releases the memory. */
	final class ResponseBuffer implements AutoCloseable {

		private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);

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
			if (ResponseBuffers.this.totalBytes.addAndGet(part.length) > MAX_TOTAL_BYTES) {
				ResponseBuffers.this.totalBytes.addAndGet(-part.length);
				return false;
			}
			this.body.writeBytes(part);
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
				ResponseBuffers.this.totalBytes.addAndGet(-this.body.size());
				this.body.reset();
			}
		}

	}

}
