package org.mulberrycross.http;

import java.io.IOException;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;

/**
 * Passes the parsed parts of requests to the state of their connection, which calls the
 * handler once a request is complete. Thread-safe.
 */
final class RelayServerFilter extends BaseFilter {

	private final Attribute<RelayServerConnection> connectionAttribute = Grizzly.DEFAULT_ATTRIBUTE_BUILDER
		.createAttribute(RelayServerFilter.class.getName() + System.identityHashCode(this));

	private final Set<RelayServerConnection> openConnections = ConcurrentHashMap.newKeySet();

	private final RelayHandler handler;

	private final int maxBodyBytes;

	/** Whether connections are to be closed after their current response. */
	private volatile boolean draining;

	RelayServerFilter(RelayHandler handler, int maxBodyBytes) {
		this.handler = handler;
		this.maxBodyBytes = maxBodyBytes;
	}

	RelayServerConnection findOrCreate(Connection<?> connection) {
		RelayServerConnection existing = this.connectionAttribute.get(connection);
		if (existing != null) {
			return existing;
		}
		RelayServerConnection created = new RelayServerConnection(connection, this.handler, this.maxBodyBytes,
				() -> this.draining);
		this.connectionAttribute.set(connection, created);
		this.openConnections.add(created);
		return created;
	}

	// An error response must not end up in the middle of the response under way.
	void handleBrokenRequest(FilterChainContext context, boolean requestStarted) {
		if (!findOrCreate(context.getConnection()).closeAfterResponse()) {
			RequestFramingFilter.sendBadRequest(context);
		}
	}

	void closeAfterResponses() {
		this.draining = true;
	}

	void closeTimedOut(Duration requestTimeout, Duration idleTimeout) {
		long nowNanos = System.nanoTime();
		this.openConnections.forEach((connection) -> connection.closeIfTimedOut(nowNanos, requestTimeout, idleTimeout));
	}

	void closeIdle(Duration minIdleTime) {
		long nowNanos = System.nanoTime();
		this.openConnections.forEach((connection) -> connection.closeIfIdle(nowNanos, minIdleTime));
	}

	// Returns whether a response, or the last part of one, is not sent yet.
	boolean isAnswering() {
		return this.openConnections.stream().anyMatch(RelayServerConnection::isAnswering);
	}

	boolean hasConnections() {
		return !this.openConnections.isEmpty();
	}

	@Override
	public NextAction handleAccept(FilterChainContext context) throws IOException {
		findOrCreate(context.getConnection());
		return context.getInvokeAction();
	}

	@Override
	public NextAction handleRead(FilterChainContext context) throws IOException {
		HttpContent content = context.getMessage();
		findOrCreate(context.getConnection()).handleContent(context, content);
		content.recycle();
		return context.getStopAction();
	}

	@Override
	public NextAction handleClose(FilterChainContext context) throws IOException {
		RelayServerConnection connection = this.connectionAttribute.get(context.getConnection());
		if (connection != null) {
			this.openConnections.remove(connection);
			connection.handleClose(context.getConnection().getCloseReason().getType() == CloseType.LOCALLY);
		}
		return context.getInvokeAction();
	}

}
