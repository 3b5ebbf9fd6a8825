package org.mulberrycross.standins.platform;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.Peer;
import org.mulberrycross.Step;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpListener;
import org.mulberrycross.http.Json;
import org.mulberrycross.platform.Instance;
import org.mulberrycross.platform.http.HttpInstanceList;
import org.mulberrycross.platform.http.InstanceMessages;

import static com.google.common.truth.Truth.assertThat;

class InstanceHandlerTest {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	/**
	 * Fails if an instance is not read back as it was written, or is visible before the
	 * delay of the stand-in has passed.
	 */
	@Test
	void editBecomesVisibleAfterLag() throws Exception {
		AtomicLong nanos = new AtomicLong();
		Instance engine = new Instance("e1", Instance.Role.ENGINE, new Address("127.0.0.1", 9), 5, true);
		try (HttpListener listener = new HttpListener("127.0.0.1", 0, 2); HttpClient client = new HttpClient(1)) {
			listener.route(new InstanceHandler(new InstanceTable(nanos::get, 100)), "/instances", "/instances/*");
			listener.start();
			Address address = new Address("127.0.0.1", listener.port());
			HttpInstanceList list = new HttpInstanceList(client, address, TIMEOUT);
			client.send(new HttpCall(Step.WRITE_OBJECT, new Peer(Peer.Kind.PLATFORM, ""), address, "PUT", "/instances",
					Map.of("Content-Type", "application/json"), Json.encode(InstanceMessages.toItem(engine)), TIMEOUT,
					false));
			assertThat(list.read()).isEmpty();
			nanos.set(Duration.ofMillis(100).toNanos());
			assertThat(list.read()).containsExactly(engine);
		}
	}

	/**
	 * Fails if an instance of an unknown role, for example of a newer platform, makes the
	 * decoding of the list fail.
	 */
	@Test
	void decodesUnknownRoleAsOther() {
		assertThat(InstanceMessages
			.toInstance(new InstanceMessages.Item("x", "cache", "127.0.0.1:9", "live", Optional.empty())))
			.hasValue(new Instance("x", Instance.Role.OTHER, new Address("127.0.0.1", 9), 0, false));
	}

}
