package org.mulberrycross.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Cuts a stream of server-sent events into whole events, so that a stream that breaks in
 * the middle of an event can go on at another engine. Not thread-safe.
 */
public final class EventStream {

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] NONE = {};

	private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

	private OptionalLong lastId;

	private boolean sequenceBroken;

	/**
	 * Creates a stream.
	 * @param lastId the id of the last event that the client has, or empty at the start
	 */
	public EventStream(OptionalLong lastId) {
		this.lastId = lastId;
	}

	/**
	 * Takes bytes from an engine.
	 * @param part the bytes, not null
	 * @return the whole events that are complete now and that the client does not have
	 * yet, may be empty
	 */
	public byte[] accept(byte[] part) {
		this.pending.writeBytes(part);
		byte[] bytes = this.pending.toByteArray();
		ByteArrayOutputStream whole = new ByteArrayOutputStream();
		int start = 0;
		for (int end = eventEnd(bytes, start); end > 0; end = eventEnd(bytes, start)) {
			if (advance(id(bytes, start, end))) {
				whole.write(bytes, start, end - start);
			}
			start = end;
		}
		if (start > 0) {
			this.pending.reset();
			this.pending.write(bytes, start, bytes.length - start);
		}
		return (whole.size() > 0) ? whole.toByteArray() : NONE;
	}

	/** Drops the part of an event that the last engine did not complete. */
	public void dropPartialEvent() {
		this.pending.reset();
	}

	/**
	 * Returns the bytes after the last whole event.
	 * @return the bytes, empty at an orderly end
	 */
	public byte[] remainder() {
		return this.pending.toByteArray();
	}

	/**
	 * Returns the id of the last event that was passed on.
	 * @return the id, or empty if no event was
	 */
	public OptionalLong lastId() {
		return this.lastId;
	}

	/**
	 * Returns whether an event is missing.
	 * @return whether an event came whose id does not follow the last one
	 */
	public boolean sequenceBroken() {
		return this.sequenceBroken;
	}

	private boolean advance(OptionalLong id) {
		if (id.isEmpty()) {
			return true;
		}
		long value = id.getAsLong();
		if (this.lastId.isPresent() && value <= this.lastId.getAsLong()) {
			return false;
		}
		if (this.lastId.isPresent() && value != this.lastId.getAsLong() + 1) {
			this.sequenceBroken = true;
			return false;
		}
		this.lastId = id;
		return true;
	}

	// Returns the index after the blank line that ends an event, or -1.
	private static int eventEnd(byte[] bytes, int start) {
		for (int i = start; i + 1 < bytes.length; i++) {
			if (bytes[i] == '\n' && bytes[i + 1] == '\n') {
				return i + 2;
			}
			if (i + 3 < bytes.length && bytes[i] == '\r' && bytes[i + 1] == '\n' && bytes[i + 2] == '\r'
					&& bytes[i + 3] == '\n') {
				return i + 4;
			}
		}
		return -1;
	}

	private static OptionalLong id(byte[] bytes, int start, int end) {
		int line = start;
		while (line < end) {
			int next = line;
			while (next < end && bytes[next] != '\n') {
				next++;
			}
			if (next - line > ID_FIELD.length
					&& Arrays.equals(bytes, line, line + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length)) {
				return number(new String(bytes, line + ID_FIELD.length, next - line - ID_FIELD.length,
						StandardCharsets.US_ASCII)
					.trim());
			}
			line = next + 1;
		}
		return OptionalLong.empty();
	}

	private static OptionalLong number(String text) {
		try {
			return OptionalLong.of(Long.parseLong(text));
		}
		catch (NumberFormatException ex) {
			return OptionalLong.empty();
		}
	}

}
