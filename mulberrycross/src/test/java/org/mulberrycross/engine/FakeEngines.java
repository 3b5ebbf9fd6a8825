package org.mulberrycross.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import org.mulberrycross.Address;
import org.mulberrycross.NotRunException;
import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;

/**
 * In-memory engines with fault injection. They run a small model, whose state is one
 * number per layer, on a manual clock that only calls advance. Not thread-safe.
 */
final class FakeEngines {

	static final int LAYERS = 6;

	private static final LayerRange[] STAGE_LAYERS = { new LayerRange(0, 2), new LayerRange(2, 4),
			new LayerRange(4, 6) };

	private static final EngineLoad LOAD = new EngineLoad(0, 0, 8, 1000, false);

	private static final long STEP_NANOS = 5_000_000;

	private final Map<String, Engine> engines = new TreeMap<>();

	private final RandomGenerator random;

	long nowNanos;

	long stepCount;

	long layersRun;

	int lastAttempt;

	/** Probability of each fault per step, in 1/1000. */
	int faultPerMille;

	/** Whether an engine answers a repeated step with its stored reply. */
	boolean storesReplies = true;

	/** Whether one stage may be replaced by two. */
	boolean splitsReplacements = true;

	/** Whether engines export their caches. */
	boolean exportsCaches = true;

	FakeEngines(RandomGenerator random, int enginesPerStage) {
		this.random = random;
		for (int stageIndex = 0; stageIndex < STAGE_LAYERS.length; stageIndex++) {
			for (int i = 0; i < enginesPerStage; i++) {
				String name = "r" + stageIndex + "-" + i;
				this.engines.put(name, new Engine(name, STAGE_LAYERS[stageIndex]));
			}
		}
	}

	Engine engine(String name) {
		return this.engines.get(name);
	}

	Route route() {
		List<Stage> stages = new ArrayList<>();
		for (LayerRange range : STAGE_LAYERS) {
			stages.add(chooseStages(range, Set.of()).orElseThrow().get(0));
		}
		return new Route("m", "v1", "", stages);
	}

	/** Chooses random engines. About half of the replacements of two layers are split. */
	Optional<List<Stage>> chooseStages(LayerRange layers, Set<String> excluded) {
		List<Engine> candidates = new ArrayList<>(this.engines.values());
		candidates.removeIf((engine) -> !engine.layers.contains(layers) || excluded.contains(engine.name));
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		Engine first = candidates.remove(this.random.nextInt(candidates.size()));
		if (layers.size() == 1 || candidates.isEmpty() || excluded.isEmpty() || !this.splitsReplacements
				|| this.random.nextBoolean()) {
			return Optional.of(List.of(stage(first, layers)));
		}
		Engine second = candidates.get(this.random.nextInt(candidates.size()));
		int middle = layers.first() + 1;
		return Optional.of(List.of(stage(first, new LayerRange(layers.first(), middle)),
				stage(second, new LayerRange(middle, layers.end()))));
	}

	private static Stage stage(Engine engine, LayerRange layers) {
		return new Stage(engine.name, new Address("127.0.0.1", 1), layers);
	}

	StageCalls calls() {
		return new StageCalls((stage, step, timeout) -> step(stage, step, timeout, false),
				(stage, step, timeout) -> step(stage, step, timeout, true), this::probe,
				(stage, stream, attempt, timeout) -> this.engines.get(stage.engine()).cancel(stream), this::export,
				this::importCache);
	}

	private StepReply step(Stage stage, StepRequest step, Duration timeout, boolean newConnection)
			throws PeerException {
		this.stepCount++;
		this.lastAttempt = step.attempt();
		this.nowNanos += STEP_NANOS;
		Engine engine = this.engines.get(stage.engine());
		if (this.random.nextInt(1000) < this.faultPerMille) {
			injectEngineFault(engine);
		}
		engine.clearExpiredFaults();
		engine.delayedSteps.removeIf((delayed) -> {
			try {
				engine.run(delayed);
			}
			catch (NotRunException ex) {
				// Nobody waits for the reply to a delayed step.
			}
			return true;
		});
		if (engine.crashed) {
			throw new NotRunException(Step.DECODE, peer(stage), "refused");
		}
		if (engine.frozen || (engine.connectionsStalled && !newConnection)) {
			throw noReply(stage, timeout);
		}
		int fault = (this.random.nextInt(1000) < this.faultPerMille) ? this.random.nextInt(4) : -1;
		if (fault == 0) {
			engine.delayedSteps.add(step);
			throw noReply(stage, timeout);
		}
		StepReply reply = engine.run(step);
		if (fault == 1) {
			throw noReply(stage, timeout);
		}
		if (fault == 2 && step.attempt() > 1) {
			return divergedReply(step);
		}
		if (fault == 3 && !engine.recentReplies.isEmpty()) {
			return engine.recentReplies.get(this.random.nextInt(engine.recentReplies.size()));
		}
		return reply;
	}

	/** Returns a late reply of the previous attempt, computed on a diverged cache. */
	private static StepReply divergedReply(StepRequest step) {
		long[] output = new long[(step.layers().end() == LAYERS) ? 1 : step.input().length];
		return new StepReply(step.stream(), step.attempt() - 1, "v1", step.layers(), step.position(),
				step.input().length, output, "diverged", LOAD);
	}

	private void injectEngineFault(Engine engine) {
		List<Engine> all = new ArrayList<>(this.engines.values());
		Engine other = all.get(this.random.nextInt(all.size()));
		for (Engine affected : (this.random.nextInt(3) != 0) ? List.of(engine) : List.of(engine, other)) {
			long endNanos = this.nowNanos + Duration.ofSeconds(1 + this.random.nextInt(3)).toNanos();
			switch (this.random.nextInt(4)) {
				case 0 -> affected.crash(endNanos);
				case 1 -> affected.freeze(endNanos);
				case 2 -> affected.stallConnections(endNanos);
				default -> affected.leave(endNanos);
			}
		}
	}

	private void probe(Stage stage, Duration timeout) throws PeerException {
		this.nowNanos += STEP_NANOS;
		Engine engine = this.engines.get(stage.engine());
		engine.clearExpiredFaults();
		if (engine.crashed) {
			throw new NotRunException(Step.PROBE, peer(stage), "refused");
		}
		if (engine.frozen) {
			throw noReply(stage, timeout);
		}
	}

	private KvCache export(Stage stage, String stream, Duration timeout) throws PeerException {
		probe(stage, timeout);
		Cache cache = this.engines.get(stage.engine()).caches.get(stream);
		if (cache == null || !this.exportsCaches) {
			throw new NotRunException(Step.REPLACE_STAGE, peer(stage), "no cache");
		}
		byte[] content = new byte[cache.state.length];
		for (int i = 0; i < content.length; i++) {
			content[i] = (byte) cache.state[i];
		}
		return new KvCache(stream, cache.attempt, "v1", cache.layers, cache.nextPosition, content);
	}

	private void importCache(Stage stage, KvCache cache, Duration timeout) throws PeerException {
		probe(stage, timeout);
		Cache imported = new Cache(cache.layers(), cache.attempt());
		for (int i = 0; i < imported.state.length; i++) {
			imported.state[i] = cache.content()[i];
		}
		imported.nextPosition = cache.nextPosition();
		this.engines.get(stage.engine()).caches.put(cache.stream(), imported);
		if (this.random.nextInt(1000) < this.faultPerMille) {
			throw noReply(stage, timeout);
		}
	}

	private PeerException noReply(Stage stage, Duration timeout) {
		this.nowNanos += timeout.toNanos();
		return new OutcomeUnknownException(Step.DECODE, peer(stage), "no reply", null);
	}

	private static Peer peer(Stage stage) {
		return new Peer(Peer.Kind.ENGINE, stage.engine());
	}

	static List<String> expectedOutput(long[] prompt, int maxTokens) {
		long[] state = new long[LAYERS];
		List<String> output = new ArrayList<>();
		long[] input = prompt;
		for (int i = 0; i < maxTokens; i++) {
			long value = 0;
			for (long token : input) {
				value = token;
				for (int layer = 0; layer < LAYERS; layer++) {
					value = runLayer(layer, value, state, layer);
				}
			}
			output.add("t" + value);
			input = new long[] { value };
		}
		return output;
	}

	/**
	 * Runs one layer. Its state stays below 128, so that an exported cache has one byte
	 * per layer.
	 */
	private static long runLayer(int layer, long input, long[] state, int index) {
		long output = (input * 1_000_003 + state[index] * 31 + layer * 7 + 1) % 1_000_033;
		state[index] = (state[index] * 17 + output + 3) % 127;
		return output;
	}

	/** KV cache of one stream on one engine. */
	private static final class Cache {

		private final LayerRange layers;

		private final long[] state;

		private int attempt;

		private int nextPosition;

		private StepReply lastReply;

		Cache(LayerRange layers, int attempt) {
			this.layers = layers;
			this.state = new long[layers.size()];
			this.attempt = attempt;
		}

	}

	/** Engine with its caches and current fault. */
	final class Engine {

		private final String name;

		private final LayerRange layers;

		private final Map<String, Cache> caches = new HashMap<>();

		private final List<StepRequest> delayedSteps = new ArrayList<>();

		private final List<StepReply> recentReplies = new ArrayList<>();

		final Set<String> cancelled = new HashSet<>();

		private long faultEndNanos;

		boolean crashed;

		boolean frozen;

		boolean connectionsStalled;

		boolean leaving;

		private Engine(String name, LayerRange layers) {
			this.name = name;
			this.layers = layers;
		}

		void crash(long endNanos) {
			this.faultEndNanos = endNanos;
			this.crashed = true;
			this.caches.clear();
			this.delayedSteps.clear();
		}

		void freeze(long endNanos) {
			this.faultEndNanos = endNanos;
			this.frozen = true;
		}

		void stallConnections(long endNanos) {
			this.faultEndNanos = endNanos;
			this.connectionsStalled = true;
		}

		void leave(long endNanos) {
			this.faultEndNanos = endNanos;
			this.leaving = true;
		}

		private void cancel(String stream) {
			this.cancelled.add(stream);
			this.caches.remove(stream);
		}

		private void clearExpiredFaults() {
			if (FakeEngines.this.nowNanos >= this.faultEndNanos) {
				this.crashed = false;
				this.frozen = false;
				this.connectionsStalled = false;
				this.leaving = false;
			}
		}

		private StepReply run(StepRequest step) throws NotRunException {
			Cache cache = this.caches.get(step.stream());
			boolean startsCache = cache == null || (step.position() == 0 && step.attempt() > cache.attempt);
			if (this.leaving || (startsCache && step.position() > 0)) {
				throw refusal();
			}
			if (startsCache) {
				cache = new Cache(step.layers(), step.attempt());
				this.caches.put(step.stream(), cache);
			}
			if (step.attempt() < cache.attempt || !step.layers().equals(cache.layers)) {
				throw refusal();
			}
			boolean repeated = cache.lastReply != null && cache.lastReply.attempt() == step.attempt()
					&& cache.lastReply.position() == step.position();
			if (repeated && FakeEngines.this.storesReplies) {
				return cache.lastReply;
			}
			if (!repeated && step.position() != cache.nextPosition) {
				throw refusal();
			}
			cache.attempt = step.attempt();
			cache.nextPosition = step.position() + step.input().length;
			cache.lastReply = compute(step, cache);
			this.recentReplies.add(cache.lastReply);
			if (this.recentReplies.size() > 8) {
				this.recentReplies.remove(0);
			}
			return cache.lastReply;
		}

		private StepReply compute(StepRequest step, Cache cache) {
			long[] output = Arrays.copyOf(step.input(), step.input().length);
			for (int i = 0; i < output.length; i++) {
				for (int layer = step.layers().first(); layer < step.layers().end(); layer++) {
					output[i] = runLayer(layer, output[i], cache.state, layer - step.layers().first());
					FakeEngines.this.layersRun++;
				}
			}
			String text = "";
			if (step.layers().end() == LAYERS) {
				output = new long[] { output[output.length - 1] };
				text = "t" + output[0];
			}
			return new StepReply(step.stream(), step.attempt(), "v1", step.layers(), step.position(),
					step.input().length, output, text, LOAD);
		}

		private NotRunException refusal() {
			return new NotRunException(Step.DECODE, new Peer(Peer.Kind.ENGINE, this.name), "refused");
		}

	}

}
