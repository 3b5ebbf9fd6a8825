package org.mulberrycross.router.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mulberrycross.engine.RequestTokens;

/**
 * Load that the requests of this daemon put on each upstream. Confined to the control
 * thread; not thread-safe.
 */
final class UpstreamLoad {

	private final Map<String, InstanceLoad> loads = new HashMap<>();

	void add(List<String> ids, RequestTokens tokens) {
		ids.forEach(
				(id) -> this.loads.merge(id, new InstanceLoad(1, tokens.total(), tokens.prompt()), InstanceLoad::plus));
	}

	// Subtracts the prompt tokens of a request from the pending prefill of its upstreams.
	void completePrefill(List<String> ids, RequestTokens tokens) {
		ids.forEach((id) -> this.loads.computeIfPresent(id,
				(key, load) -> load.plus(new InstanceLoad(0, 0, -tokens.prompt()))));
	}

	void remove(List<String> ids, RequestTokens tokens) {
		ids.forEach((id) -> this.loads.computeIfPresent(id, (key, load) -> {
			InstanceLoad reduced = load.plus(new InstanceLoad(-1, -tokens.total(), 0));
			return (reduced.requests() > 0) ? reduced : null;
		}));
	}

	int requests(String id) {
		return load(id).requests();
	}

	// Returns the tokens that the requests at an upstream will hold when they complete.
	double tokens(String id) {
		return load(id).tokens();
	}

	// Returns the prompt tokens whose prefill is pending at an upstream.
	double pendingPromptTokens(String id) {
		return load(id).pendingPromptTokens();
	}

	private InstanceLoad load(String id) {
		return this.loads.getOrDefault(id, InstanceLoad.NONE);
	}

	/**
	 * The number of requests at one upstream, the tokens that they will hold when they
	 * complete, and the prompt tokens whose prefill is pending.
	 */
	private record InstanceLoad(int requests, double tokens, double pendingPromptTokens) {

		private static final InstanceLoad NONE = new InstanceLoad(0, 0, 0);

		InstanceLoad plus(InstanceLoad other) {
			return new InstanceLoad(this.requests + other.requests, this.tokens + other.tokens,
					this.pendingPromptTokens + other.pendingPromptTokens);
		}

	}

}
