package org.mulberrycross.http;

import java.io.IOException;
import java.time.Duration;
import java.util.Objects;

import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

import org.mulberrycross.Address;

/**
 * HTTP server for relayed requests: reads each request completely and passes it to the
 * handler on the selector thread, without a thread for each exchange. Thread-safe.
 */
public final class RelayServer implements AutoCloseable {

	/** Maximum size of a message head; the configuration may set a lower limit. */
	private static final int MAX_HEAD_BYTES = 64 << 10;

	/**
	 * Maximum number of bytes queued for writing to one client. The connection of a
	 * client that stops reading is closed when this limit is reached.
	 */
	private static final int MAX_PENDING_WRITE_BYTES = 8 << 20;

	/** Length of the accept queue; a burst of new clients does not fill it. */
	private static final int ACCEPT_BACKLOG = 1024;

	private final TCPNIOTransport transport;

	private final RelayServerFilter filter;

	private final Address address;

	/**
	 * Creates a server that does not listen until {@link #start()} is called.
	 * @param address the address to listen on, not null
	 * @param handler handles the requests, not null
	 */
	public RelayServer(Address address, RelayHandler handler) {
		this(address, handler, Integer.MAX_VALUE);
	}

	/**
	 * Creates a server that does not listen until {@link #start()} is called.
	 * @param address the address to listen on, not null
	 * @param handler handles the requests, not null
	 * @param maxBodyBytes the maximum size of a request body; the connection of a client
	 * that sends a longer one is closed
	 */
	public RelayServer(Address address, RelayHandler handler, int maxBodyBytes) {
		this.address = Objects.requireNonNull(address, "address");
		this.filter = new RelayServerFilter(Objects.requireNonNull(handler, "handler"), maxBodyBytes);
		this.transport = TCPNIOTransportBuilder.newInstance()
			.setIOStrategy(SameThreadIOStrategy.getInstance())
			.setTcpNoDelay(true)
			.setReuseAddress(true)
			.setServerConnectionBackLog(ACCEPT_BACKLOG)
			.setSelectorRunnersCount(1)
			.build();
		this.transport.getAsyncQueueIO().getWriter().setMaxPendingBytesPerConnection(MAX_PENDING_WRITE_BYTES);
		this.transport.setProcessor(FilterChainBuilder.stateless()
			.add(new TransportFilter())
			.add(new FirstByteFilter(this.filter))
			.add(new RequestFramingFilter(this.filter::handleBrokenRequest))
			.add(httpServerFilter())
			.add(this.filter)
			.build());
	}

	private static HttpServerFilter httpServerFilter() {
		KeepAlive keepAlive = new KeepAlive();
		keepAlive.setMaxRequestsCount(-1);
		keepAlive.setIdleTimeoutInSeconds(-1);
		return new RequestCodecFilter(MAX_HEAD_BYTES, keepAlive);
	}

	/**
	 * Binds the address and starts to accept connections.
	 * @throws IOException if the address cannot be bound
	 */
	public void start() throws IOException {
		this.transport.bind(this.address.host(), this.address.port());
		this.transport.start();
	}

	/**
	 * From now on, announces with each response that its connection closes, and closes it
	 * afterwards. A response that has started before announces nothing, so its connection
	 * stays open for the next request.
	 */
	public void closeAfterResponses() {
		this.filter.closeAfterResponses();
	}

	/** Stops accepting connections; open connections are not affected. */
	public void stopAccepting() {
		this.transport.unbindAll();
	}

	/**
	 * Returns whether a request is being answered, or the end of a response is not sent
	 * yet.
	 * @return whether a client would lose a part of its response if this server were
	 * closed
	 */
	public boolean isAnswering() {
		return this.filter.isAnswering();
	}

	/**
	 * Returns whether a connection is open.
	 * @return true also for connections that wait until their client closes them
	 */
	public boolean hasConnections() {
		return this.filter.hasConnections();
	}

	/**
	 * Closes the connections without a request in progress. No request is taken on them
	 * any more.
	 * @param minIdleTime the time since the last response from which a connection is
	 * closed, not null
	 */
	public void closeIdleConnections(Duration minIdleTime) {
		this.filter.closeIdle(minIdleTime);
	}

	/**
	 * Closes the connections whose client takes too long to send a request, and those
	 * that have been idle for too long.
	 * @param requestTimeout the maximum time from the first to the last byte of a request
	 * @param idleTimeout the maximum time without a request in progress
	 */
	public void closeTimedOutConnections(Duration requestTimeout, Duration idleTimeout) {
		this.filter.closeTimedOut(requestTimeout, idleTimeout);
	}

	@Override
	public void close() {
		try {
			this.transport.shutdownNow();
		}
		catch (IOException ex) {
			// Ignored: the sockets are closed at the latest when the process exits.
		}
	}

}
