package org.mulberrycross.http;

import java.io.IOException;
import java.util.function.BiConsumer;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.ChunkedTransferEncoding;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpPacketParsing;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.TransferEncoding;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Encodes requests and decodes responses. Fails a response whose framing is unclear or
 * broken, which the filter of Grizzly passes on or completes. Thread-safe.
 */
final class ResponseCodecFilter extends HttpClientFilter {

	private final StrictChunkedEncoding chunkedEncoding;

	private final BiConsumer<Connection<?>, Exception> failureListener;

	/**
	 * Creates a filter.
	 * @param failureListener receives the connection of a response that cannot be decoded
	 * and the reason, before the connection is closed, not null
	 */
	ResponseCodecFilter(BiConsumer<Connection<?>, Exception> failureListener) {
		this.failureListener = failureListener;
		this.chunkedEncoding = new StrictChunkedEncoding(new ChunkedTransferEncoding(this.maxHeadersSize),
				this.maxHeadersSize);
		for (TransferEncoding encoding : getTransferEncodings()) {
			if (encoding instanceof ChunkedTransferEncoding) {
				removeTransferEncoding(encoding);
			}
		}
		addTransferEncoding(this.chunkedEncoding);
	}

	@Override
	public NextAction handleRead(FilterChainContext context) throws IOException {
		try {
			return super.handleRead(context);
		}
		catch (IOException | RuntimeException ex) {
			// Until the filter chain had closed it, later bytes would be decoded.
			this.failureListener.accept(context.getConnection(), ex);
			context.getConnection().terminateSilently();
			return context.getStopAction();
		}
	}

	@Override
	protected void onHttpHeadersParsed(HttpHeader header, MimeHeaders fields, FilterChainContext context) {
		// The parser removes a length that precedes chunked encoding, but counts it.
		int lengthFields = ((HttpPacketParsing) header).getHeaderParsingState().contentLengthHeadersCount;
		ResponseFraming.fault(context.getMessage(), (HttpResponsePacket) header, lengthFields).ifPresent((fault) -> {
			throw new IllegalStateException(fault);
		});
		RequestCodecFilter.ignoreUpgrade(header);
		super.onHttpHeadersParsed(header, fields, context);
	}

	@Override
	protected boolean onHttpHeaderParsed(HttpHeader header, Buffer buffer, FilterChainContext context) {
		// A sound head has no other coding; the parser may have missed this one.
		if (header.getHeaders().contains("Transfer-Encoding")) {
			header.setChunked(true);
			this.chunkedEncoding.startMessage(header);
		}
		return super.onHttpHeaderParsed(header, buffer, context);
	}

}
