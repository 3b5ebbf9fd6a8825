package org.mulberrycross.http;

import java.io.IOException;

import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;

/**
 * Hands the parsed parts of a response to the call of their connection. Thread-safe.
 */
final class RelayClientFilter extends BaseFilter {

	static final Attribute<RelayCall> CALLS = Grizzly.DEFAULT_ATTRIBUTE_BUILDER
		.createAttribute(RelayClientFilter.class.getName());

	@Override
	public NextAction handleRead(FilterChainContext context) throws IOException {
		HttpContent content = context.getMessage();
		RelayCall call = CALLS.get(context.getConnection());
		if (call != null) {
			call.received(context.getConnection(), content);
		}
		content.recycle();
		return context.getStopAction();
	}

	@Override
	public NextAction handleClose(FilterChainContext context) throws IOException {
		RelayCall call = CALLS.get(context.getConnection());
		if (call != null) {
			call.closed();
		}
		return context.getInvokeAction();
	}

	@Override
	public void exceptionOccurred(FilterChainContext context, Throwable error) {
		RelayCall call = CALLS.get(context.getConnection());
		if (call != null) {
			call.failed("response cannot be read: " + error);
		}
		context.getConnection().terminateSilently();
	}

}
