package org.mulberrycross.caller.http;

import java.io.IOException;

import org.glassfish.grizzly.http.server.Response;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.NotRunException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.caller.CallerAnswer;
import org.mulberrycross.caller.CallerRequest;
import org.mulberrycross.http.HttpMessages;

/**
 * Sends an answer through a suspended HTTP response, which is resumed at the end. Not
 * thread-safe; used by one thread at a time.
 */
abstract class HttpAnswer implements CallerAnswer {

	private static final Logger logger = LoggerFactory.getLogger(HttpAnswer.class);

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int BAD_GATEWAY = 502;

	private final Response response;

	private final CallerRequest request;

	HttpAnswer(Response response, CallerRequest request) {
		this.response = response;
		this.request = request;
	}

	Response response() {
		return this.response;
	}

	CallerRequest request() {
		return this.request;
	}

	PeerException connectionFailure(IOException cause) {
		return new PeerException(Step.WRITE_ANSWER, new Peer(Peer.Kind.CALLER, this.request.team()),
				"the connection to the caller failed", cause);
	}

	@Override
	public void fail(PeerException error) {
		try {
			if (this.response.isCommitted()) {
				failCommitted(error);
			}
			else {
				failUncommitted(error);
			}
		}
		catch (IOException ex) {
			logger.debug("request {}: failed to send the error to the caller", this.request.id(), ex);
		}
		finally {
			resume();
		}
	}

	/**
	 * Ends a committed response so that the caller can tell that it is incomplete.
	 * @param error the error to report to the caller
	 * @throws IOException if the connection fails
	 */
	abstract void failCommitted(PeerException error) throws IOException;

	void resume() {
		if (this.response.isSuspended()) {
			this.response.resume();
		}
	}

	private void failUncommitted(PeerException error) throws IOException {
		boolean notRun = error instanceof NotRunException;
		if (notRun) {
			((NotRunException) error).retryAfter()
				.ifPresent((retryAfter) -> this.response.setHeader("Retry-After",
						Long.toString(Math.max(1, retryAfter.toSeconds()))));
		}
		HttpMessages.writeJson(this.response, notRun ? SERVICE_UNAVAILABLE : BAD_GATEWAY,
				ErrorBody.of(notRun ? "not_run" : "failed", error));
	}

}
