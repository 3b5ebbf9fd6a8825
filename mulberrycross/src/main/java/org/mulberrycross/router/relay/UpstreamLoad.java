package org.mulberrycross.router.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mulberrycross.engine.EngineWork;
import org.mulberrycross.engine.RequestTokens;

/**
 * Work that the requests of this daemon put on each upstream. Confined to the control
 * thread; not thread-safe.
 */
final class UpstreamLoad {

	private final Map<String, EngineWork> workById = new HashMap<>();

	void add(List<String> ids, RequestTokens tokens) {
		ids.forEach(
				(id) -> this.workById.merge(id, new EngineWork(1, tokens.total(), tokens.prompt()), EngineWork::plus));
	}

	// Subtracts the prompt tokens of a request from the pending prefill of its upstreams.
	void completePrefill(List<String> ids, RequestTokens tokens) {
		ids.forEach((id) -> this.workById.computeIfPresent(id, (key, work) -> new EngineWork(work.requests(),
				work.tokens(), work.pendingPromptTokens() - tokens.prompt())));
	}

	// Adds tokens that a request holds beyond those that were expected.
	void addTokens(List<String> ids, double tokens) {
		ids.forEach((id) -> this.workById.computeIfPresent(id, (key, work) -> work.plus(new EngineWork(0, tokens, 0))));
	}

	void remove(List<String> ids, RequestTokens tokens) {
		ids.forEach((id) -> this.workById.computeIfPresent(id, (key, work) -> (work.requests() <= 1) ? null
				: new EngineWork(work.requests() - 1, work.tokens() - tokens.total(), work.pendingPromptTokens())));
	}

	// Returns the work of this daemon's requests at an upstream.
	EngineWork at(String id) {
		return this.workById.getOrDefault(id, EngineWork.NONE);
	}

	// Returns the work at all upstreams that have any, by id.
	Map<String, EngineWork> snapshot() {
		return Map.copyOf(this.workById);
	}

}
