package org.mulberrycross.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.util.HttpStatus;
import org.glassfish.grizzly.nio.NIOConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * State of one client connection: the request being read and the response being written.
 * Once the connection closes, no request is taken any more: its client could not be
 * answered. Thread-safe; all state is guarded by this object.
 */
final class RelayServerConnection {

	private static final Logger logger = LoggerFactory.getLogger(RelayServerConnection.class);

	private static final byte[] NO_BODY = {};

	private static final Runnable NO_ACTION = () -> {
	};

	/** Maximum number of requests of a client that wait for the responses before them. */
	private static final int MAX_WAITING_REQUESTS = 64;

	/**
	 * Maximum time from the end of the output to the close. The client has read the end
	 * of its response by then, even if segments are sent again.
	 */
	private static final Duration MAX_CLOSE_TIME = Duration.ofSeconds(1);

	private final Connection<?> connection;

	private final RelayHandler handler;

	/** Size of a request body at which the connection is closed. */
	private final int maxBodyBytes;

	/** Whether connections are to be closed after their current response. */
	private final BooleanSupplier draining;

	private ByteArrayOutputStream requestBody = new ByteArrayOutputStream(0);

	/** Response in progress, or null if the last request has been answered. */
	private RelayServerResponse currentResponse;

	/**
	 * Requests that arrived while a response was under way, in order. A client may send
	 * one as soon as it has the last byte of the response, before it is marked as ended.
	 */
	private final Deque<NextRequest> nextRequests = new ArrayDeque<>();

	/** Whether no request is taken any more, since the connection closes or is closed. */
	private boolean closing;

	/** Number of bytes that waited to be written at the last check of a slow client. */
	private int lastQueuedBytes;

	/** Number of ended responses whose last byte has not been passed to the socket. */
	private int pendingFlushes;

	/**
	 * Whether no request is read any more, since the last one was broken or too many
	 * wait.
	 */
	private boolean broken;

	/**
	 * Sends 100 Continue for the request being read, once the response under way has
	 * ended.
	 */
	private Optional<Runnable> pendingContinue = Optional.empty();

	/** Whether the first bytes of the next request have arrived. */
	private boolean requestStarted;

	/** The {@link System#nanoTime()} at which the request or idle timeout started. */
	private long timeoutStartNanos = System.nanoTime();

	RelayServerConnection(Connection<?> connection, RelayHandler handler, int maxBodyBytes, BooleanSupplier draining) {
		this.connection = connection;
		this.handler = handler;
		this.maxBodyBytes = maxBodyBytes;
		this.draining = draining;
	}

	// Records the arrival of bytes. Returns false if they are to be discarded, since the
	// connection closes.
	synchronized boolean markRequestStarted() {
		if (!this.closing && !this.requestStarted) {
			this.requestStarted = true;
			this.timeoutStartNanos = System.nanoTime();
		}
		return !this.closing;
	}

	void handleContent(FilterChainContext context, HttpContent content) throws IOException {
		// Grizzly marks a broken body as the last part of its request.
		if (HttpContent.isBroken(content)) {
			return;
		}
		HttpRequestPacket packet = (HttpRequestPacket) content.getHttpHeader();
		sendContinueIfExpected(context, packet);
		RelayRequest request;
		RelayServerResponse response;
		synchronized (this) {
			if (this.closing || this.broken) {
				return;
			}
			if (content.getContent() != null && content.getContent().hasRemaining()) {
				if (content.getContent().remaining() > this.maxBodyBytes - this.requestBody.size()) {
					refuseBody();
					return;
				}
				byte[] data = new byte[content.getContent().remaining()];
				content.getContent().get(data);
				this.requestBody.writeBytes(data);
			}
			if (!content.isLast()) {
				return;
			}
			byte[] completeBody = (this.requestBody.size() > 0) ? this.requestBody.toByteArray() : NO_BODY;
			this.requestBody = new ByteArrayOutputStream(0);
			this.requestStarted = false;
			this.pendingContinue = Optional.empty();
			request = new RelayRequest(packet.getMethod().getMethodString(), requestTarget(packet),
					Headers.copyOf(packet.getHeaders()), completeBody);
			response = new RelayServerResponse(this, this.connection, packet, context.copy());
			if (this.currentResponse != null) {
				queue(new NextRequest(request, response));
				return;
			}
			this.currentResponse = response;
		}
		if (!this.connection.isOpen()) {
			logEvent("request taken on a closed connection", response);
		}
		this.handler.handle(request, response);
	}

	// Such events end a request without an answer, and tell why its connection closed.
	private void logEvent(String message, RelayServerResponse affected) {
		logger.atWarn()
			.addKeyValue("client", this.connection.getPeerAddress())
			.addKeyValue("target", requestTarget(affected.request()))
			.addKeyValue("draining", this.draining.getAsBoolean())
			.log(message);
	}

	// Keeps a request until the responses before it have ended. A client that pipelines
	// too many is answered up to the limit, and told that its connection closes.
	private void queue(NextRequest queued) {
		if (this.nextRequests.size() == MAX_WAITING_REQUESTS) {
			this.broken = true;
			return;
		}
		this.nextRequests.add(queued);
	}

	// Returns the next request, whose response becomes the one in progress.
	private Optional<NextRequest> takeNextRequest() {
		Optional<NextRequest> next = Optional.ofNullable(this.nextRequests.poll());
		next.ifPresent((present) -> this.currentResponse = present.response());
		return next;
	}

	// Takes no more of a request whose body is too long. The response under way is sent.
	private void refuseBody() {
		this.requestBody = new ByteArrayOutputStream(0);
		this.broken = true;
		if (this.currentResponse == null) {
			close();
		}
	}

	// Closes the connection once what is queued has been written. Bytes that the client
	// has sent and that are not read reset it, which tells that they were not read.
	private void close() {
		this.closing = true;
		this.nextRequests.clear();
		this.connection.closeSilently();
	}

	// Ends the output and discards what the client still sends, until it closes the
	// connection too. Closing a socket with unread bytes resets the connection, and the
	// client could lose the end of its response. Called once everything is sent.
	private void closeAfterInput() {
		this.closing = true;
		this.timeoutStartNanos = System.nanoTime();
		try {
			((SocketChannel) ((NIOConnection) this.connection).getChannel()).shutdownOutput();
		}
		catch (IOException ex) {
			this.connection.closeSilently();
		}
	}

	/**
	 * Closes the connection once the response under way has ended.
	 * @return false if no response is under way and the connection does not close yet
	 */
	synchronized boolean closeAfterResponse() {
		this.broken = true;
		return this.currentResponse != null || this.closing;
	}

	private void sendContinueIfExpected(FilterChainContext context, HttpRequestPacket packet) {
		if (!packet.requiresAcknowledgement()) {
			return;
		}
		synchronized (this) {
			if (this.closing) {
				return;
			}
			if (this.currentResponse != null) {
				FilterChainContext laterContext = context.copy();
				this.pendingContinue = Optional.of(() -> sendContinue(laterContext, packet));
				return;
			}
		}
		sendContinue(context, packet);
	}

	private Optional<Runnable> takePendingContinue() {
		Optional<Runnable> pending = this.pendingContinue;
		this.pendingContinue = Optional.empty();
		return pending;
	}

	private static void sendContinue(FilterChainContext context, HttpRequestPacket packet) {
		HttpResponsePacket response = packet.getResponse();
		response.setStatus(HttpStatus.CONINTUE_100);
		response.setAcknowledgement(true);
		context.write(response);
		response.setAcknowledgement(false);
	}

	private static String requestTarget(HttpRequestPacket packet) {
		String query = packet.getQueryString();
		return (query != null) ? packet.getRequestURI() + "?" + query : packet.getRequestURI();
	}

	// Handles the end of the connection, by either side.
	void handleClose(boolean closedHere) {
		Runnable disconnectAction;
		synchronized (this) {
			this.closing = true;
			this.pendingFlushes = 0;
			this.nextRequests.clear();
			if (this.currentResponse == null) {
				return;
			}
			if (closedHere) {
				logEvent("connection closed here before its response was complete", this.currentResponse);
			}
			disconnectAction = this.currentResponse.markDisconnected();
			this.currentResponse = null;
		}
		disconnectAction.run();
	}

	// Returns whether a response, or the last part of one, is not sent yet.
	synchronized boolean isAnswering() {
		return this.currentResponse != null || this.pendingFlushes > 0;
	}

	synchronized void closeIfTimedOut(long nowNanos, Duration requestTimeout, Duration idleTimeout) {
		if (this.currentResponse != null) {
			return;
		}
		if (this.pendingFlushes > 0) {
			terminateIfStalled(nowNanos, idleTimeout);
		}
		else if (this.closing) {
			closeIfOlder(nowNanos, MAX_CLOSE_TIME);
		}
		else if (this.requestStarted) {
			closeIfOlder(nowNanos, requestTimeout);
		}
		else {
			closeIfIdle(nowNanos, idleTimeout);
		}
	}

	// Gives up a client that has read nothing of its response for a time. An orderly
	// close would wait for it.
	private void terminateIfStalled(long nowNanos, Duration timeout) {
		int queuedBytes = ((NIOConnection) this.connection).getAsyncWriteQueue().spaceInBytes();
		if (queuedBytes != this.lastQueuedBytes) {
			this.lastQueuedBytes = queuedBytes;
			this.timeoutStartNanos = nowNanos;
		}
		else if (nowNanos - this.timeoutStartNanos > timeout.toNanos()) {
			this.closing = true;
			this.connection.terminateSilently();
		}
	}

	private void closeIfOlder(long nowNanos, Duration timeout) {
		if (nowNanos - this.timeoutStartNanos > timeout.toNanos()) {
			close();
		}
	}

	// Closes a connection on which nothing was sent or received for a time.
	synchronized void closeIfIdle(long nowNanos, Duration minIdleTime) {
		if (!this.closing && !isAnswering() && !this.requestStarted
				&& nowNanos - this.timeoutStartNanos >= minIdleTime.toNanos()) {
			close();
		}
	}

	private synchronized void handleFlushed() {
		this.pendingFlushes = Math.max(0, this.pendingFlushes - 1);
		if (this.pendingFlushes > 0) {
			return;
		}
		if (this.closing) {
			closeAfterInput();
		}
		else if (!this.requestStarted) {
			this.timeoutStartNanos = System.nanoTime();
		}
	}

	private void closeAfterFlush() {
		this.closing = true;
		this.nextRequests.clear();
		if (this.pendingFlushes == 0) {
			closeAfterInput();
		}
	}

	// Returns whether the head of a response has to announce that the connection closes.
	// A client that has sent its next request already is answered first.
	synchronized boolean mustAnnounceClose() {
		return (this.draining.getAsBoolean() || this.broken) && this.nextRequests.isEmpty();
	}

	// Ends the response in progress, whose last part has been written. The connection
	// closes if the client was told so. Returns an action that passes the next request
	// on, to be run without holding the lock.
	synchronized Runnable endResponse(RelayServerResponse response) {
		this.currentResponse = null;
		this.timeoutStartNanos = System.nanoTime();
		this.pendingFlushes++;
		response.flush(new FlushHandler());
		if (!response.isKeepAlive() || (this.broken && this.nextRequests.isEmpty())) {
			closeAfterFlush();
			return NO_ACTION;
		}
		response.notifyComplete();
		Optional<NextRequest> next = takeNextRequest();
		// The next response uses the same packet as this interim one, and may not start
		// before it is written.
		if (next.isEmpty()) {
			takePendingContinue().ifPresent(Runnable::run);
		}
		return next.<Runnable>map((queued) -> () -> this.handler.handle(queued.request(), queued.response()))
			.orElse(NO_ACTION);
	}

	// Ends the response in progress before it is complete. The connection is terminated
	// next, so that no request is taken on it.
	synchronized void abortResponse() {
		this.currentResponse = null;
		this.closing = true;
		this.nextRequests.clear();
	}

	/** Notes that all of a response has been passed to the socket. */
	private final class FlushHandler extends EmptyCompletionHandler<Object> {

		@Override
		public void completed(Object result) {
			handleFlushed();
		}

	}

	/** A request that waits for the end of the responses before it. */
	private record NextRequest(RelayRequest request, RelayServerResponse response) {

	}

}
