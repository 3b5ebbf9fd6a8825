package org.mulberrycross.http;

import java.time.Duration;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * Counts the exchanges in flight, so that a graceful shutdown can wait for them. While
 * the server is draining, every response asks the client to close its connection. This
 * class is thread-safe.
 */
final class ExchangeCounter {

	private int exchangesInFlight;

	private volatile boolean draining;

	/**
	 * Wraps a handler in one that counts its exchanges.
	 * @param handler the handler to wrap, not null
	 * @return the counting handler
	 */
	HttpHandler wrap(HttpHandler handler) {
		return new HttpHandler() {

			@Override
			public void start() {
				handler.start();
			}

			@Override
			public void destroy() {
				handler.destroy();
			}

			@Override
			public void service(Request request, Response response) throws Exception {
				increment();
				request.addAfterServiceListener((finishedRequest) -> decrement());
				if (ExchangeCounter.this.draining) {
					response.setHeader("Connection", "close");
				}
				serviceOrClose(handler, request, response);
			}

		};
	}

	// The server would end a response that has begun as if it were whole.
	private static void serviceOrClose(HttpHandler handler, Request request, Response response) throws Exception {
		try {
			handler.service(request, response);
		}
		catch (Exception ex) {
			if (response.isCommitted()) {
				request.getContext().getConnection().terminateSilently();
			}
			throw ex;
		}
	}

	void startDraining() {
		this.draining = true;
	}

	/**
	 * Waits until no exchange is in flight, including those that start meanwhile.
	 * @param timeout the maximum time to wait, positive
	 * @return false if an exchange was still in flight at the timeout
	 * @throws InterruptedException if the thread is interrupted while it waits
	 */
	synchronized boolean awaitCompletion(Duration timeout) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + timeout.toNanos();
		while (this.exchangesInFlight > 0) {
			long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
			if (remainingMillis <= 0) {
				return false;
			}
			wait(remainingMillis);
		}
		return true;
	}

	private synchronized void increment() {
		this.exchangesInFlight++;
	}

	private synchronized void decrement() {
		this.exchangesInFlight--;
		notifyAll();
	}

}
