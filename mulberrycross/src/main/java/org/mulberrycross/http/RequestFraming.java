package org.mulberrycross.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.glassfish.grizzly.http.Method;

/**
 * How the head of a request says that its body is framed. Immutable and thread-safe.
 *
 * @param chunked whether the body is sent in chunks
 * @param contentLength the length of the body if it is not sent in chunks, 0 if there is
 * none
 */
record RequestFraming(boolean chunked, long contentLength) {

	private static final Pattern REQUEST_LINE = Pattern
		.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+) [^\\x00-\\x20\\x7f]+ HTTP/1\\.([01])");

	private static final Pattern FIELD = Pattern
		.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\\x00-\\x08\\x0a-\\x1f\\x7f]*)");

	/** Up to 18 digits, which a long can hold. */
	private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

	/**
	 * Parses a head strictly. A framing that two readers could understand differently is
	 * refused, since what one of them takes for the body is a request to the other one.
	 * @param text the head, including the blank line at its end, not null
	 * @return the framing, or empty if the head is malformed
	 */
	static Optional<RequestFraming> parse(String text) {
		String[] lines = text.split("\r?\n");
		Matcher requestLine = REQUEST_LINE.matcher(lines[0]);
		if (!requestLine.matches()) {
			return Optional.empty();
		}
		int minorVersion = Integer.parseInt(requestLine.group(2));
		List<String> hosts = new ArrayList<>();
		List<String> lengths = new ArrayList<>();
		List<String> transferEncodings = new ArrayList<>();
		List<String> expectations = new ArrayList<>();
		for (int i = 1; i < lines.length; i++) {
			Matcher field = FIELD.matcher(lines[i]);
			if (!field.matches()) {
				return Optional.empty();
			}
			String value = field.group(2).strip();
			switch (field.group(1).toLowerCase(Locale.ROOT)) {
				case "host" -> hosts.add(value);
				case "content-length" -> lengths.add(value);
				case "transfer-encoding" -> transferEncodings.add(value);
				case "expect" -> expectations.add(value);
				default -> {
					// Does not concern the framing.
				}
			}
		}
		if (hosts.size() > 1 || hosts.size() < minorVersion
				|| !expectations.stream().allMatch("100-continue"::equalsIgnoreCase)) {
			return Optional.empty();
		}
		return framing(minorVersion, lengths, transferEncodings)
			.filter((head) -> !head.hasBody() || allowsBody(requestLine.group(1)));
	}

	private static Optional<RequestFraming> framing(int minorVersion, List<String> lengths,
			List<String> transferEncodings) {
		if (!transferEncodings.isEmpty()) {
			boolean sound = transferEncodings.size() == 1 && transferEncodings.get(0).equalsIgnoreCase("chunked")
					&& lengths.isEmpty() && minorVersion == 1;
			return sound ? Optional.of(new RequestFraming(true, 0)) : Optional.empty();
		}
		if (lengths.isEmpty()) {
			return Optional.of(new RequestFraming(false, 0));
		}
		String length = lengths.get(0);
		if (!LENGTH.matcher(length).matches() || !lengths.stream().allMatch(length::equals)) {
			return Optional.empty();
		}
		return Optional.of(new RequestFraming(false, Long.parseLong(length)));
	}

	// The codec of Grizzly refuses a body with these methods by an error response of its
	// own, which it writes into a response under way.
	private static boolean allowsBody(String method) {
		return Method.valueOf(method).getPayloadExpectation() == Method.PayloadExpectation.ALLOWED;
	}

	private boolean hasBody() {
		return this.chunked || this.contentLength > 0;
	}

}
