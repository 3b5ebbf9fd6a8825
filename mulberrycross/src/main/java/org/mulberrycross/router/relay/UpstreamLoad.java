package org.mulberrycross.router.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests of this daemon that are at upstreams. Owned by the control thread; not
 * thread-safe.
 */
final class UpstreamLoad {

	private final Map<String, Use> uses = new HashMap<>();

	void add(List<String> ids, double tokens) {
		ids.forEach((id) -> this.uses.merge(id, new Use(1, tokens), Use::plus));
	}

	void remove(List<String> ids, double tokens) {
		ids.forEach((id) -> this.uses.computeIfPresent(id, (key, use) -> {
			Use left = use.plus(new Use(-1, -tokens));
			return (left.requests() > 0) ? left : null;
		}));
	}

	int requests(String id) {
		Use use = this.uses.get(id);
		return (use != null) ? use.requests() : 0;
	}

	double tokens(String id) {
		Use use = this.uses.get(id);
		return (use != null) ? use.tokens() : 0;
	}

	/**
	 * The requests at one upstream and the tokens that they hold at their end.
	 */
	private record Use(int requests, double tokens) {

		Use plus(Use other) {
			return new Use(this.requests + other.requests, this.tokens + other.tokens);
		}

	}

}
