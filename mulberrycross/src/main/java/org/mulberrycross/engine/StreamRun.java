package org.mulberrycross.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.mulberrycross.NotRunException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;

/**
 * One stream from its first step to its end, with the recovery of lost stages. Not
 * thread-safe; owned by the thread that runs the stream.
 */
final class StreamRun {

	private final StepwiseRouteRunner runner;

	private final StreamRequest request;

	private final Route route;

	private final StageReplacement replacement;

	private final CoverageLedger ledger;

	private final List<StageProgress> stages = new ArrayList<>();

	private final Set<String> lost = new HashSet<>();

	private int replacements;

	private boolean recovering;

	private long recoveryStart;

	private boolean mayHaveRun;

	StreamRun(StepwiseRouteRunner runner, StreamRequest request, Route route, StageReplacement replacement) {
		this.runner = runner;
		this.request = request;
		this.route = route;
		this.replacement = replacement;
		this.ledger = new CoverageLedger(request.stream(), route.version(), route.layerCount());
		route.stages().forEach((stage) -> this.stages.add(new StageProgress(stage)));
	}

	void run(TokenSink sink) throws PeerException {
		boolean whole = false;
		try {
			long[] tokens = this.request.promptTokens();
			for (int index = 0; index < this.request.maxTokens(); index++) {
				StepReply last = runPositions(tokens);
				this.ledger.emit(index);
				sink.token(index, last.text());
				tokens = last.output();
			}
			whole = true;
		}
		finally {
			if (!whole) {
				this.stages.forEach((progress) -> cancel(progress.stage()));
			}
		}
	}

	private StepReply runPositions(long[] tokens) throws PeerException {
		this.ledger.begin(this.ledger.position(), tokens.length);
		receive(0, tokens);
		StepReply reply = null;
		while (this.ledger.nextLayer() < this.route.layerCount()) {
			reply = runNextStage();
		}
		this.ledger.finish();
		this.recovering = false;
		return reply;
	}

	private StepReply runNextStage() throws PeerException {
		while (true) {
			int index = nextStage();
			StageProgress progress = this.stages.get(index);
			if (progress.ready() != this.ledger.position() && !rebuild(index)) {
				continue;
			}
			Optional<StepReply> reply = step(progress, this.ledger.position(), progress.current());
			if (reply.isPresent()) {
				this.ledger.accept(progress.stage(), reply.get());
				if (index + 1 < this.stages.size()) {
					receive(index + 1, reply.get().output());
				}
				return reply.get();
			}
		}
	}

	private int nextStage() {
		for (int index = 0; index < this.stages.size(); index++) {
			if (this.stages.get(index).stage().layers().first() == this.ledger.nextLayer()) {
				return index;
			}
		}
		throw new IllegalStateException(
				"stream " + this.request.stream() + " has no stage that starts at layer " + this.ledger.nextLayer());
	}

	private void receive(int index, long[] input) {
		this.stages.get(index).current(input);
		retain(index, this.ledger.position(), input);
	}

	private void retain(int index, int position, long[] input) {
		this.stages.get(index).retain(position, input);
		long bytes = 0;
		for (int i = 1; i < this.stages.size(); i++) {
			bytes += this.stages.get(i).retainedBytes();
		}
		for (int i = this.stages.size() - 1; i > 0 && bytes > this.runner.limits().retainedBytes(); i--) {
			bytes -= this.stages.get(i).retainedBytes();
			this.stages.get(i).drop();
		}
	}

	/**
	 * Fills the cache of a stage up to the position in work from the nearest retained
	 * inputs. The stages in between start again under a new attempt.
	 * @param index the index of the stage
	 * @return false if a stage was replaced meanwhile, so that the state must be looked
	 * at again
	 */
	private boolean rebuild(int index) throws PeerException {
		int target = this.ledger.position();
		int end = target + this.ledger.count();
		int source = index;
		if (!this.stages.get(index).retains(target)) {
			do {
				source--;
			}
			while (!this.stages.get(source).retains(end));
			this.ledger.nextAttempt();
			this.stages.subList(source, index + 1).forEach(StageProgress::restart);
		}
		int chunk = this.runner.limits().chunkPositions();
		for (int first = this.stages.get(source).ready(); first < target; first += chunk) {
			if (!rerun(source, index, first, Math.min(target, first + chunk))) {
				return false;
			}
		}
		return source == index || rerun(source, index - 1, target, end);
	}

	private boolean rerun(int source, int last, int first, int end) throws PeerException {
		long[] input = this.stages.get(source).retained(first, end);
		for (int i = source; i <= last; i++) {
			StageProgress progress = this.stages.get(i);
			Optional<StepReply> reply = step(progress, first, input);
			if (reply.isEmpty()) {
				return false;
			}
			this.runner.listener()
				.on(new RecoveryEvent.PassesRerun((long) progress.stage().layers().size() * (end - first)));
			input = reply.get().output();
			if (i + 1 < this.stages.size()) {
				retain(i + 1, first, input);
			}
		}
		return true;
	}

	private Optional<StepReply> step(StageProgress progress, int position, long[] input) throws PeerException {
		Stage stage = progress.stage();
		StepRequest step = new StepRequest(this.request.stream(), this.ledger.attempt(), this.route.model(),
				this.route.version(), this.route.adapter(), stage.layers(), position, input,
				this.request.priority().getAsInt());
		Duration timeout = this.runner.timeout(progress, input.length);
		PeerException failure = null;
		boolean answers = true;
		for (int send = 0; answers && send < this.runner.limits().maxSends(); send++) {
			StageClient client = (send == 0) ? this.runner.calls().step() : this.runner.calls().stepOnNewConnection();
			Duration wait = bounded(timeout);
			try {
				StepReply reply = client.step(stage, step, wait);
				this.mayHaveRun = true;
				this.ledger.check(stage, reply, position, input.length);
				progress.ran(reply);
				return Optional.of(reply);
			}
			catch (NotRunException ex) {
				failure = ex;
				if (send > 0) {
					break;
				}
			}
			catch (PeerException ex) {
				this.mayHaveRun = true;
				failure = ex;
			}
			answers = probe(stage, failure);
			timeout = timeout.multipliedBy(2);
		}
		if (answers) {
			this.runner.listener().on(new RecoveryEvent.StepsUnanswered(stage.engine()));
		}
		replace(progress, answers, failure);
		return Optional.empty();
	}

	private boolean probe(Stage stage, PeerException failure) throws PeerException {
		if (Thread.currentThread().isInterrupted()) {
			throw failed(stage, "the daemon stops", failure);
		}
		if (!this.recovering) {
			this.recovering = true;
			this.recoveryStart = this.runner.nanos();
		}
		Duration wait = bounded(this.runner.limits().probeTimeout());
		try {
			this.runner.calls().probe().probe(stage, wait);
			this.runner.listener().on(new RecoveryEvent.ProbeAnswered(stage.engine()));
			return true;
		}
		catch (PeerException ex) {
			this.runner.listener().on(new RecoveryEvent.ProbeFailed(stage.engine()));
			return false;
		}
	}

	private Duration bounded(Duration timeout) throws PeerException {
		if (!this.recovering) {
			return timeout;
		}
		long left = this.recoveryStart + this.runner.limits().maxRecovery().toNanos() - this.runner.nanos();
		if (left <= 0) {
			throw failed(this.stages.get(nextStage()).stage(),
					"recovery took longer than " + this.runner.limits().maxRecovery().toMillis() + " ms", null);
		}
		return (timeout.toNanos() < left) ? timeout : Duration.ofNanos(left);
	}

	private void replace(StageProgress progress, boolean answers, PeerException failure) throws PeerException {
		Stage old = progress.stage();
		if (this.replacements == this.runner.limits().maxReplacements()) {
			throw failed(old, "stage " + old.layers() + " lost after " + this.replacements + " replacements", failure);
		}
		this.replacements++;
		Optional<List<Stage>> chosen = choose(old);
		if (chosen.isEmpty() && !answers) {
			throw failed(old, "no engine left to replace stage " + old.layers(), failure);
		}
		this.ledger.nextAttempt();
		int index = this.stages.indexOf(progress);
		this.stages.remove(index);
		// An engine that answers but refuses, and that nothing can replace, starts again.
		List<Stage> stages = chosen.orElse(List.of(old));
		for (int i = 0; i < stages.size(); i++) {
			this.stages.add(index + i,
					(i == 0) ? new StageProgress(stages.get(0), progress) : new StageProgress(stages.get(i)));
		}
		boolean moved = answers && chosen.isPresent() && move(old, this.stages.get(index));
		this.runner.listener().on(new RecoveryEvent.StageReplaced(old.engine(), moved));
		if (answers && chosen.isPresent()) {
			cancel(old);
		}
	}

	private Optional<List<Stage>> choose(Stage old) throws PeerException {
		Set<String> used = new HashSet<>();
		this.stages.forEach((progress) -> used.add(progress.stage().engine()));
		this.lost.add(old.engine());
		Set<String> excluded = new HashSet<>(used);
		excluded.addAll(this.lost);
		Optional<List<Stage>> chosen = this.replacement.replace(old, excluded);
		if (chosen.isPresent() || used.containsAll(this.lost)) {
			return chosen;
		}
		// Engines that this stream lost earlier may be back, and are all that is left.
		this.lost.retainAll(Set.of(old.engine()));
		return this.replacement.replace(old, used);
	}

	private boolean move(Stage from, StageProgress to) {
		boolean next = from.layers().first() == this.ledger.nextLayer() && to.stage().layers().equals(from.layers());
		if (!next || this.ledger.position() == 0) {
			return false;
		}
		Duration timeout = this.runner.limits().transferTimeout();
		try {
			KvCache cache = this.runner.calls().exportCache().exportCache(from, this.request.stream(), timeout);
			boolean fits = cache.stream().equals(this.request.stream()) && cache.layers().equals(from.layers())
					&& cache.version().equals(this.route.version()) && cache.nextPosition() == this.ledger.position();
			if (!fits) {
				return false;
			}
			this.runner.calls()
				.importCache()
				.importCache(to.stage(), cache.withAttempt(this.ledger.attempt()), timeout);
			to.imported(cache.nextPosition());
			return true;
		}
		catch (PeerException ex) {
			// The cache is recomputed instead; position 0 under this attempt would not
			// clear a cache that an unconfirmed import left.
			this.ledger.nextAttempt();
			return false;
		}
	}

	private void cancel(Stage stage) {
		this.runner.cancel(stage, this.request.stream(), this.ledger.attempt());
	}

	private PeerException failed(Stage stage, String message, PeerException cause) {
		Peer peer = new Peer(Peer.Kind.ENGINE, stage.engine());
		String text = "stream " + this.request.stream() + " cannot go on at position " + this.ledger.position() + ": "
				+ message;
		return this.mayHaveRun ? new PeerException(Step.REPLACE_STAGE, peer, text, cause)
				: new NotRunException(Step.REPLACE_STAGE, peer, text, cause);
	}

}
