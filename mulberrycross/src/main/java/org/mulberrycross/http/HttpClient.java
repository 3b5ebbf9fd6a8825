package org.mulberrycross.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.connectionpool.Endpoint;
import org.glassfish.grizzly.connectionpool.MultiEndpointPool;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

import org.mulberrycross.NotRunException;
import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;

/**
 * HTTP client over Grizzly with pooled connections. Each connection carries one exchange
 * at a time. After a timeout the connection is closed and not reused, since a connection
 * can stop responding while new ones work, and so are all idle connections to the same
 * address, which may have gone silent with it. Thread-safe; {@link #send}, {@link #read}
 * and {@link #sendAfterProbe} block, so they must not be called on a selector thread or
 * on the control thread.
 */
public final class HttpClient implements AutoCloseable {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(20);

	private static final int MAX_CONNECTIONS_PER_ENDPOINT = 1024;

	private static final int MAX_CONNECTIONS = 8192;

	private final TCPNIOTransport transport;

	private final TCPNIOConnectorHandler connector;

	private final MultiEndpointPool<SocketAddress> pool;

	/** The connections in the pool that carry no exchange, by address. */
	private final Map<SocketAddress, Set<Connection<?>>> idleConnections = new ConcurrentHashMap<>();

	/**
	 * Creates a client and starts its selector threads.
	 * @param selectorThreads the number of selector threads, at least 1
	 * @throws IOException if the transport cannot be started
	 */
	public HttpClient(int selectorThreads) throws IOException {
		this.transport = TCPNIOTransportBuilder.newInstance()
			.setIOStrategy(SameThreadIOStrategy.getInstance())
			.setTcpNoDelay(true)
			.setSelectorRunnersCount(selectorThreads)
			.build();
		this.transport.setProcessor(FilterChainBuilder.stateless()
			.add(new TransportFilter())
			.add(new InterimResponseFilter())
			.add(new ResponseCodecFilter(HttpExchangeFilter::fail))
			.add(new HttpExchangeFilter())
			.build());
		this.transport.start();
		this.connector = TCPNIOConnectorHandler.builder(this.transport).build();
		this.pool = MultiEndpointPool.builder(SocketAddress.class)
			.maxConnectionsPerEndpoint(MAX_CONNECTIONS_PER_ENDPOINT)
			.maxConnectionsTotal(MAX_CONNECTIONS)
			.connectTimeout(CONNECT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
			.keepAliveTimeout(IDLE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
			.keepAliveCheckInterval(1, TimeUnit.SECONDS)
			.build();
	}

	/**
	 * Sends a request and waits for the complete response.
	 * @param call the request, not null
	 * @return the response, whatever its status
	 * @throws NotRunException if no byte of the request was sent
	 * @throws OutcomeUnknownException if the request may have been sent and no complete
	 * response was received within the timeout
	 */
	public HttpReply send(HttpCall call) throws PeerException {
		return send(call, BodyListener.NONE);
	}

	/**
	 * Sends a request, passes on the response body as it arrives and waits for the
	 * complete response.
	 * @param call the request, not null
	 * @param listener receives the parts of the body, not null
	 * @return the response, whatever its status
	 * @throws NotRunException if no byte of the request was sent
	 * @throws OutcomeUnknownException if the request may have been sent and no complete
	 * response was received within the timeout
	 */
	public HttpReply send(HttpCall call, BodyListener listener) throws PeerException {
		Objects.requireNonNull(call, "call");
		Objects.requireNonNull(listener, "listener");
		long deadlineNanos = System.nanoTime() + call.timeout().toNanos();
		Connection<?> connection = connect(call);
		HttpExchange exchange = new HttpExchange(listener, call.maxReplyBytes());
		boolean reusable = false;
		try {
			HttpReply reply = execute(connection, call, exchange, exchange.reply(), deadlineNanos);
			reusable = !call.newConnection() && exchange.isKeepAlive();
			return reply;
		}
		finally {
			releaseOrClose(connection, call.address().socketAddress(), reusable);
		}
	}

	/**
	 * Sends a request and reads the body of the response while it arrives. The head of
	 * the response must arrive within the timeout of the call; the body may take longer,
	 * as long as it goes on arriving.
	 * @param <T> the type of the result
	 * @param call the request, not null
	 * @param reader reads the body, not null
	 * @return the result of the reader
	 * @throws NotRunException if no byte of the request was sent
	 * @throws OutcomeUnknownException if the request may have been sent and no complete
	 * response was received, or the reader did not accept that it is too long
	 * @throws PeerException if the reader rejects the response
	 */
	public <T> T read(HttpCall call, ReplyReader<T> reader) throws PeerException {
		Objects.requireNonNull(call, "call");
		Objects.requireNonNull(reader, "reader");
		long deadlineNanos = System.nanoTime() + call.timeout().toNanos();
		Connection<?> connection = connect(call);
		StreamedExchange exchange = new StreamedExchange(call.maxReplyBytes(), deadlineNanos);
		boolean reusable = false;
		try {
			HttpReply head = execute(connection, call, exchange, exchange.head(), deadlineNanos);
			T result = reader.read(head, exchange.body());
			reusable = exchange.body().skipRest() && !call.newConnection() && exchange.isKeepAlive();
			return result;
		}
		catch (IncompleteReplyException ex) {
			closeIdleConnections(call.address().socketAddress());
			throw outcomeUnknown(call, ex.getMessage(), ex);
		}
		catch (IOException ex) {
			throw new PeerException(Step.CODEC, call.peer(), "reply cannot be read", ex);
		}
		finally {
			releaseOrClose(connection, call.address().socketAddress(), reusable);
		}
	}

	/**
	 * Sends a probe on a new connection, and then the request on another new one once the
	 * probe has received a response of any status. The request's connection carries
	 * nothing else, so that a response which the peer sends once more cannot be taken for
	 * that to the request.
	 * @param probe the probe, not null
	 * @param call the request, not null
	 * @return the response to the request, whatever its status
	 * @throws NotRunException if no byte of the request was sent, for example because the
	 * probe received no response within its timeout
	 * @throws OutcomeUnknownException if the request may have been sent and no complete
	 * response was received within the timeout
	 */
	public HttpReply sendAfterProbe(HttpCall probe, HttpCall call) throws PeerException {
		Objects.requireNonNull(call, "call");
		try {
			send(probe.withNewConnection());
		}
		catch (OutcomeUnknownException ex) {
			throw new NotRunException(ex.step(), ex.peer(), "probe failed, request not sent: " + ex.getMessage(), ex);
		}
		return send(call.withNewConnection());
	}

	// Sends the request and waits for a result of its exchange.
	private <T> T execute(Connection<?> connection, HttpCall call, Exchange exchange, Future<T> result,
			long deadlineNanos) throws OutcomeUnknownException {
		try {
			HttpExchangeFilter.attach(connection, exchange);
			connection.write(encode(call));
			return result.get(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
		}
		catch (TimeoutException ex) {
			closeIdleConnections(call.address().socketAddress());
			throw outcomeUnknown(call, "no complete reply within " + call.timeout().toMillis() + " ms", ex);
		}
		catch (ExecutionException ex) {
			throw outcomeUnknown(call, "connection failed: " + ex.getCause().getMessage(), ex.getCause());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw outcomeUnknown(call, "interrupted while waiting for the reply", ex);
		}
	}

	private void releaseOrClose(Connection<?> connection, SocketAddress address, boolean reusable) {
		HttpExchangeFilter.detach(connection);
		if (!reusable) {
			connection.closeSilently();
			return;
		}
		Set<Connection<?>> idle = this.idleConnections.computeIfAbsent(address, (key) -> ConcurrentHashMap.newKeySet());
		idle.removeIf((other) -> !other.isOpen());
		idle.add(connection);
		this.pool.release(connection);
	}

	private void markInUse(Connection<?> connection, SocketAddress address) {
		Set<Connection<?>> idle = this.idleConnections.get(address);
		if (idle != null) {
			idle.remove(connection);
		}
	}

	// The pool drops the connections that are closed here.
	private void closeIdleConnections(SocketAddress address) {
		Set<Connection<?>> idle = this.idleConnections.getOrDefault(address, Set.of());
		for (Connection<?> connection : idle) {
			if (idle.remove(connection)) {
				connection.closeSilently();
			}
		}
	}

	private Connection<?> connect(HttpCall call) throws NotRunException {
		SocketAddress address = call.address().socketAddress();
		long timeoutNanos = Math.min(CONNECT_TIMEOUT.toNanos(), call.timeout().toNanos());
		Future<? extends Connection<?>> connectionFuture = null;
		try {
			connectionFuture = call.newConnection() ? openConnection(address) : takePooledConnection(address);
			Connection<?> connection = connectionFuture.get(timeoutNanos, TimeUnit.NANOSECONDS);
			markInUse(connection, address);
			return connection;
		}
		catch (TimeoutException ex) {
			connectionFuture.cancel(true);
			throw new NotRunException(call.step(), call.peer(), "no connection to " + call.address() + " within "
					+ TimeUnit.NANOSECONDS.toMillis(timeoutNanos) + " ms", ex);
		}
		catch (ExecutionException ex) {
			throw new NotRunException(call.step(), call.peer(),
					"cannot connect to " + call.address() + ": " + ex.getCause().getMessage(), ex.getCause());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new NotRunException(call.step(), call.peer(), "interrupted while connecting to " + call.address(),
					ex);
		}
	}

	@SuppressWarnings({ "unchecked", "rawtypes" })
	private Future<? extends Connection<?>> openConnection(SocketAddress address) {
		return (Future) this.connector.connect(address);
	}

	@SuppressWarnings({ "unchecked", "rawtypes" })
	private Future<? extends Connection<?>> takePooledConnection(SocketAddress address) {
		return (Future) this.pool.take(Endpoint.Factory.create(address, this.connector));
	}

	private static HttpContent encode(HttpCall call) {
		HttpRequestPacket.Builder builder = HttpRequestPacket.builder()
			.method(call.method())
			.uri(call.path())
			.protocol("HTTP/1.1")
			.host(call.address().toString())
			.contentLength(call.body().length);
		for (Map.Entry<String, String> header : call.headers().entrySet()) {
			builder.header(header.getKey(), header.getValue());
		}
		return HttpContent.builder(builder.build()).content(Buffers.wrap(null, call.body())).last(true).build();
	}

	private static OutcomeUnknownException outcomeUnknown(HttpCall call, String message, Throwable cause) {
		return new OutcomeUnknownException(call.step(), call.peer(), message, cause);
	}

	@Override
	public void close() {
		this.pool.close();
		try {
			this.transport.shutdownNow();
		}
		catch (IOException ex) {
			// Ignored: the sockets are closed at the latest when the process exits.
		}
	}

}
