package org.mulberrycross.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Objects;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Passes only requests with a sound framing on to the HTTP codec, each head as a whole.
 * Nothing behind a broken request on its connection is read. Thread-safe.
 */
final class RequestFramingFilter extends BaseFilter {

	private static final byte[] BAD_REQUEST = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
		.getBytes(StandardCharsets.US_ASCII);

	private final Attribute<RequestScanner> scannerAttribute = Grizzly.DEFAULT_ATTRIBUTE_BUILDER
		.createAttribute(RequestFramingFilter.class.getName() + System.identityHashCode(this));

	private final BrokenRequestHandler brokenRequestHandler;

	/**
	 * Creates a filter.
	 * @param brokenRequestHandler is called once for each connection with a broken
	 * request, not null
	 */
	RequestFramingFilter(BrokenRequestHandler brokenRequestHandler) {
		this.brokenRequestHandler = Objects.requireNonNull(brokenRequestHandler, "brokenRequestHandler");
	}

	/**
	 * Responds with status 400 and closes the connection.
	 * @param context the context in which the request was read
	 */
	@SuppressWarnings("rawtypes")
	static void sendBadRequest(FilterChainContext context) {
		context.write(null, Buffers.wrap(context.getMemoryManager(), BAD_REQUEST),
				new EmptyCompletionHandler<WriteResult>() {

					@Override
					public void completed(WriteResult result) {
						context.getConnection().closeSilently();
					}

				});
	}

	@Override
	public NextAction handleRead(FilterChainContext context) throws IOException {
		RequestScanner scanner = findOrCreate(context);
		Buffer buffer = context.getMessage();
		if (scanner.isBroken()) {
			buffer.tryDispose();
			return context.getStopAction();
		}
		boolean startsInBody = scanner.isInBody();
		int heldBytes = scanner.incompleteHeadBytes();
		int end = scanner.read(buffer);
		if (scanner.isBroken()) {
			buffer.tryDispose();
			this.brokenRequestHandler.handle(context, scanner.hasRequestStarted());
			return context.getStopAction();
		}
		if (scanner.isHeadIncomplete()) {
			buffer.tryDispose();
			return context.getStopAction();
		}
		Buffer remainder = (end < buffer.limit()) ? buffer.split(end) : null;
		if (!startsInBody && (heldBytes > 0 || !buffer.hasArray())) {
			context.setMessage(joinInOneArray(context.getMemoryManager(), scanner.headStart(heldBytes), buffer));
		}
		return (remainder != null) ? context.getInvokeAction(remainder) : context.getInvokeAction();
	}

	// In a buffer that consists of several arrays, the codec compares names of transfer
	// encodings by case, so that it takes "Chunked" for an unknown one.
	private static Buffer joinInOneArray(MemoryManager<?> memoryManager, byte[] start, Buffer buffer) {
		byte[] joined = Arrays.copyOf(start, start.length + buffer.remaining());
		buffer.get(joined, start.length, buffer.remaining());
		buffer.tryDispose();
		return Buffers.wrap(memoryManager, joined);
	}

	private RequestScanner findOrCreate(FilterChainContext context) {
		RequestScanner scanner = this.scannerAttribute.get(context.getConnection());
		if (scanner == null) {
			scanner = new RequestScanner();
			this.scannerAttribute.set(context.getConnection(), scanner);
		}
		return scanner;
	}

	/**
	 * Handles the first broken request on a connection.
	 */
	@FunctionalInterface
	interface BrokenRequestHandler {

		/**
		 * Handles a broken request, of which nothing more is passed on.
		 * @param context the context in which the request was read, not null
		 * @param requestStarted whether a request has been passed on before, or the head
		 * of this one
		 */
		void handle(FilterChainContext context, boolean requestStarted);

	}

}
