package org.mulberrycross.http;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.ParsingResult;
import org.glassfish.grizzly.http.TransferEncoding;

/**
 * Decodes chunked bodies with a {@link ChunkDecoder} for each message, and leaves their
 * encoding to another implementation. Thread-safe.
 */
final class StrictChunkedEncoding implements TransferEncoding {

	private static final Attribute<ChunkDecoder> DECODER_ATTRIBUTE = Grizzly.DEFAULT_ATTRIBUTE_BUILDER
		.createAttribute(StrictChunkedEncoding.class.getName());

	private final TransferEncoding encoder;

	private final int maxLineBytes;

	StrictChunkedEncoding(TransferEncoding encoder, int maxLineBytes) {
		this.encoder = encoder;
		this.maxLineBytes = maxLineBytes;
	}

	// Codec objects are reused for later messages, which must not find an earlier state.
	void startMessage(HttpHeader header) {
		DECODER_ATTRIBUTE.set(header, new ChunkDecoder(this.maxLineBytes, true));
	}

	@Override
	public boolean wantDecode(HttpHeader header) {
		return header.isChunked();
	}

	@Override
	public ParsingResult parsePacket(FilterChainContext context, HttpHeader header, Buffer input) {
		ChunkDecoder decoder = DECODER_ATTRIBUTE.get(header);
		Buffer data = decoder.decode(input);
		HttpContent content = header.httpContentBuilder().content(data).last(decoder.isComplete()).build();
		return ParsingResult.create(content, input.hasRemaining() ? input.slice() : null);
	}

	@Override
	public boolean wantEncode(HttpHeader header) {
		return this.encoder.wantEncode(header);
	}

	@Override
	public void prepareSerialize(FilterChainContext context, HttpHeader header, HttpContent content) {
		this.encoder.prepareSerialize(context, header, content);
	}

	@Override
	public Buffer serializePacket(FilterChainContext context, HttpContent content) {
		return this.encoder.serializePacket(context, content);
	}

}
