package org.mulberrycross.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;

/**
 * Skips the interim responses that precede a response, and passes the head of the
 * response on to the HTTP codec as a whole. The codec takes interim responses other than
 * 100 for the response, and fails on one of status 100 that arrives in several reads.
 * Thread-safe.
 */
final class InterimResponseFilter extends BaseFilter {

	/**
	 * Maximum size of the head of a response together with the interim responses before
	 * it.
	 */
	private static final int MAX_HEAD_BYTES = 64 << 10;

	private static final int SWITCHING_PROTOCOLS = 101;

	private static final Pattern INTERIM_STATUS = Pattern.compile("HTTP/1\\.[0-9][ \t]+(1[0-9][0-9])(?![0-9])");

	private final Attribute<PendingHead> pendingHeadAttribute = Grizzly.DEFAULT_ATTRIBUTE_BUILDER
		.createAttribute(InterimResponseFilter.class.getName() + System.identityHashCode(this));

	@Override
	public NextAction handleWrite(FilterChainContext context) throws IOException {
		// A request is written as one message, so each message starts a new response.
		this.pendingHeadAttribute.set(context.getConnection(), new PendingHead());
		return context.getInvokeAction();
	}

	@Override
	public NextAction handleRead(FilterChainContext context) throws IOException {
		PendingHead pendingHead = this.pendingHeadAttribute.get(context.getConnection());
		if (pendingHead == null) {
			return context.getInvokeAction();
		}
		Buffer buffer = context.getMessage();
		boolean complete = pendingHead.read(buffer);
		if (!complete) {
			buffer.tryDispose();
			return context.getStopAction();
		}
		this.pendingHeadAttribute.remove(context.getConnection());
		context.setMessage(Buffers.wrap(context.getMemoryManager(), pendingHead.joinWith(buffer)));
		buffer.tryDispose();
		return context.getInvokeAction();
	}

	/**
	 * The part of a response head that has been received. Not thread-safe.
	 */
	private static final class PendingHead {

		private final ByteArrayOutputStream head = new ByteArrayOutputStream();

		/** Bytes in the current line, without the line end. */
		private int lineBytes;

		/** Size of the head and of the interim responses before it. */
		private int totalBytes;

		// Reads to the end of the head of the response, and returns whether it is there.
		private boolean read(Buffer buffer) throws IOException {
			while (buffer.hasRemaining()) {
				byte value = buffer.get();
				this.head.write(value);
				this.totalBytes++;
				if (this.totalBytes > MAX_HEAD_BYTES) {
					throw new IOException("response head is longer than " + MAX_HEAD_BYTES + " bytes");
				}
				if (value == '\n' && this.lineBytes == 0 && !skipInterimResponse()) {
					return true;
				}
				this.lineBytes = (value == '\n') ? 0 : (value == '\r') ? this.lineBytes : this.lineBytes + 1;
			}
			return false;
		}

		private boolean skipInterimResponse() throws IOException {
			Matcher status = INTERIM_STATUS.matcher(this.head.toString(StandardCharsets.ISO_8859_1));
			if (!status.lookingAt()) {
				return false;
			}
			if (Integer.parseInt(status.group(1)) == SWITCHING_PROTOCOLS) {
				throw new IOException("response switches protocols without a request to do so");
			}
			this.head.reset();
			return true;
		}

		// Returns the head with the rest of the bytes received.
		private byte[] joinWith(Buffer rest) {
			byte[] remainder = new byte[rest.remaining()];
			rest.get(remainder);
			this.head.writeBytes(remainder);
			return this.head.toByteArray();
		}

	}

}
