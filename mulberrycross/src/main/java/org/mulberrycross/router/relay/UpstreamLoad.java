package org.mulberrycross.router.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mulberrycross.engine.RequestTokens;

/**
 * The requests of this daemon that are at upstreams. Owned by the control thread; not
 * thread-safe.
 */
final class UpstreamLoad {

	private final Map<String, Use> uses = new HashMap<>();

	void add(List<String> ids, RequestTokens tokens) {
		ids.forEach((id) -> this.uses.merge(id, new Use(1, tokens.total(), tokens.prompt()), Use::plus));
	}

	// Notes that a prompt was read.
	void read(List<String> ids, RequestTokens tokens) {
		ids.forEach((id) -> this.uses.computeIfPresent(id, (key, use) -> use.plus(new Use(0, 0, -tokens.prompt()))));
	}

	void remove(List<String> ids, RequestTokens tokens) {
		ids.forEach((id) -> this.uses.computeIfPresent(id, (key, use) -> {
			Use left = use.plus(new Use(-1, -tokens.total(), 0));
			return (left.requests() > 0) ? left : null;
		}));
	}

	int requests(String id) {
		return use(id).requests();
	}

	// Returns the tokens that the requests at an upstream hold at their end.
	double tokens(String id) {
		return use(id).tokens();
	}

	// Returns the prompt tokens that are not read yet.
	double unread(String id) {
		return use(id).unread();
	}

	private Use use(String id) {
		return this.uses.getOrDefault(id, Use.NONE);
	}

	/**
	 * The requests at one upstream, the tokens that they hold at their end, and the
	 * prompt tokens that are not read yet.
	 */
	private record Use(int requests, double tokens, double unread) {

		private static final Use NONE = new Use(0, 0, 0);

		Use plus(Use other) {
			return new Use(this.requests + other.requests, this.tokens + other.tokens, this.unread + other.unread);
		}

	}

}
