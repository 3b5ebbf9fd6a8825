package org.mulberrycross.http;

import java.time.Duration;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * Counts the exchanges of a server that have not ended, so that a graceful shutdown can
 * wait for them. While the server drains, every response asks the client to close its
 * connection. Thread-safe.
 */
final class ExchangeCounter {

	private int open;

	private volatile boolean draining;

	/**
	 * Wraps a handler so that its exchanges are counted.
	 * @param handler the handler, not null
	 * @return the counted handler
	 */
	HttpHandler counted(HttpHandler handler) {
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
				begin();
				request.addAfterServiceListener((ended) -> end());
				if (ExchangeCounter.this.draining) {
					response.setHeader("Connection", "close");
				}
				handler.service(request, response);
			}

		};
	}

	void drain() {
		this.draining = true;
	}

	/**
	 * Waits until no exchange is open.
	 * @param timeout the longest wait, positive
	 * @return false if the timeout passed
	 * @throws InterruptedException if the thread is interrupted while it waits
	 */
	synchronized boolean awaitNone(Duration timeout) throws InterruptedException {
		long deadline = System.nanoTime() + timeout.toNanos();
		while (this.open > 0) {
			long millis = (deadline - System.nanoTime()) / 1_000_000;
			if (millis <= 0) {
				return false;
			}
			wait(millis);
		}
		return true;
	}

	private synchronized void begin() {
		this.open++;
	}

	private synchronized void end() {
		this.open--;
		notifyAll();
	}

}
