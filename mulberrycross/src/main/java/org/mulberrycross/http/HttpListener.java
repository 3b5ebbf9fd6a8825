package org.mulberrycross.http;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

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
	 * Bound on the bytes that wait to be written to one connection. A peer that stops
	 * reading fails its own exchange when the bound is reached.
	 */
	private static final int MAX_PENDING_BYTES = 1 << 20;

	private final HttpServer server = new HttpServer();

	private final NetworkListener listener;

	private final ExchangeCounter exchanges = new ExchangeCounter();

	private final PathDispatcher dispatcher = new PathDispatcher();

	private final CountDownLatch closed = new CountDownLatch(1);

	/**
	 * Creates a server that does not listen yet.
	 * @param host the IP address to listen on, not null
	 * @param port the port, or 0 for any free port
	 * @param workers the number of worker threads, at least 1
	 */
	public HttpListener(String host, int port, int workers) {
		this.listener = new NetworkListener("http", host, port);
		this.listener.setMaxPendingBytes(MAX_PENDING_BYTES);
		this.listener.getKeepAlive().setMaxRequestsCount(-1);
		this.listener.getTransport()
			.setWorkerThreadPoolConfig(ThreadPoolConfig.defaultConfig()
				.setPoolName("http-worker")
				.setCorePoolSize(workers)
				.setMaxPoolSize(workers));
		this.listener.getTransport().setTcpNoDelay(true);
		this.server.addListener(this.listener);
	}

	/**
	 * Adds a handler.
	 * @param handler the handler, not null
	 * @param paths the paths that it serves, such as {@code /v1/step}; one that ends in
	 * {@code /*} stands for all paths below it
	 */
	public void route(HttpHandler handler, String... paths) {
		for (String path : paths) {
			this.dispatcher.add(path, handler);
		}
	}

	/**
	 * Starts to listen.
	 * @throws IOException if the address cannot be bound
	 */
	public void start() throws IOException {
		this.server.getServerConfiguration().addHttpHandler(this.exchanges.counted(this.dispatcher), "/");
		this.server.start();
	}

	/**
	 * Returns the port in use.
	 * @return the port; the bound one after the start
	 */
	public int port() {
		return this.listener.getPort();
	}

	/**
	 * Shuts down without cutting off an exchange: goes on accepting for a grace period,
	 * then accepts no new connections, and returns when the last exchange has ended.
	 * Responses ask clients to close their connections meanwhile.
	 * @param grace the time for which new connections are still accepted, since a load
	 * balancer notices a failed readiness check late; not negative
	 * @param timeout the longest wait for exchanges after that, positive
	 * @return false if exchanges were still open after the timeout
	 * @throws InterruptedException if the thread is interrupted while it waits
	 */
	public boolean drain(Duration grace, Duration timeout) throws InterruptedException {
		this.exchanges.drain();
		TimeUnit.NANOSECONDS.sleep(grace.toNanos());
		this.listener.getTransport().unbindAll();
		return this.exchanges.awaitNone(timeout);
	}

	/**
	 * Waits until this server is closed.
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
