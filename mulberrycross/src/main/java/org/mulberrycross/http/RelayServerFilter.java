package org.mulberrycross.http;

import java.io.IOException;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;

/**
 * Collects requests by connection and hands whole ones to the handler. Thread-safe.
 */
final class RelayServerFilter extends BaseFilter {

	private final Attribute<RelayServerConnection> connections = Grizzly.DEFAULT_ATTRIBUTE_BUILDER
		.createAttribute(RelayServerFilter.class.getName() + System.identityHashCode(this));

	private final Set<RelayServerConnection> open = ConcurrentHashMap.newKeySet();

	private final RelayHandler handler;

	private volatile boolean closing;

	RelayServerFilter(RelayHandler handler) {
		this.handler = handler;
	}

	RelayServerConnection connection(Connection<?> connection) {
		RelayServerConnection found = this.connections.get(connection);
		if (found != null) {
			return found;
		}
		RelayServerConnection created = new RelayServerConnection(connection, this.handler, () -> this.closing);
		this.connections.set(connection, created);
		this.open.add(created);
		return created;
	}

	void closeAfterResponses() {
		this.closing = true;
	}

	void closeOverdue(Duration headTimeout, Duration idleTimeout) {
		long now = System.nanoTime();
		this.open.forEach((connection) -> connection.closeIfOverdue(now, headTimeout, idleTimeout));
	}

	@Override
	public NextAction handleAccept(FilterChainContext context) throws IOException {
		connection(context.getConnection());
		return context.getInvokeAction();
	}

	@Override
	public NextAction handleRead(FilterChainContext context) throws IOException {
		HttpContent content = context.getMessage();
		connection(context.getConnection()).received(context, content);
		content.recycle();
		return context.getStopAction();
	}

	@Override
	public NextAction handleClose(FilterChainContext context) throws IOException {
		RelayServerConnection connection = this.connections.get(context.getConnection());
		if (connection != null) {
			this.open.remove(connection);
			connection.closed();
		}
		return context.getInvokeAction();
	}

}
