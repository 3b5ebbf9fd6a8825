package org.mulberrycross.http;

import java.util.Objects;
import java.util.Optional;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.DataChunk;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Decides whether the head of a response is invalid or leaves unclear how its body is
 * framed. A body whose end is taken from the wrong place can look complete although it is
 * not. All methods are thread-safe.
 */
final class ResponseFraming {

	private static final String PROTOCOL_PREFIX = "HTTP/1.";

	private static final int STATUS_DIGITS = 3;

	/** First digits of the statuses that end an exchange. */
	private static final char MIN_STATUS_CLASS = '2';

	private static final char MAX_STATUS_CLASS = '5';

	private static final String TRANSFER_ENCODING = "Transfer-Encoding";

	private static final String CONTENT_LENGTH = "Content-Length";

	/** Keeps lengths within the range of a long. */
	private static final int MAX_LENGTH_DIGITS = 18;

	private static final char DELETE = 0x7f;

	/** Characters of a field name besides letters and digits. */
	private static final String NAME_SYMBOLS = "!#$%&'*+-.^_`|~";

	private ResponseFraming() {
	}

	/**
	 * Returns what makes the framing of a response unclear.
	 * @param message the received bytes, with the status line at its position, not null
	 * @param head the parsed head, not null
	 * @param lengthFields the number of Content-Length fields that the parser counted
	 * @return the fault in a few words, or empty if the head is sound
	 */
	static Optional<String> fault(Buffer message, HttpResponsePacket head, int lengthFields) {
		Objects.requireNonNull(message, "message");
		Objects.requireNonNull(head, "head");
		if (!isStatusLine(message)) {
			return Optional.of("invalid status line");
		}
		return fieldFault(head, lengthFields);
	}

	// The parser reads the first three digits of a longer status, any number as a status,
	// and other protocols. Interim responses have been skipped before.
	private static boolean isStatusLine(Buffer message) {
		int start = message.position();
		int codeStart = start + PROTOCOL_PREFIX.length() + 2;
		for (int i = 0; i < PROTOCOL_PREFIX.length(); i++) {
			if (message.get(start + i) != PROTOCOL_PREFIX.charAt(i)) {
				return false;
			}
		}
		byte minorVersion = message.get(codeStart - 2);
		if ((minorVersion != '0' && minorVersion != '1') || message.get(codeStart - 1) != ' ') {
			return false;
		}
		if (message.get(codeStart) < MIN_STATUS_CLASS || message.get(codeStart) > MAX_STATUS_CLASS) {
			return false;
		}
		for (int i = codeStart + 1; i < codeStart + STATUS_DIGITS; i++) {
			if (!isDigit(message.get(i))) {
				return false;
			}
		}
		byte following = message.get(codeStart + STATUS_DIGITS);
		return following == ' ' || following == '\r' || following == '\n';
	}

	private static Optional<String> fieldFault(HttpResponsePacket head, int lengthFields) {
		MimeHeaders fields = head.getHeaders();
		Optional<String> transferEncoding = Optional.empty();
		Optional<String> contentLength = Optional.empty();
		for (int i = 0; i < fields.size(); i++) {
			DataChunk name = fields.getName(i);
			if (!isName(name.toString())) {
				return Optional.of("invalid header name");
			}
			if (!isValue(fields.getValue(i).toString())) {
				return Optional.of("control character in header " + name);
			}
			if (name.equalsIgnoreCase(TRANSFER_ENCODING)) {
				if (transferEncoding.isPresent()) {
					return Optional.of("repeated " + TRANSFER_ENCODING);
				}
				transferEncoding = Optional.of(fields.getValue(i).toString().trim());
			}
			else if (name.equalsIgnoreCase(CONTENT_LENGTH)) {
				String value = fields.getValue(i).toString().trim();
				if (!isLength(value)) {
					return Optional.of("invalid " + CONTENT_LENGTH + " \"" + value + '"');
				}
				if (!contentLength.orElse(value).equals(value)) {
					return Optional.of("differing " + CONTENT_LENGTH + " fields");
				}
				contentLength = Optional.of(value);
			}
		}
		if (transferEncoding.isEmpty()) {
			return Optional.empty();
		}
		if (lengthFields > 0 || contentLength.isPresent()) {
			return Optional.of(TRANSFER_ENCODING + " beside " + CONTENT_LENGTH);
		}
		if (!transferEncoding.get().equalsIgnoreCase("chunked") || head.getProtocol() == Protocol.HTTP_1_0) {
			return Optional.of("unsupported " + TRANSFER_ENCODING + ' ' + transferEncoding.get());
		}
		return Optional.empty();
	}

	/**
	 * Returns whether a byte can occur in the name of a header field.
	 * @param character the character or byte
	 * @return whether it is a token character
	 */
	static boolean isNameCharacter(int character) {
		return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || isDigit(character)
				|| NAME_SYMBOLS.indexOf(character) >= 0;
	}

	private static boolean isDigit(int character) {
		return character >= '0' && character <= '9';
	}

	private static boolean isLength(String text) {
		return !text.isEmpty() && text.length() <= MAX_LENGTH_DIGITS && text.chars().allMatch(ResponseFraming::isDigit);
	}

	// A lone CR ends a line for some parsers, so that the rest could be another field.
	private static boolean isValue(String text) {
		return text.chars().allMatch((character) -> character == '\t' || (character >= ' ' && character != DELETE));
	}

	private static boolean isName(String text) {
		return !text.isEmpty() && text.chars().allMatch(ResponseFraming::isNameCharacter);
	}

}
