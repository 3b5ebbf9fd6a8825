package org.mulberrycross.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

/**
 * Splits a stream of server-sent events into complete events, so that a stream that is
 * interrupted in the middle of an event can be resumed from another engine. Not
 * thread-safe.
 */
public final class EventStream {

	/** Maximum size of an event; those of engines have some hundred bytes. */
	public static final int MAX_EVENT_BYTES = 64 << 10;

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] DATA_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);

	private static final List<byte[]> KNOWN_NAMES = Stream.of("data", "event", "id", "retry")
		.map((name) -> name.getBytes(StandardCharsets.US_ASCII))
		.toList();

	private static final byte[] EMPTY = {};

	private ByteArrayOutputStream buffer = new ByteArrayOutputStream();

	private OptionalLong lastId;

	private long numberedEvents;

	private long unnumberedEvents;

	private boolean sequenceGap;

	private boolean invalidEvent;

	/**
	 * Creates a stream.
	 * @param lastId the id of the last event that the client received, or empty if it has
	 * received none
	 */
	public EventStream(OptionalLong lastId) {
		this.lastId = lastId;
	}

	/**
	 * Processes the next bytes from an engine. Events that the client already has and
	 * events after a gap are dropped, as is all from an invalid event on.
	 * @param part the bytes, not null
	 * @return the new complete events, may be empty
	 */
	public byte[] extractEvents(byte[] part) {
		this.buffer.writeBytes(part);
		byte[] bytes = this.buffer.toByteArray();
		ByteArrayOutputStream complete = new ByteArrayOutputStream();
		int start = 0;
		for (int end = eventEnd(bytes, start); end > 0; end = eventEnd(bytes, start)) {
			if (!isEvent(bytes, start, end)) {
				this.invalidEvent = true;
				break;
			}
			OptionalLong id = parseId(bytes, start, end);
			this.unnumberedEvents += (id.isEmpty() && hasField(bytes, start, end, DATA_FIELD)) ? 1 : 0;
			if (advanceTo(id)) {
				complete.write(bytes, start, end - start);
			}
			start = end;
		}
		if (start > 0) {
			this.buffer.reset();
			this.buffer.write(bytes, start, bytes.length - start);
		}
		return (complete.size() > 0) ? complete.toByteArray() : EMPTY;
	}

	/**
	 * Discards what an interrupted stream left behind: an incomplete or invalid event,
	 * and the record of a gap.
	 */
	public void dropPartialEvent() {
		this.buffer = new ByteArrayOutputStream();
		this.sequenceGap = false;
		this.invalidEvent = false;
	}

	/**
	 * Returns the number of bytes after the last complete event.
	 * @return the number of bytes, 0 if the stream ended after a complete event
	 */
	public int partialEventBytes() {
		return this.buffer.size();
	}

	/**
	 * Returns whether the incomplete event exceeds {@link #MAX_EVENT_BYTES}.
	 * @return true if no further bytes should be passed to this stream
	 */
	public boolean isEventOversized() {
		return this.buffer.size() > MAX_EVENT_BYTES;
	}

	/**
	 * Returns the id of the last event that the client has.
	 * @return the id, or empty if it has no event with an id
	 */
	public OptionalLong lastId() {
		return this.lastId;
	}

	/**
	 * Returns the number of new events with an id. Ids need not start at 1, so they don't
	 * tell it.
	 * @return the number of events since this stream was created
	 */
	public long numberedEvents() {
		return this.numberedEvents;
	}

	/**
	 * Returns whether the client has data of an event without a numeric id. Another
	 * engine cannot go on after such an event, since it would send the data again.
	 * @return true if this stream cannot be resumed
	 */
	public boolean hasUnnumberedData() {
		return this.unnumberedEvents > 0;
	}

	/**
	 * Returns the number of events with data and without a numeric id.
	 * @return the number of events since this stream was created
	 */
	public long unnumberedEvents() {
		return this.unnumberedEvents;
	}

	/**
	 * Returns whether an event is missing.
	 * @return true if an event arrived whose id is higher than the next expected one
	 */
	public boolean hasSequenceGap() {
		return this.sequenceGap;
	}

	/**
	 * Returns whether the engine sent something that is not an event, such as the text of
	 * an error.
	 * @return true if no further bytes should be passed to this stream
	 */
	public boolean hasInvalidEvent() {
		return this.invalidEvent;
	}

	// Returns whether each line is a comment, or a field with a name of letters, digits
	// and hyphens, and one of them at least is known. Clients ignore fields of other
	// names, so that lines without a known one are no event.
	private static boolean isEvent(byte[] bytes, int start, int end) {
		return hasValidNames(bytes, start, end) && hasKnownLine(bytes, start, end);
	}

	private static boolean hasKnownLine(byte[] bytes, int start, int end) {
		boolean blank = true;
		int lineStart = start;
		while (lineStart < end) {
			int nameEnd = lineStart;
			while (nameEnd < end && bytes[nameEnd] != ':' && bytes[nameEnd] != '\r' && bytes[nameEnd] != '\n') {
				nameEnd++;
			}
			if (isKnownName(bytes, lineStart, nameEnd) || (nameEnd == lineStart && bytes[nameEnd] == ':')) {
				return true;
			}
			blank &= nameEnd == lineStart;
			int lineEnd = nameEnd;
			while (lineEnd < end && bytes[lineEnd] != '\n') {
				lineEnd++;
			}
			lineStart = lineEnd + 1;
		}
		return blank;
	}

	private static boolean isKnownName(byte[] bytes, int start, int end) {
		for (byte[] name : KNOWN_NAMES) {
			if (Arrays.equals(bytes, start, end, name, 0, name.length)) {
				return true;
			}
		}
		return false;
	}

	private static boolean hasValidNames(byte[] bytes, int start, int end) {
		boolean inName = true;
		for (int i = start; i < end; i++) {
			if (bytes[i] == '\n') {
				inName = true;
			}
			else if (bytes[i] == ':') {
				inName = false;
			}
			else if (inName && bytes[i] != '\r' && bytes[i] != '-' && !Character.isLetterOrDigit(bytes[i])) {
				return false;
			}
		}
		return true;
	}

	// Returns whether the event is passed on. Events without an id always are.
	private boolean advanceTo(OptionalLong id) {
		if (id.isEmpty()) {
			return true;
		}
		long number = id.getAsLong();
		if (this.lastId.isPresent() && number <= this.lastId.getAsLong()) {
			return false;
		}
		if (this.lastId.isPresent() && number != this.lastId.getAsLong() + 1) {
			this.sequenceGap = true;
			return false;
		}
		this.lastId = id;
		this.numberedEvents++;
		return true;
	}

	// Returns the index after the blank line that ends the event, or -1 if there is none.
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

	private static boolean hasField(byte[] bytes, int start, int end, byte[] field) {
		return fieldValue(bytes, start, end, field).isPresent();
	}

	// Returns the numeric id of the event between two indexes, or empty if it has none.
	private static OptionalLong parseId(byte[] bytes, int start, int end) {
		Optional<String> id = fieldValue(bytes, start, end, ID_FIELD);
		return id.isPresent() ? parseNumber(id.get()) : OptionalLong.empty();
	}

	// Returns the value of the first field that starts with a name and a colon.
	private static Optional<String> fieldValue(byte[] bytes, int start, int end, byte[] field) {
		int lineStart = start;
		while (lineStart < end) {
			int lineEnd = lineStart;
			while (lineEnd < end && bytes[lineEnd] != '\n') {
				lineEnd++;
			}
			if (lineEnd - lineStart >= field.length
					&& Arrays.equals(bytes, lineStart, lineStart + field.length, field, 0, field.length)) {
				return Optional.of(new String(bytes, lineStart + field.length, lineEnd - lineStart - field.length,
						StandardCharsets.US_ASCII)
					.trim());
			}
			lineStart = lineEnd + 1;
		}
		return Optional.empty();
	}

	private static OptionalLong parseNumber(String text) {
		try {
			return OptionalLong.of(Long.parseLong(text));
		}
		catch (NumberFormatException ex) {
			return OptionalLong.empty();
		}
	}

}
