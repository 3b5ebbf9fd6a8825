package org.mulberrycross.http;

import java.io.IOException;
import java.util.Objects;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

import org.mulberrycross.Address;

/**
 * HTTP client for relayed requests: passes on each part of a response as it arrives,
 * without a thread for each exchange. Thread-safe. Uses a new connection for every
 * request, so that bytes left over from one response cannot be taken for part of another.
 */
public final class RelayClient implements AutoCloseable {

	private final TCPNIOTransport transport;

	private final TCPNIOConnectorHandler connector;

	/**
	 * Creates a client and starts its selector thread.
	 * @throws IOException if the transport cannot be started
	 */
	public RelayClient() throws IOException {
		this.transport = TCPNIOTransportBuilder.newInstance()
			.setIOStrategy(SameThreadIOStrategy.getInstance())
			.setTcpNoDelay(true)
			.setSelectorRunnersCount(1)
			.build();
		this.transport.setProcessor(FilterChainBuilder.stateless()
			.add(new ResetAwareTransportFilter())
			.add(new InterimResponseFilter())
			.add(new ResponseCodecFilter(RelayClientFilter::fail))
			.add(new RelayClientFilter())
			.build());
		this.transport.start();
		this.connector = TCPNIOConnectorHandler.builder(this.transport).build();
	}

	/**
	 * Sends a request on a new connection. Returns without waiting for the connection.
	 * @param address the address of the upstream, not null
	 * @param request the request, not null
	 * @param listener receives the response or the failure, not null
	 * @return the call, which can be cancelled
	 */
	public RelayCall send(Address address, RelayRequest request, ResponseListener listener) {
		Objects.requireNonNull(address, "address");
		RelayCall call = new RelayCall(request, listener);
		this.connector.connect(address.socketAddress(), call.connectHandler());
		return call;
	}

	static void attach(Connection<?> connection, RelayCall call) {
		RelayClientFilter.CALL_ATTRIBUTE.set(connection, call);
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
