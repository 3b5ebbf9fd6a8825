package org.mulberrycross.router.relay;

import java.util.ArrayList;
import java.util.List;

import org.mulberrycross.http.ResponseHead;
import org.mulberrycross.http.ResponseWriter;

/**
 * Records what is written to a client that stays connected. Not thread-safe.
 */
final class RecordingWriter implements ResponseWriter {

	private final List<String> written = new ArrayList<>();

	List<String> written() {
		return this.written;
	}

	@Override
	public void setHead(ResponseHead head) {
		this.written.add("start " + head.status());
	}

	@Override
	public void write(byte[] part) {
		this.written.add("write");
	}

	@Override
	public void end() {
		this.written.add("end");
	}

	@Override
	public void abort() {
		this.written.add("abort");
	}

	@Override
	public void onDisconnect(Runnable action) {
		// The client never disconnects.
	}

}
