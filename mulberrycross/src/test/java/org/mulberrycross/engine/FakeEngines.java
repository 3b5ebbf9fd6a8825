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
 * Engines in memory that run a small model with one number of state per layer, on a clock
 * that moves only when a call waits. Not thread-safe.
 */
final class FakeEngines {

	static final int LAYERS = 6;

	private static final LayerRange[] RANGES = { new LayerRange(0, 2), new LayerRange(2, 4), new LayerRange(4, 6) };

	private static final EngineLoad LOAD = new EngineLoad(0, 0, 8, 1000, false);

	private static final long STEP_NANOS = 5_000_000;

	private final Map<String, Engine> engines = new TreeMap<>();

	private final RandomGenerator random;

	long nanos;

	long steps;

	long layersRun;

	int lastAttempt;

	/** Chance in 1000 of each fault per step. */
	int faultRate;

	/** Whether an engine answers a repeated step with the stored reply. */
	boolean storesReplies = true;

	/** Whether a lost stage may be replaced by two. */
	boolean splits = true;

	/** Whether an engine that is about to leave hands over its caches. */
	boolean exports = true;

	FakeEngines(RandomGenerator random, int perRange) {
		this.random = random;
		for (int range = 0; range < RANGES.length; range++) {
			for (int i = 0; i < perRange; i++) {
				String name = "r" + range + "-" + i;
				this.engines.put(name, new Engine(name, RANGES[range]));
			}
		}
	}

	Engine engine(String name) {
		return this.engines.get(name);
	}

	Route route() {
		List<Stage> stages = new ArrayList<>();
		for (LayerRange range : RANGES) {
			stages.add(choose(range, Set.of()).orElseThrow().get(0));
		}
		return new Route("m", "v1", "", stages);
	}

	/** Half of the replacements of two layers are split into two stages. */
	Optional<List<Stage>> choose(LayerRange layers, Set<String> excluded) {
		List<Engine> candidates = new ArrayList<>(this.engines.values());
		candidates.removeIf((engine) -> !engine.layers.contains(layers) || excluded.contains(engine.name));
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		Engine first = candidates.remove(this.random.nextInt(candidates.size()));
		if (layers.size() == 1 || candidates.isEmpty() || excluded.isEmpty() || !this.splits
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
		this.steps++;
		this.lastAttempt = step.attempt();
		this.nanos += STEP_NANOS;
		Engine engine = this.engines.get(stage.engine());
		if (this.random.nextInt(1000) < this.faultRate) {
			breakSomething(engine);
		}
		engine.recover();
		engine.heldBack.removeIf((held) -> {
			try {
				engine.run(held);
			}
			catch (NotRunException ex) {
				// A late step that the engine refuses has no reader.
			}
			return true;
		});
		if (engine.crashed) {
			throw new NotRunException(Step.DECODE, peer(stage), "refused");
		}
		if (engine.frozen || (engine.silent && !newConnection)) {
			throw silence(stage, timeout);
		}
		int fault = (this.random.nextInt(1000) < this.faultRate) ? this.random.nextInt(4) : -1;
		if (fault == 0) {
			engine.heldBack.add(step);
			throw silence(stage, timeout);
		}
		StepReply reply = engine.run(step);
		if (fault == 1) {
			throw silence(stage, timeout);
		}
		if (fault == 2 && step.attempt() > 1) {
			return divergedReply(step);
		}
		if (fault == 3 && !engine.replies.isEmpty()) {
			return engine.replies.get(this.random.nextInt(engine.replies.size()));
		}
		return reply;
	}

	/** A late reply of the attempt before, which ran on a cache that has diverged. */
	private static StepReply divergedReply(StepRequest step) {
		long[] output = new long[(step.layers().end() == LAYERS) ? 1 : step.input().length];
		return new StepReply(step.stream(), step.attempt() - 1, "v1", step.layers(), step.position(),
				step.input().length, output, "diverged", LOAD);
	}

	private void breakSomething(Engine engine) {
		List<Engine> all = new ArrayList<>(this.engines.values());
		Engine other = all.get(this.random.nextInt(all.size()));
		for (Engine broken : (this.random.nextInt(3) != 0) ? List.of(engine) : List.of(engine, other)) {
			long until = this.nanos + Duration.ofSeconds(1 + this.random.nextInt(3)).toNanos();
			switch (this.random.nextInt(4)) {
				case 0 -> broken.crash(until);
				case 1 -> broken.freeze(until);
				case 2 -> broken.silence(until);
				default -> broken.leave(until);
			}
		}
	}

	private void probe(Stage stage, Duration timeout) throws PeerException {
		this.nanos += STEP_NANOS;
		Engine engine = this.engines.get(stage.engine());
		engine.recover();
		if (engine.crashed) {
			throw new NotRunException(Step.PROBE, peer(stage), "refused");
		}
		if (engine.frozen) {
			throw silence(stage, timeout);
		}
	}

	private KvCache export(Stage stage, String stream, Duration timeout) throws PeerException {
		probe(stage, timeout);
		Cache cache = this.engines.get(stage.engine()).caches.get(stream);
		if (cache == null || !this.exports) {
			throw new NotRunException(Step.REPLACE_STAGE, peer(stage), "no cache");
		}
		byte[] content = new byte[cache.state.length];
		for (int i = 0; i < content.length; i++) {
			content[i] = (byte) cache.state[i];
		}
		return new KvCache(stream, cache.attempt, "v1", cache.layers, cache.next, content);
	}

	private void importCache(Stage stage, KvCache cache, Duration timeout) throws PeerException {
		probe(stage, timeout);
		Cache copy = new Cache(cache.layers(), cache.attempt());
		for (int i = 0; i < copy.state.length; i++) {
			copy.state[i] = cache.content()[i];
		}
		copy.next = cache.nextPosition();
		this.engines.get(stage.engine()).caches.put(cache.stream(), copy);
		if (this.random.nextInt(1000) < this.faultRate) {
			throw silence(stage, timeout);
		}
	}

	private PeerException silence(Stage stage, Duration timeout) {
		this.nanos += timeout.toNanos();
		return new OutcomeUnknownException(Step.DECODE, peer(stage), "no reply", null);
	}

	private static Peer peer(Stage stage) {
		return new Peer(Peer.Kind.ENGINE, stage.engine());
	}

	static List<String> answer(long[] prompt, int maxTokens) {
		long[] state = new long[LAYERS];
		List<String> answer = new ArrayList<>();
		long[] input = prompt;
		for (int i = 0; i < maxTokens; i++) {
			long value = 0;
			for (long token : input) {
				value = token;
				for (int layer = 0; layer < LAYERS; layer++) {
					value = layer(layer, value, state, layer);
				}
			}
			answer.add("t" + value);
			input = new long[] { value };
		}
		return answer;
	}

	/** The state stays below 128 so that an export is one byte per layer. */
	private static long layer(int layer, long input, long[] state, int index) {
		long output = (input * 1_000_003 + state[index] * 31 + layer * 7 + 1) % 1_000_033;
		state[index] = (state[index] * 17 + output + 3) % 127;
		return output;
	}

	/** State of one stream on one engine. */
	private static final class Cache {

		private final LayerRange layers;

		private final long[] state;

		private int attempt;

		private int next;

		private StepReply last;

		Cache(LayerRange layers, int attempt) {
			this.layers = layers;
			this.state = new long[layers.size()];
			this.attempt = attempt;
		}

	}

	/** One engine. */
	final class Engine {

		private final String name;

		private final LayerRange layers;

		private final Map<String, Cache> caches = new HashMap<>();

		private final List<StepRequest> heldBack = new ArrayList<>();

		private final List<StepReply> replies = new ArrayList<>();

		final Set<String> cancelled = new HashSet<>();

		private long until;

		boolean crashed;

		boolean frozen;

		boolean silent;

		boolean leaving;

		private Engine(String name, LayerRange layers) {
			this.name = name;
			this.layers = layers;
		}

		void crash(long untilNanos) {
			this.until = untilNanos;
			this.crashed = true;
			this.caches.clear();
			this.heldBack.clear();
		}

		void freeze(long untilNanos) {
			this.until = untilNanos;
			this.frozen = true;
		}

		void silence(long untilNanos) {
			this.until = untilNanos;
			this.silent = true;
		}

		void leave(long untilNanos) {
			this.until = untilNanos;
			this.leaving = true;
		}

		private void cancel(String stream) {
			this.cancelled.add(stream);
			this.caches.remove(stream);
		}

		private void recover() {
			if (FakeEngines.this.nanos >= this.until) {
				this.crashed = false;
				this.frozen = false;
				this.silent = false;
				this.leaving = false;
			}
		}

		private StepReply run(StepRequest step) throws NotRunException {
			Cache cache = this.caches.get(step.stream());
			boolean starts = cache == null || (step.position() == 0 && step.attempt() > cache.attempt);
			if (this.leaving || (starts && step.position() > 0)) {
				throw refuse();
			}
			if (starts) {
				cache = new Cache(step.layers(), step.attempt());
				this.caches.put(step.stream(), cache);
			}
			if (step.attempt() < cache.attempt || !step.layers().equals(cache.layers)) {
				throw refuse();
			}
			boolean repeated = cache.last != null && cache.last.attempt() == step.attempt()
					&& cache.last.position() == step.position();
			if (repeated && FakeEngines.this.storesReplies) {
				return cache.last;
			}
			if (!repeated && step.position() != cache.next) {
				throw refuse();
			}
			cache.attempt = step.attempt();
			cache.next = step.position() + step.input().length;
			cache.last = compute(step, cache);
			this.replies.add(cache.last);
			if (this.replies.size() > 8) {
				this.replies.remove(0);
			}
			return cache.last;
		}

		private StepReply compute(StepRequest step, Cache cache) {
			long[] output = Arrays.copyOf(step.input(), step.input().length);
			for (int i = 0; i < output.length; i++) {
				for (int layer = step.layers().first(); layer < step.layers().end(); layer++) {
					output[i] = layer(layer, output[i], cache.state, layer - step.layers().first());
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

		private NotRunException refuse() {
			return new NotRunException(Step.DECODE, new Peer(Peer.Kind.ENGINE, this.name), "refused");
		}

	}

}
