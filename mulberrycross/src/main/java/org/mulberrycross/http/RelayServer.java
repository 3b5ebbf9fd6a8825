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
 * HTTP server for requests that are relayed: reads each request whole and hands it over
 * on the selector thread, without a thread for each exchange. Thread-safe.
 */
public final class RelayServer implements AutoCloseable {

	/** Longest message head that is parsed; the configuration may set a lower limit. */
	private static final int MAX_HEAD_BYTES = 64 << 10;

	/**
	 * Bound on the bytes that wait to be written to one client. A client that stops
	 * reading loses its connection when the bound is reached.
	 */
	private static final int MAX_PENDING_BYTES = 8 << 20;

	/** Connections that wait to be accepted; a burst of new clients stays below it. */
	private static final int ACCEPT_BACKLOG = 1024;

	private final TCPNIOTransport transport;

	private final RelayServerFilter filter;

	private final Address address;

	/**
	 * Creates a server that does not listen yet.
	 * @param address the address to listen on, not null
	 * @param handler takes the requests, not null
	 */
	public RelayServer(Address address, RelayHandler handler) {
		this.address = Objects.requireNonNull(address, "address");
		this.filter = new RelayServerFilter(Objects.requireNonNull(handler, "handler"));
		this.transport = TCPNIOTransportBuilder.newInstance()
			.setIOStrategy(SameThreadIOStrategy.getInstance())
			.setTcpNoDelay(true)
			.setReuseAddress(true)
			.setServerConnectionBackLog(ACCEPT_BACKLOG)
			.setSelectorRunnersCount(1)
			.build();
		this.transport.getAsyncQueueIO().getWriter().setMaxPendingBytesPerConnection(MAX_PENDING_BYTES);
		this.transport.setProcessor(FilterChainBuilder.stateless()
			.add(new TransportFilter())
			.add(new FirstByteFilter(this.filter))
			.add(keepAliveFilter())
			.add(this.filter)
			.build());
	}

	// The deprecated constructor is the only one that takes the maximum size of a head.
	@SuppressWarnings("deprecation")
	private static HttpServerFilter keepAliveFilter() {
		KeepAlive keepAlive = new KeepAlive();
		keepAlive.setMaxRequestsCount(-1);
		keepAlive.setIdleTimeoutInSeconds(-1);
		return new HttpServerFilter(true, MAX_HEAD_BYTES, keepAlive, null);
	}

	/**
	 * Starts to listen.
	 * @throws IOException if the address cannot be bound
	 */
	public void start() throws IOException {
		this.transport.bind(this.address.host(), this.address.port());
		this.transport.start();
	}

	/** Asks each client, with its next response, to close its connection. */
	public void closeAfterResponses() {
		this.filter.closeAfterResponses();
	}

	/** Accepts no new connections from now on. */
	public void refuseConnections() {
		this.transport.unbindAll();
	}

	/** Closes the connections on which no request is being read or answered. */
	public void closeIdle() {
		this.filter.closeOverdue(Duration.ofDays(1), Duration.ZERO);
	}

	/**
	 * Closes connections whose client takes too long to send a request, and connections
	 * that are idle.
	 * @param headTimeout the longest time from the first byte of a request to its end
	 * @param idleTimeout the longest time between two requests
	 */
	public void closeOverdue(Duration headTimeout, Duration idleTimeout) {
		this.filter.closeOverdue(headTimeout, idleTimeout);
	}

	@Override
	public void close() {
		try {
			this.transport.shutdownNow();
		}
		catch (IOException ex) {
			// The sockets end with the process; nothing waits for them.
		}
	}

}
