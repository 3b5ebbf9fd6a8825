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
 * Runs one stream from the first step to the last token. A stage whose engine fails is
 * replaced, and its KV cache is transferred or recomputed from retained inputs. Not
 * thread-safe; confined to the thread that runs the stream.
 */
final class StreamRun {

	private final StepwiseRouteRunner runner;

	private final StreamRequest request;

	private final Route route;

	private final StageReplacement replacement;

	private final LayerCoverageTracker coverage;

	private final List<StageProgress> stages = new ArrayList<>();

	private final Set<String> failedEngines = new HashSet<>();

	private int replacementCount;

	private boolean recovering;

	private long recoveryStartNanos;

	private boolean layersMayHaveRun;

	StreamRun(StepwiseRouteRunner runner, StreamRequest request, Route route, StageReplacement replacement) {
		this.runner = runner;
		this.request = request;
		this.route = route;
		this.replacement = replacement;
		this.coverage = new LayerCoverageTracker(request.stream(), route.version(), route.layerCount());
		route.stages().forEach((stage) -> this.stages.add(new StageProgress(stage)));
	}

	void run(TokenSink sink) throws PeerException {
		boolean completed = false;
		try {
			long[] tokens = this.request.promptTokens();
			for (int index = 0; index < this.request.maxTokens(); index++) {
				StepReply reply = runPositions(tokens);
				this.coverage.recordEmitted(index);
				sink.acceptToken(index, reply.text());
				tokens = reply.output();
			}
			completed = true;
		}
		finally {
			if (!completed) {
				this.stages.forEach((progress) -> cancel(progress.stage()));
			}
		}
	}

	private StepReply runPositions(long[] tokens) throws PeerException {
		this.coverage.beginPositions(this.coverage.position(), tokens.length);
		setStageInput(0, tokens);
		StepReply reply = null;
		while (this.coverage.nextLayer() < this.route.layerCount()) {
			reply = runNextStage();
		}
		this.coverage.finishPositions();
		this.recovering = false;
		return reply;
	}

	private StepReply runNextStage() throws PeerException {
		while (true) {
			int index = nextStageIndex();
			StageProgress progress = this.stages.get(index);
			if (progress.cachedPositions() != this.coverage.position() && !rebuildCache(index)) {
				continue;
			}
			Optional<StepReply> reply = runStep(progress, this.coverage.position(), progress.currentInput());
			if (reply.isPresent()) {
				this.coverage.acceptReply(progress.stage(), reply.get());
				if (index + 1 < this.stages.size()) {
					setStageInput(index + 1, reply.get().output());
				}
				return reply.get();
			}
		}
	}

	private int nextStageIndex() {
		for (int index = 0; index < this.stages.size(); index++) {
			if (this.stages.get(index).stage().layers().first() == this.coverage.nextLayer()) {
				return index;
			}
		}
		throw new IllegalStateException(
				"stream " + this.request.stream() + " has no stage that starts at layer " + this.coverage.nextLayer());
	}

	private void setStageInput(int index, long[] input) {
		this.stages.get(index).setCurrentInput(input);
		retainInput(index, this.coverage.position(), input);
	}

	private void retainInput(int index, int position, long[] input) {
		this.stages.get(index).retainInput(position, input);
		long bytes = 0;
		for (int i = 1; i < this.stages.size(); i++) {
			bytes += this.stages.get(i).retainedBytes();
		}
		for (int i = this.stages.size() - 1; i > 0 && bytes > this.runner.limits().maxRetainedBytes(); i--) {
			bytes -= this.stages.get(i).retainedBytes();
			this.stages.get(i).dropInputs();
		}
	}

	/**
	 * Recomputes the cache of a stage up to the current position. The computation starts
	 * at this stage, or at the nearest earlier one that retains its inputs; the stages
	 * from there on restart with empty caches under a new attempt.
	 * @param index the index of the stage
	 * @return false if a stage was replaced in the process, after which the next stage
	 * must be determined again
	 */
	private boolean rebuildCache(int index) throws PeerException {
		int target = this.coverage.position();
		int end = target + this.coverage.positionCount();
		int source = index;
		if (!this.stages.get(index).hasRetained(target)) {
			do {
				source--;
			}
			while (!this.stages.get(source).hasRetained(end));
			this.coverage.startNextAttempt();
			this.stages.subList(source, index + 1).forEach(StageProgress::resetCache);
		}
		int chunkPositions = this.runner.limits().positionsPerRecomputation();
		for (int first = this.stages.get(source).cachedPositions(); first < target; first += chunkPositions) {
			if (!recomputeStages(source, index, first, Math.min(target, first + chunkPositions))) {
				return false;
			}
		}
		return source == index || recomputeStages(source, index - 1, target, end);
	}

	private boolean recomputeStages(int source, int last, int first, int end) throws PeerException {
		long[] input = this.stages.get(source).retainedInput(first, end);
		for (int i = source; i <= last; i++) {
			StageProgress progress = this.stages.get(i);
			Optional<StepReply> reply = runStep(progress, first, input);
			if (reply.isEmpty()) {
				return false;
			}
			this.runner.listener()
				.onEvent(new RecoveryEvent.LayersRecomputed((long) progress.stage().layers().size() * (end - first)));
			input = reply.get().output();
			if (i + 1 < this.stages.size()) {
				retainInput(i + 1, first, input);
			}
		}
		return true;
	}

	private Optional<StepReply> runStep(StageProgress progress, int position, long[] input) throws PeerException {
		Stage stage = progress.stage();
		StepRequest step = new StepRequest(this.request.stream(), this.coverage.attempt(), this.route.model(),
				this.route.version(), this.route.adapter(), stage.layers(), position, input,
				this.request.priority().getAsInt());
		Duration timeout = this.runner.stepTimeout(progress, input.length);
		PeerException failure = null;
		boolean answersProbes = true;
		for (int send = 0; answersProbes && send < this.runner.limits().maxSendsPerStep(); send++) {
			StageClient client = (send == 0) ? this.runner.calls().step() : this.runner.calls().stepOnNewConnection();
			Duration cappedTimeout = capToRecoveryTime(timeout);
			try {
				StepReply reply = client.step(stage, step, cappedTimeout);
				this.layersMayHaveRun = true;
				this.coverage.checkReply(stage, reply, position, input.length);
				progress.recordReply(reply);
				return Optional.of(reply);
			}
			catch (NotRunException ex) {
				failure = ex;
				if (send > 0) {
					break;
				}
			}
			catch (PeerException ex) {
				this.layersMayHaveRun = true;
				failure = ex;
			}
			answersProbes = probe(stage, failure);
			timeout = timeout.multipliedBy(2);
		}
		if (answersProbes) {
			this.runner.listener().onEvent(new RecoveryEvent.StepsUnanswered(stage.engine()));
		}
		replaceStage(progress, answersProbes, failure);
		return Optional.empty();
	}

	private boolean probe(Stage stage, PeerException failure) throws PeerException {
		if (Thread.currentThread().isInterrupted()) {
			throw streamFailure(stage, "the router process is stopping", failure);
		}
		if (!this.recovering) {
			this.recovering = true;
			this.recoveryStartNanos = this.runner.nanos();
		}
		Duration cappedTimeout = capToRecoveryTime(this.runner.limits().probeTimeout());
		try {
			this.runner.calls().probe().probe(stage, cappedTimeout);
			this.runner.listener().onEvent(new RecoveryEvent.ProbeAnswered(stage.engine()));
			return true;
		}
		catch (PeerException ex) {
			this.runner.listener().onEvent(new RecoveryEvent.ProbeFailed(stage.engine()));
			return false;
		}
	}

	private Duration capToRecoveryTime(Duration timeout) throws PeerException {
		if (!this.recovering) {
			return timeout;
		}
		long remainingNanos = this.recoveryStartNanos + this.runner.limits().maxRecoveryTime().toNanos()
				- this.runner.nanos();
		if (remainingNanos <= 0) {
			throw streamFailure(this.stages.get(nextStageIndex()).stage(),
					"recovery took longer than " + this.runner.limits().maxRecoveryTime().toMillis() + " ms", null);
		}
		return (timeout.toNanos() < remainingNanos) ? timeout : Duration.ofNanos(remainingNanos);
	}

	private void replaceStage(StageProgress progress, boolean answersProbes, PeerException failure)
			throws PeerException {
		Stage failedStage = progress.stage();
		if (this.replacementCount == this.runner.limits().maxStageReplacements()) {
			throw streamFailure(failedStage,
					"stage " + failedStage.layers() + " failed after " + this.replacementCount + " replacements",
					failure);
		}
		this.replacementCount++;
		Optional<List<Stage>> replacements = chooseReplacement(failedStage);
		if (replacements.isEmpty() && !answersProbes) {
			throw streamFailure(failedStage, "no engine available to replace stage " + failedStage.layers(), failure);
		}
		this.coverage.startNextAttempt();
		int index = this.stages.indexOf(progress);
		this.stages.remove(index);
		// Without a replacement, an engine that answers probes but refuses or does not
		// answer steps is kept, and restarts with an empty cache.
		List<Stage> newStages = replacements.orElse(List.of(failedStage));
		for (int i = 0; i < newStages.size(); i++) {
			this.stages.add(index + i,
					(i == 0) ? new StageProgress(newStages.get(0), progress) : new StageProgress(newStages.get(i)));
		}
		boolean cacheMoved = answersProbes && replacements.isPresent()
				&& transferCache(failedStage, this.stages.get(index));
		this.runner.listener().onEvent(new RecoveryEvent.StageReplaced(failedStage.engine(), cacheMoved));
		if (answersProbes && replacements.isPresent()) {
			cancel(failedStage);
		}
	}

	private Optional<List<Stage>> chooseReplacement(Stage failedStage) throws PeerException {
		Set<String> usedEngines = new HashSet<>();
		this.stages.forEach((progress) -> usedEngines.add(progress.stage().engine()));
		this.failedEngines.add(failedStage.engine());
		Set<String> excluded = new HashSet<>(usedEngines);
		excluded.addAll(this.failedEngines);
		Optional<List<Stage>> replacements = this.replacement.replace(failedStage, excluded);
		if (replacements.isPresent() || usedEngines.containsAll(this.failedEngines)) {
			return replacements;
		}
		// No other engine covers the layers. Engines that failed earlier in this stream
		// may have recovered, so they are no longer excluded.
		this.failedEngines.retainAll(Set.of(failedStage.engine()));
		return this.replacement.replace(failedStage, usedEngines);
	}

	private boolean transferCache(Stage source, StageProgress target) {
		boolean sameNextLayers = source.layers().first() == this.coverage.nextLayer()
				&& target.stage().layers().equals(source.layers());
		if (!sameNextLayers || this.coverage.position() == 0) {
			return false;
		}
		Duration timeout = this.runner.limits().transferTimeout();
		try {
			KvCache cache = this.runner.calls().exportCache().exportCache(source, this.request.stream(), timeout);
			boolean matches = cache.stream().equals(this.request.stream()) && cache.layers().equals(source.layers())
					&& cache.version().equals(this.route.version()) && cache.nextPosition() == this.coverage.position();
			if (!matches) {
				return false;
			}
			this.runner.calls()
				.importCache()
				.importCache(target.stage(), cache.withAttempt(this.coverage.attempt()), timeout);
			target.recordImport(cache.nextPosition());
			return true;
		}
		catch (PeerException ex) {
			// The cache is recomputed instead, under a new attempt: a step at position 0
			// of this attempt would not clear a cache left by an unconfirmed import.
			this.coverage.startNextAttempt();
			return false;
		}
	}

	private void cancel(Stage stage) {
		this.runner.cancel(stage, this.request.stream(), this.coverage.attempt());
	}

	private PeerException streamFailure(Stage stage, String message, PeerException cause) {
		Peer peer = new Peer(Peer.Kind.ENGINE, stage.engine());
		String text = "stream " + this.request.stream() + " cannot continue at position " + this.coverage.position()
				+ ": " + message;
		return this.layersMayHaveRun ? new PeerException(Step.REPLACE_STAGE, peer, text, cause)
				: new NotRunException(Step.REPLACE_STAGE, peer, text, cause);
	}

}
