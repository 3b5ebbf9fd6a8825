package org.mulberrycross.http;

import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Decodes requests and encodes responses. Ignores offers of another protocol, as a server
 * may that knows none. Thread-safe.
 */
final class RequestCodecFilter extends HttpServerFilter {

	/**
	 * Creates a filter.
	 * @param maxHeadBytes the maximum size of the head of a request
	 * @param keepAlive how long and how often connections are used again, not null
	 */
	// The deprecated constructor is the only one that takes the maximum size of a head.
	@SuppressWarnings("deprecation")
	RequestCodecFilter(int maxHeadBytes, KeepAlive keepAlive) {
		super(true, maxHeadBytes, keepAlive, null);
	}

	/**
	 * Forgets that a message offers another protocol. The codec would take what follows
	 * the head for that protocol, and the message would have no end.
	 * @param header the head of the message, not null
	 */
	static void ignoreUpgrade(HttpHeader header) {
		header.getUpgradeDC().recycle();
	}

	@Override
	protected void onHttpHeadersParsed(HttpHeader header, MimeHeaders fields, FilterChainContext context) {
		ignoreUpgrade(header);
		super.onHttpHeadersParsed(header, fields, context);
	}

}
