package org.mulberrycross.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;

/**
 * Passes the body of a reply from the selector thread to the thread that reads it. Holds
 * a bounded part of it: while the reader is behind, nothing is read from the connection.
 * Thread-safe; reads block.
 */
final class ReplyBody extends InputStream {

	/** Number of bytes held from which on nothing is read from the connection. */
	static final int PAUSE_BYTES = 256 << 10;

	private static final int RESUME_BYTES = 64 << 10;

	/**
	 * Longest wait for the next part after the timeout of the call, after which the
	 * connection counts as silent.
	 */
	private static final Duration MAX_GAP = Duration.ofMillis(800);

	/**
	 * Lowest rate at which a body may arrive, so that one that trickles does not hold its
	 * reader. Half of the rate of the slowest links, which carry 20 Mbit/s.
	 */
	private static final long MIN_BYTES_PER_SECOND = 1_250_000;

	private final int maxBytes;

	private final long deadlineNanos;

	private final Deque<byte[]> parts = new ArrayDeque<>();

	/** Number of bytes of the first part that were read. */
	private int readOfFirst;

	private int heldBytes;

	private long receivedBytes;

	private long waitedNanos;

	private boolean ended;

	private Optional<IncompleteReplyException> failure = Optional.empty();

	/** The connection from which nothing is read at present. */
	private Optional<Connection<?>> paused = Optional.empty();

	// Waits until the deadline of the call in any case, since a store may send the start
	// of its answer before it has something to tell.
	ReplyBody(int maxBytes, long deadlineNanos) {
		this.maxBytes = maxBytes;
		this.deadlineNanos = deadlineNanos;
	}

	// Adds a part, and pauses the connection if the reader is behind.
	synchronized void add(Connection<?> connection, byte[] part) {
		if (isDone()) {
			return;
		}
		this.receivedBytes += part.length;
		if (this.receivedBytes > this.maxBytes) {
			fail(new ReplyTooLongException(this.maxBytes));
			return;
		}
		this.parts.add(part);
		this.heldBytes += part.length;
		if (this.heldBytes >= PAUSE_BYTES && this.paused.isEmpty()) {
			setReading(connection, false);
			this.paused = Optional.of(connection);
		}
		notifyAll();
	}

	synchronized void end() {
		this.ended = true;
		notifyAll();
	}

	// Drops what was not read, since it is of no use without the rest.
	synchronized void fail(IncompleteReplyException cause) {
		if (!isDone()) {
			this.failure = Optional.of(cause);
			this.parts.clear();
			notifyAll();
		}
	}

	synchronized boolean isDone() {
		return this.ended || this.failure.isPresent();
	}

	@Override
	public int read() throws IOException {
		byte[] single = new byte[1];
		return (read(single, 0, 1) < 0) ? -1 : Byte.toUnsignedInt(single[0]);
	}

	@Override
	public synchronized int read(byte[] target, int offset, int length) throws IOException {
		Objects.checkFromIndexSize(offset, length, target.length);
		awaitPart();
		byte[] first = this.parts.peek();
		if (first == null || length == 0) {
			return (length == 0) ? 0 : -1;
		}
		int count = Math.min(length, first.length - this.readOfFirst);
		System.arraycopy(first, this.readOfFirst, target, offset, count);
		this.readOfFirst += count;
		this.heldBytes -= count;
		if (this.readOfFirst == first.length) {
			this.parts.remove();
			this.readOfFirst = 0;
		}
		if (this.heldBytes <= RESUME_BYTES) {
			this.paused.ifPresent((connection) -> setReading(connection, true));
			this.paused = Optional.empty();
		}
		return count;
	}

	// Skips the rest. Returns whether the body ended; one that is too long does not.
	boolean skipRest() throws IOException {
		try {
			transferTo(OutputStream.nullOutputStream());
			return true;
		}
		catch (ReplyTooLongException ex) {
			return false;
		}
	}

	private void awaitPart() throws IncompleteReplyException {
		long startNanos = System.nanoTime();
		long maxGapNanos = Math.min(MAX_GAP.toNanos(), MAX_GAP.toNanos()
				+ TimeUnit.SECONDS.toNanos(this.receivedBytes) / MIN_BYTES_PER_SECOND - this.waitedNanos);
		long maxWaitNanos = Math.max(this.deadlineNanos - startNanos, maxGapNanos);
		while (this.parts.isEmpty() && !isDone()) {
			long remainingNanos = maxWaitNanos - (System.nanoTime() - startNanos);
			if (remainingNanos <= 0) {
				fail(new IncompleteReplyException("reply stopped or is too slow after " + this.receivedBytes + " bytes",
						null));
				break;
			}
			try {
				TimeUnit.NANOSECONDS.timedWait(this, remainingNanos);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				fail(new IncompleteReplyException("interrupted while reading the reply", ex));
			}
		}
		this.waitedNanos += System.nanoTime() - startNanos;
		if (this.failure.isPresent()) {
			throw this.failure.get();
		}
	}

	// The selector thread pauses a connection at once, any other thread resumes it later.
	private static void setReading(Connection<?> connection, boolean reading) {
		try {
			if (reading) {
				connection.enableIOEvent(IOEvent.READ);
			}
			else {
				connection.disableIOEvent(IOEvent.READ);
			}
		}
		catch (IOException ex) {
			// The connection is closed, which fails the exchange.
			connection.closeSilently();
		}
	}

}
