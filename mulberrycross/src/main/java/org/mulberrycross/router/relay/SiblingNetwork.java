package org.mulberrycross.router.relay;

import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.mulberrycross.Address;
import org.mulberrycross.ControlThread;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.sibling.Sibling;
import org.mulberrycross.sibling.SiblingDirectory;
import org.mulberrycross.sibling.WorkLedger;
import org.mulberrycross.sibling.http.HttpWorkClient;
import org.mulberrycross.sibling.http.SiblingServer;
import org.mulberrycross.sibling.http.WorkHandler;

/**
 * The connections of a daemon to the other daemons: the server for their messages, the
 * client for its own, and the known siblings. Thread-safe.
 */
final class SiblingNetwork implements AutoCloseable {

	private final SiblingDirectory directory;

	private final SiblingServer server;

	private final HttpClient client;

	private SiblingNetwork(Sibling self, int minDaemons) throws IOException {
		this.directory = new SiblingDirectory(self, minDaemons);
		this.server = new SiblingServer(self.address());
		this.client = new HttpClient(1);
	}

	// Returns empty if the settings contain no address for messages between daemons.
	static Optional<SiblingNetwork> create(RelaySettings settings, long startMillis) throws IOException {
		Objects.requireNonNull(settings, "settings");
		Optional<Address> address = settings.features().siblings().address();
		if (address.isEmpty()) {
			return Optional.empty();
		}
		Sibling self = new Sibling(settings.name(), address.get(), settings.dataCentre(), startMillis);
		return Optional.of(new SiblingNetwork(self, settings.features().siblings().minDaemons()));
	}

	// Returns the known siblings, which also choose the hub.
	SiblingDirectory directory() {
		return this.directory;
	}

	// Returns the server, to register handlers with before it starts.
	SiblingServer server() {
		return this.server;
	}

	HttpClient client() {
		return this.client;
	}

	Sibling self() {
		return this.directory.self();
	}

	// Creates the exchange of load, which answers other daemons once the server starts.
	LoadExchange createLoadExchange(ControlThread controlThread, RelayControl relayControl, RelayMetrics metrics,
			MonotonicClock clock) {
		WorkLedger ledger = new WorkLedger();
		new WorkHandler(this.directory, ledger, clock).register(this.server);
		return new LoadExchange(this.directory, ledger, new HttpWorkClient(this.client, LoadExchange.TIMEOUT),
				controlThread, relayControl, metrics, clock);
	}

	void update(int daemonCount, List<Sibling> siblings) {
		this.directory.update(siblings, daemonCount);
	}

	void start() throws IOException {
		this.server.start();
	}

	@Override
	public void close() {
		this.server.close();
		this.client.close();
	}

}
