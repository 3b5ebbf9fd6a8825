package org.mulberrycross.caller.http;

import java.util.Objects;
import java.util.function.Supplier;

import org.apache.commons.codec.digest.DigestUtils;
import org.glassfish.grizzly.http.server.Request;

import org.mulberrycross.Step;
import org.mulberrycross.operator.Configuration;
import org.mulberrycross.operator.TeamObject;

/**
 * Authenticates requests by the API key in their bearer token. The configuration holds
 * only the SHA-256 hashes of keys. Thread-safe.
 */
final class TeamAuthenticator {

	private static final String BEARER_PREFIX = "Bearer ";

	private final Supplier<Configuration> configuration;

	TeamAuthenticator(Supplier<Configuration> configuration) {
		this.configuration = Objects.requireNonNull(configuration, "configuration");
	}

	TeamObject authenticate(Request request) throws RequestRejectedException {
		String header = request.getHeader("Authorization");
		if (header == null || !header.startsWith(BEARER_PREFIX)) {
			throw new RequestRejectedException(Step.AUTHENTICATE, 401, "missing_key",
					"the request has no Authorization header with a bearer token");
		}
		if (this.configuration.get().generation() == 0) {
			throw new RequestRejectedException(Step.AUTHENTICATE, 503, "not_ready",
					"the daemon has not received a configuration yet");
		}
		String keyHash = DigestUtils.sha256Hex(header.substring(BEARER_PREFIX.length()).trim());
		return this.configuration.get()
			.teamByKeyHash(keyHash)
			.orElseThrow(() -> new RequestRejectedException(Step.AUTHENTICATE, 401, "wrong_key",
					"the API key does not belong to any team"));
	}

}
