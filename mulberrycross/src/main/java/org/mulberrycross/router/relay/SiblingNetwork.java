package org.mulberrycross.router.relay;

import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.mulberrycross.Address;
import org.mulberrycross.ControlThread;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.sibling.ConfigurationClient;
import org.mulberrycross.sibling.ConfigurationReply;
import org.mulberrycross.sibling.ConfigurationSource;
import org.mulberrycross.sibling.ReachClient;
import org.mulberrycross.sibling.Sibling;
import org.mulberrycross.sibling.SiblingCalls;
import org.mulberrycross.sibling.SiblingClient;
import org.mulberrycross.sibling.SiblingDirectory;
import org.mulberrycross.sibling.WorkLedger;
import org.mulberrycross.sibling.http.ConfigurationHandler;
import org.mulberrycross.sibling.http.HttpConfigurationClient;
import org.mulberrycross.sibling.http.HttpReachClient;
import org.mulberrycross.sibling.http.HttpSiblingClient;
import org.mulberrycross.sibling.http.HttpWorkClient;
import org.mulberrycross.sibling.http.RelayedRequests;
import org.mulberrycross.sibling.http.SharesHandler;
import org.mulberrycross.sibling.http.SiblingServer;
import org.mulberrycross.sibling.http.WorkHandler;

/**
 * The connections of a daemon to the other daemons: the server for their messages, the
 * client for its own, and the known siblings. Thread-safe.
 */
final class SiblingNetwork implements AutoCloseable {

	private static final Duration LIMIT_CALL_TIMEOUT = Duration.ofMillis(400);

	private static final int LIMIT_CALL_THREADS = 3;

	private static final int MAX_QUEUED_LIMIT_CALLS = 64;

	/** Hundreds of round trips; a sibling that takes longer does not help a caller. */
	private static final Duration REACH_CALL_TIMEOUT = Duration.ofMillis(300);

	/** Siblings that do not reply hold up the question to others. */
	private static final int REACH_CALL_THREADS = 4;

	private static final int MAX_QUEUED_REACH_CALLS = 32;

	/** Several times the round trip between two data centres, for a large object. */
	private static final Duration CONFIGURATION_CALL_TIMEOUT = Duration.ofMillis(400);

	/** Half of the queries of a round, so that two timeouts end before the hold does. */
	private static final int CONFIGURATION_CALL_THREADS = ConfigurationSync.MAX_ASKED / 2;

	private final SiblingDirectory directory;

	private final SiblingServer server;

	private final HttpClient client;

	/** The calls that share limits, empty until they are shared. */
	private Optional<SiblingCalls> limitCalls = Optional.empty();

	/** The questions whether siblings reach the upstreams, empty until they are asked. */
	private Optional<SiblingCalls> reachCalls = Optional.empty();

	/** The queries for the newest configuration, empty until they are asked. */
	private Optional<SiblingCalls> configurationCalls = Optional.empty();

	private Runnable sharingStarter = () -> {
	};

	/** Told of the listed daemons. Set before the first list is read. */
	private Consumer<List<Sibling>> siblingsListener = (siblings) -> {
	};

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

	// Lets daemons that reach no upstream pass requests on to those that do. Their
	// requests are answered once the server starts.
	void relayRequests(ControlThread controlThread, RelayControl relayControl) {
		SiblingCalls calls = new SiblingCalls(controlThread, REACH_CALL_THREADS, MAX_QUEUED_REACH_CALLS);
		ReachClient reachClient = new HttpReachClient(this.client, REACH_CALL_TIMEOUT);
		relayControl.useSiblings(this.directory::siblings, (sibling, onReply) -> calls
			.start(() -> reachClient.reachesUpstreams(sibling.address()), onReply, () -> onReply.accept(false)));
		RelayedRequests.register(this.server, relayControl::servesSiblings, relayControl::acceptRelayed);
		this.reachCalls = Optional.of(calls);
	}

	// Returns how siblings are asked for the newest configuration.
	ConfigurationSync.SiblingQuery queryConfigurations(ControlThread controlThread,
			ObjectDecoder<ServingConfiguration> decoder) {
		SiblingCalls calls = new SiblingCalls(controlThread, CONFIGURATION_CALL_THREADS, ConfigurationSync.MAX_ASKED);
		this.configurationCalls = Optional.of(calls);
		ConfigurationClient configurationClient = new HttpConfigurationClient(this.client, self().name(),
				CONFIGURATION_CALL_TIMEOUT);
		return (sibling, version, onAnswer, onFailure) -> calls.start(() -> {
			ConfigurationReply reply = configurationClient.request(sibling, version);
			return new ConfigurationSync.SiblingAnswer(
					reply.newer().flatMap((change) -> KnownConfiguration.decode(change, decoder)), reply.restoredAgo());
		}, onAnswer, onFailure);
	}

	// Answers the queries of siblings for the newest configuration once the server
	// starts.
	void answerConfigurationQueries(ConfigurationSource source, Consumer<String> unknownSenderListener) {
		new ConfigurationHandler(this.directory, source, unknownSenderListener).register(this.server);
	}

	// Shares the limits of upstreams with the other daemons. Their requests are answered
	// once the server starts.
	void shareLimits(ControlThread controlThread, UpstreamLimits limits, MonotonicClock clock) {
		SiblingCalls calls = new SiblingCalls(controlThread, LIMIT_CALL_THREADS, MAX_QUEUED_LIMIT_CALLS);
		SiblingClient siblingClient = new HttpSiblingClient(this.client, LIMIT_CALL_TIMEOUT);
		LimitSharing sharing = new LimitSharing(self(), limits,
				(address, request, onReply, onFailure) -> calls
					.start(() -> siblingClient.requestShares(address, request), onReply, onFailure),
				clock, new SplittableRandom(new SecureRandom().nextLong()));
		new SharesHandler((name) -> this.directory.find(name).isPresent(),
				(request, onReply) -> controlThread.post(() -> onReply.accept(sharing.answer(request))))
			.register(this.server);
		this.sharingStarter = () -> {
			controlThread.scheduleWithFixedDelay(LimitSharing.SHARE_PERIOD, sharing::exchangeShares);
			controlThread.scheduleWithFixedDelay(LimitSharing.MEMBERSHIP_PERIOD, sharing::updateMembership);
		};
		this.limitCalls = Optional.of(calls);
		this.siblingsListener = (siblings) -> controlThread.post(() -> sharing.update(siblings));
	}

	void update(int daemonCount, List<Sibling> siblings) {
		this.directory.update(siblings, daemonCount);
		this.siblingsListener.accept(siblings);
	}

	void start() throws IOException {
		this.server.start();
		this.sharingStarter.run();
	}

	@Override
	public void close() {
		this.limitCalls.ifPresent(SiblingCalls::close);
		this.reachCalls.ifPresent(SiblingCalls::close);
		this.configurationCalls.ifPresent(SiblingCalls::close);
		this.server.close();
		this.client.close();
	}

}
