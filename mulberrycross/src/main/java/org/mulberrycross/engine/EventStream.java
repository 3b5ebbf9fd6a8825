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
 * <p>
 * An event ends with a blank line. Each event of an engine has an id that is a number:
 *
 * <table>
 * <caption>What becomes of the text up to a blank line</caption>
 * <tr>
 * <th>text</th>
 * <th>treated as</th>
 * </tr>
 * <tr>
 * <td>fields with an id that is the next one</td>
 * <td>the next event</td>
 * </tr>
 * <tr>
 * <td>fields with the id of an earlier event</td>
 * <td>dropped</td>
 * </tr>
 * <tr>
 * <td>fields with a later id</td>
 * <td>a gap</td>
 * </tr>
 * <tr>
 * <td>comments, or fields without an id and without data</td>
 * <td>a part of the next event, or of the end of the stream</td>
 * </tr>
 * <tr>
 * <td>data without a numeric id, or lines that are no fields</td>
 * <td>invalid</td>
 * </tr>
 * </table>
 */
public final class EventStream {

	/** Maximum size of an event; those of engines have some hundred bytes. */
	public static final int MAX_EVENT_BYTES = 64 << 10;

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] DATA_NAME = "data".getBytes(StandardCharsets.US_ASCII);

	private static final List<byte[]> KNOWN_NAMES = Stream.of("data", "event", "id", "retry")
		.map((name) -> name.getBytes(StandardCharsets.US_ASCII))
		.toList();

	private static final byte[] EMPTY = {};

	/** What has not been passed on: text without an id, and an incomplete event. */
	private ByteArrayOutputStream buffer = new ByteArrayOutputStream();

	/** The number of bytes at the start of the buffer that end with a blank line. */
	private int heldBytes;

	private OptionalLong lastId;

	private long numberedEvents;

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
		int textStart = this.heldBytes;
		for (int end = eventEnd(bytes, textStart); end > 0; end = eventEnd(bytes, textStart)) {
			OptionalLong id = parseId(bytes, textStart, end);
			if (!isValid(bytes, textStart, end, id)) {
				this.invalidEvent = true;
				break;
			}
			if (id.isPresent()) {
				if (advanceTo(id.getAsLong())) {
					complete.write(bytes, start, end - start);
				}
				start = end;
			}
			textStart = end;
		}
		this.heldBytes = textStart - start;
		if (start > 0) {
			this.buffer.reset();
			this.buffer.write(bytes, start, bytes.length - start);
		}
		return (complete.size() > 0) ? complete.toByteArray() : EMPTY;
	}

	/**
	 * Returns the text without an id after the last event, such as a comment, at the end
	 * of the stream.
	 * @return the text, which is no longer part of this stream; may be empty
	 */
	public byte[] takeTrailingText() {
		byte[] text = Arrays.copyOf(this.buffer.toByteArray(), this.heldBytes);
		dropPartialEvent();
		return text;
	}

	/**
	 * Discards what an interrupted stream left behind: an incomplete or invalid event,
	 * and the record of a gap.
	 */
	public void dropPartialEvent() {
		this.buffer = new ByteArrayOutputStream();
		this.heldBytes = 0;
		this.sequenceGap = false;
		this.invalidEvent = false;
	}

	/**
	 * Returns the number of bytes after the last blank line.
	 * @return the number of bytes, 0 if the stream does not end inside an event
	 */
	public int partialEventBytes() {
		return this.buffer.size() - this.heldBytes;
	}

	/**
	 * Returns the number of bytes that are kept in memory.
	 * @return the number of bytes that were not passed on
	 */
	public int bufferedBytes() {
		return this.buffer.size();
	}

	/**
	 * Returns whether the incomplete event exceeds {@link #MAX_EVENT_BYTES}.
	 * @return true if no further bytes should be passed to this stream
	 */
	public boolean isEventOversized() {
		return partialEventBytes() > MAX_EVENT_BYTES;
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
	// and hyphens, one of them at least is known, and data has an id. Clients ignore
	// fields of other names, so that lines without a known one are no event. Data without
	// an id is not an event of an engine, and could not be resumed after.
	private static boolean isValid(byte[] bytes, int start, int end, OptionalLong id) {
		return hasValidNames(bytes, start, end) && hasKnownLine(bytes, start, end)
				&& (id.isPresent() || !hasData(bytes, start, end));
	}

	private static boolean hasData(byte[] bytes, int start, int end) {
		for (int lineStart = start; lineStart < end; lineStart = lineEnd(bytes, lineStart, end) + 1) {
			int nameEnd = nameEnd(bytes, lineStart, end);
			if (Arrays.equals(bytes, lineStart, nameEnd, DATA_NAME, 0, DATA_NAME.length)) {
				return true;
			}
		}
		return false;
	}

	private static int nameEnd(byte[] bytes, int lineStart, int end) {
		int nameEnd = lineStart;
		while (nameEnd < end && bytes[nameEnd] != ':' && bytes[nameEnd] != '\r' && bytes[nameEnd] != '\n') {
			nameEnd++;
		}
		return nameEnd;
	}

	private static int lineEnd(byte[] bytes, int lineStart, int end) {
		int lineEnd = lineStart;
		while (lineEnd < end && bytes[lineEnd] != '\n') {
			lineEnd++;
		}
		return lineEnd;
	}

	private static boolean hasKnownLine(byte[] bytes, int start, int end) {
		boolean blank = true;
		for (int lineStart = start; lineStart < end; lineStart = lineEnd(bytes, lineStart, end) + 1) {
			int nameEnd = nameEnd(bytes, lineStart, end);
			if (isKnownName(bytes, lineStart, nameEnd) || (nameEnd == lineStart && bytes[nameEnd] == ':')) {
				return true;
			}
			blank &= nameEnd == lineStart;
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

	// Returns whether the event is passed on.
	private boolean advanceTo(long number) {
		if (this.lastId.isPresent() && number <= this.lastId.getAsLong()) {
			return false;
		}
		if (this.lastId.isPresent() && number != this.lastId.getAsLong() + 1) {
			this.sequenceGap = true;
			return false;
		}
		this.lastId = OptionalLong.of(number);
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

	// Returns the numeric id of the event between two indexes, or empty if it has none.
	private static OptionalLong parseId(byte[] bytes, int start, int end) {
		Optional<String> id = fieldValue(bytes, start, end, ID_FIELD);
		return id.isPresent() ? parseNumber(id.get()) : OptionalLong.empty();
	}

	// Returns the value of the first field that starts with a name and a colon.
	private static Optional<String> fieldValue(byte[] bytes, int start, int end, byte[] field) {
		int lineStart = start;
		while (lineStart < end) {
			int lineEnd = lineEnd(bytes, lineStart, end);
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
