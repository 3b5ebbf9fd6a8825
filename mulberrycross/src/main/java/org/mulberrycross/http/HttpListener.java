package org.mulberrycross.http;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * HTTP server over Grizzly. Handlers run on worker threads, never on selector threads.
 * Thread-safe once started.
 */
public final class HttpListener implements AutoCloseable {

	/**
	 * Maximum number of bytes queued for writing on one connection. The exchange with a
	 * peer that stops reading fails when this limit is reached; others are not affected.
	 */
	private static final int MAX_PENDING_WRITE_BYTES = 1 << 20;

	private final HttpServer server = new HttpServer();

	private final NetworkListener listener;

	private final ExchangeCounter exchangeCounter = new ExchangeCounter();

	private final PathDispatcher dispatcher = new PathDispatcher();

	private final CountDownLatch closed = new CountDownLatch(1);

	/**
	 * Creates a server that does not listen until {@link #start()} is called.
	 * @param host the IP address to listen on, not null
	 * @param port the port, or 0 for any free port
	 * @param workerThreads the number of worker threads, at least 1
	 */
	public HttpListener(String host, int port, int workerThreads) {
		this.listener = new NetworkListener("http", host, port);
		this.listener.setMaxPendingBytes(MAX_PENDING_WRITE_BYTES);
		this.listener.getKeepAlive().setMaxRequestsCount(-1);
		this.listener.getTransport()
			.setWorkerThreadPoolConfig(ThreadPoolConfig.defaultConfig()
				.setPoolName("http-worker")
				.setCorePoolSize(workerThreads)
				.setMaxPoolSize(workerThreads));
		this.listener.getTransport().setTcpNoDelay(true);
		this.listener.registerAddOn((networkListener, filters) -> filters
			.add(filters.indexOfType(HttpServerFilter.class), new RequestFramingFilter(HttpListener::refuse)));
		this.server.addListener(this.listener);
	}

	// A handler may be responding to a request before this one, or to this one before it
	// has read the body, so that a response of status 400 would end up in its response.
	private static void refuse(FilterChainContext context, boolean requestStarted) {
		if (requestStarted) {
			context.getConnection().closeSilently();
			return;
		}
		RequestFramingFilter.sendBadRequest(context);
	}

	/**
	 * Registers a handler.
	 * @param handler the handler, not null
	 * @param paths the paths that it handles, such as {@code /v1/step}; a path that ends
	 * in {@code /*} matches all paths below it, and {@code /} matches every path that no
	 * other handler matches
	 */
	public void route(HttpHandler handler, String... paths) {
		for (String path : paths) {
			this.dispatcher.add(path, handler);
		}
	}

	/**
	 * Binds the address and starts to accept connections.
	 * @throws IOException if the address cannot be bound
	 */
	public void start() throws IOException {
		this.server.getServerConfiguration().addHttpHandler(this.exchangeCounter.wrap(this.dispatcher), "/");
		this.server.start();
	}

	/**
	 * Returns the port.
	 * @return the port that was bound, or the configured one before the start
	 */
	public int port() {
		return this.listener.getPort();
	}

	/**
	 * Shuts down gracefully: accepts connections for a grace period, then stops accepting
	 * and waits until all exchanges have ended. Responses sent meanwhile ask the client
	 * to close its connection.
	 * @param grace how long connections are still accepted, not negative; covers the
	 * delay until a load balancer notices that the readiness check fails
	 * @param timeout the maximum time to wait for exchanges after that, positive
	 * @return false if exchanges were still in flight at the timeout
	 * @throws InterruptedException if the thread is interrupted while it waits
	 */
	public boolean drain(Duration grace, Duration timeout) throws InterruptedException {
		this.exchangeCounter.startDraining();
		TimeUnit.NANOSECONDS.sleep(grace.toNanos());
		this.listener.getTransport().unbindAll();
		return this.exchangeCounter.awaitCompletion(timeout);
	}

	/**
	 * Waits until {@link #close()} is called.
	 * @throws InterruptedException if the thread is interrupted while it waits
	 */
	public void awaitClose() throws InterruptedException {
		this.closed.await();
	}

	@Override
	public void close() {
		this.server.shutdownNow();
		this.closed.countDown();
	}

}
