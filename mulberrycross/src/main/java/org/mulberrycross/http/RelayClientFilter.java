package org.mulberrycross.http;

import java.io.IOException;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;

/**
 * Passes the parsed parts of responses to the call attached to their connection.
 * Thread-safe.
 */
final class RelayClientFilter extends BaseFilter {

	static final Attribute<RelayCall> CALL_ATTRIBUTE = Grizzly.DEFAULT_ATTRIBUTE_BUILDER
		.createAttribute(RelayClientFilter.class.getName());

	static void fail(Connection<?> connection, Throwable error) {
		RelayCall call = CALL_ATTRIBUTE.get(connection);
		if (call != null) {
			call.fail("response cannot be read: " + error.getMessage());
		}
	}

	@Override
	public NextAction handleRead(FilterChainContext context) throws IOException {
		HttpContent content = context.getMessage();
		RelayCall call = CALL_ATTRIBUTE.get(context.getConnection());
		if (call != null) {
			try {
				call.handleContent(context.getConnection(), content);
			}
			catch (RuntimeException | Error ex) {
				// The filter chain would go on with the next part until it closes the
				// connection, and a response without this part would look complete.
				call.fail("response cannot be processed: " + ex);
				context.getConnection().terminateSilently();
			}
		}
		content.recycle();
		return context.getStopAction();
	}

	@Override
	public NextAction handleClose(FilterChainContext context) throws IOException {
		RelayCall call = CALL_ATTRIBUTE.get(context.getConnection());
		if (call != null) {
			call.handleClose();
		}
		return context.getInvokeAction();
	}

	@Override
	public void exceptionOccurred(FilterChainContext context, Throwable error) {
		fail(context.getConnection(), error);
		context.getConnection().terminateSilently();
	}

}
