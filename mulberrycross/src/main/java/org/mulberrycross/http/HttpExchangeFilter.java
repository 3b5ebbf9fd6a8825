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
 * Passes the parsed parts of responses to the exchange attached to their connection.
 * Thread-safe.
 */
final class HttpExchangeFilter extends BaseFilter {

	private static final Attribute<Exchange> EXCHANGE_ATTRIBUTE = Grizzly.DEFAULT_ATTRIBUTE_BUILDER
		.createAttribute(HttpExchangeFilter.class.getName());

	static void attach(Connection<?> connection, Exchange exchange) {
		EXCHANGE_ATTRIBUTE.set(connection, exchange);
		// A close before the exchange was attached has not been reported to it.
		if (!connection.isOpen()) {
			exchange.handleClose();
		}
	}

	static void detach(Connection<?> connection) {
		EXCHANGE_ATTRIBUTE.remove(connection);
	}

	static void fail(Connection<?> connection, Throwable error) {
		Exchange exchange = EXCHANGE_ATTRIBUTE.get(connection);
		if (exchange != null) {
			exchange.fail(error);
		}
	}

	@Override
	public NextAction handleRead(FilterChainContext context) throws IOException {
		HttpContent content = context.getMessage();
		Exchange exchange = EXCHANGE_ATTRIBUTE.get(context.getConnection());
		if (exchange != null && !exchange.isDone()) {
			handleContent(context.getConnection(), exchange, content);
		}
		else {
			// Bytes after a reply, or without a request, would be taken for the next
			// reply.
			context.getConnection().closeSilently();
		}
		content.recycle();
		return context.getStopAction();
	}

	private static void handleContent(Connection<?> connection, Exchange exchange, HttpContent content) {
		try {
			exchange.handleContent(connection, content);
		}
		catch (RuntimeException | Error ex) {
			// As in RelayClientFilter, a reply without this part would look complete.
			exchange.fail(ex);
			connection.closeSilently();
		}
	}

	@Override
	public NextAction handleClose(FilterChainContext context) throws IOException {
		Exchange exchange = EXCHANGE_ATTRIBUTE.get(context.getConnection());
		if (exchange != null) {
			exchange.handleClose();
		}
		return context.getInvokeAction();
	}

	@Override
	public void exceptionOccurred(FilterChainContext context, Throwable error) {
		fail(context.getConnection(), error);
	}

}
