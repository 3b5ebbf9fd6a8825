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
 * Hands the parsed parts of a response to the exchange of their connection. Thread-safe.
 */
final class HttpExchangeFilter extends BaseFilter {

	private static final Attribute<HttpExchange> EXCHANGE = Grizzly.DEFAULT_ATTRIBUTE_BUILDER
		.createAttribute(HttpExchangeFilter.class.getName());

	static void start(Connection<?> connection, HttpExchange exchange) {
		EXCHANGE.set(connection, exchange);
		if (!connection.isOpen()) {
			exchange.closed();
		}
	}

	static void end(Connection<?> connection) {
		EXCHANGE.remove(connection);
	}

	@Override
	public NextAction handleRead(FilterChainContext context) throws IOException {
		HttpContent content = context.getMessage();
		HttpExchange exchange = EXCHANGE.get(context.getConnection());
		if (exchange != null) {
			exchange.received(content);
		}
		else {
			// A reply that no request asked for would be taken for that of the next one.
			context.getConnection().closeSilently();
		}
		content.recycle();
		return context.getStopAction();
	}

	@Override
	public NextAction handleClose(FilterChainContext context) throws IOException {
		HttpExchange exchange = EXCHANGE.get(context.getConnection());
		if (exchange != null) {
			exchange.closed();
		}
		return context.getInvokeAction();
	}

	@Override
	public void exceptionOccurred(FilterChainContext context, Throwable error) {
		HttpExchange exchange = EXCHANGE.get(context.getConnection());
		if (exchange != null) {
			exchange.failed(error);
		}
	}

}
