package org.mulberrycross.sibling.http;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

import org.mulberrycross.http.RelayHandler;
import org.mulberrycross.http.RelayRequest;
import org.mulberrycross.http.ResponseWriter;
import org.mulberrycross.sibling.ConfigurationSource;
import org.mulberrycross.sibling.SiblingDirectory;

/**
 * Serves queries of siblings for the newest configuration on the selector thread, which
 * does not wait for the reply. Queries that cannot be read are answered with status 400,
 * those of daemons that are not listed, or for another daemon, with 403. Thread-safe.
 */
public final class ConfigurationHandler implements RelayHandler {

	private static final int STATUS_BAD_REQUEST = 400;

	private final SiblingDirectory directory;

	private final ConfigurationSource source;

	private final Consumer<String> unknownSenderListener;

	/**
	 * Creates a handler.
	 * @param directory the known siblings, not null
	 * @param source answers the queries, not null
	 * @param unknownSenderListener called with the name of a daemon that is not listed;
	 * must not block, not null
	 */
	public ConfigurationHandler(SiblingDirectory directory, ConfigurationSource source,
			Consumer<String> unknownSenderListener) {
		this.directory = Objects.requireNonNull(directory, "directory");
		this.source = Objects.requireNonNull(source, "source");
		this.unknownSenderListener = Objects.requireNonNull(unknownSenderListener, "unknownSenderListener");
	}

	/**
	 * Registers this handler with a server.
	 * @param server the server, not null
	 */
	public void register(SiblingServer server) {
		server.register(ConfigurationCodec.PATH, this);
	}

	@Override
	public void handle(RelayRequest request, ResponseWriter response) {
		Optional<ConfigurationCodec.Query> query = ConfigurationCodec.decodeQuery(request.target());
		if (query.isEmpty()) {
			SiblingServer.refuse(response, STATUS_BAD_REQUEST, "query is not valid");
			return;
		}
		if (!query.get().receiver().equals(this.directory.self().name())) {
			SiblingServer.refuse(response, ConfigurationCodec.STATUS_FORBIDDEN, "query is meant for another daemon");
			return;
		}
		if (this.directory.find(query.get().sender()).isEmpty()) {
			this.unknownSenderListener.accept(query.get().sender());
			SiblingServer.refuse(response, ConfigurationCodec.STATUS_FORBIDDEN, "sender is not listed");
			return;
		}
		this.source.request(query.get().version(), (reply) -> SiblingServer.respond(response,
				ConfigurationCodec.STATUS_OK, "application/json", ConfigurationCodec.encodeBody(reply)));
	}

}
