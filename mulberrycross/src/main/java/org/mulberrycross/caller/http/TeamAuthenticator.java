package org.mulberrycross.caller.http;

import java.util.Objects;
import java.util.function.Supplier;

import org.apache.commons.codec.digest.DigestUtils;
import org.glassfish.grizzly.http.server.Request;

import org.mulberrycross.Step;
import org.mulberrycross.operator.Configuration;
import org.mulberrycross.operator.TeamObject;

/**
 * Finds the team of a request by its bearer key. Thread-safe.
 */
final class TeamAuthenticator {

	private static final String BEARER = "Bearer ";

	private final Supplier<Configuration> configuration;

	TeamAuthenticator(Supplier<Configuration> configuration) {
		this.configuration = Objects.requireNonNull(configuration, "configuration");
	}

	TeamObject authenticate(Request request) throws RequestFault {
		String header = request.getHeader("Authorization");
		if (header == null || !header.startsWith(BEARER)) {
			throw new RequestFault(Step.AUTHENTICATE, 401, "missing_key",
					"the Authorization header with a bearer key is missing");
		}
		if (this.configuration.get().generation() == 0) {
			throw new RequestFault(Step.AUTHENTICATE, 503, "not_ready", "the daemon has no configuration yet");
		}
		String hash = DigestUtils.sha256Hex(header.substring(BEARER.length()).trim());
		return this.configuration.get()
			.teamByKeyHash(hash)
			.orElseThrow(() -> new RequestFault(Step.AUTHENTICATE, 401, "wrong_key", "the key belongs to no team"));
	}

}
