package org.mulberrycross.http;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;

import org.glassfish.grizzly.Connection;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against replies that fill the memory while they wait for their reader, and
 * against ends that look complete.
 */
class ReplyBodyTest {

	private static final int PART_BYTES = ReplyBody.PAUSE_BYTES / 4;

	private final List<String> events = new ArrayList<>();

	private final ReplyBody body = new ReplyBody(1 << 20, System.nanoTime());

	private final Connection<?> connection = (Connection<?>) Proxy.newProxyInstance(getClass().getClassLoader(),
			new Class<?>[] { Connection.class }, (proxy, method, arguments) -> {
				this.events.add(method.getName());
				return null;
			});

	private void add(int parts) {
		for (int i = 0; i < parts; i++) {
			this.body.add(this.connection, new byte[PART_BYTES]);
		}
	}

	/** Fails if a peer that sends faster than its reader reads is not held back. */
	@Test
	void pausesConnectionWhileReaderIsBehind() throws IOException {
		add(3);
		assertThat(this.events).isEmpty();
		add(2);
		assertThat(this.events).containsExactly("disableIOEvent");
		this.body.readNBytes(2 * PART_BYTES);
		assertThat(this.events).containsExactly("disableIOEvent");
		this.body.readNBytes(2 * PART_BYTES);
		assertThat(this.events).containsExactly("disableIOEvent", "enableIOEvent").inOrder();
	}

	/** Fails if a reader waits for good, or takes what it has for the whole. */
	@Test
	void failsAfterLostConnection() {
		add(1);
		this.body.fail(new IncompleteReplyException("closed", null));
		this.body.end();
		assertThrows(IncompleteReplyException.class, this.body::readAllBytes);
	}

	/** Fails if a reply that goes silent holds its reader. */
	@Test
	void failsSilentReply() {
		add(1);
		assertThrows(IncompleteReplyException.class, this.body::readAllBytes);
	}

	/** Fails if a reply without end is passed on without end. */
	@Test
	void failsReplyThatIsTooLong() {
		add(17);
		assertThrows(ReplyTooLongException.class, this.body::readAllBytes);
	}

	/** Fails if the end of a reply is taken for a loss, or its bytes change. */
	@Test
	void readsWholeReply() throws IOException {
		this.body.add(this.connection, new byte[] { 1, -1 });
		this.body.add(this.connection, new byte[] { 3 });
		this.body.end();
		assertThat(this.body.read()).isEqualTo(1);
		assertThat(this.body.readAllBytes()).isEqualTo(new byte[] { -1, 3 });
		assertThat(this.body.read()).isEqualTo(-1);
	}

}
