package org.mulberrycross.router;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Supplier;
import java.util.stream.IntStream;

import org.HdrHistogram.Histogram;

import org.mulberrycross.caller.Admission;
import org.mulberrycross.caller.AdmissionAction;
import org.mulberrycross.caller.AdmissionInputs;
import org.mulberrycross.caller.AdmissionSettings;
import org.mulberrycross.caller.CallerRequest;
import org.mulberrycross.caller.TeamLimits;
import org.mulberrycross.caller.WorkClass;
import org.mulberrycross.engine.EngineLoad;
import org.mulberrycross.engine.EngineTable;
import org.mulberrycross.engine.ExpectedTimePolicy;
import org.mulberrycross.engine.LayerRange;
import org.mulberrycross.engine.LeavingUpstreams;
import org.mulberrycross.engine.RoutePolicies;
import org.mulberrycross.engine.RoutePolicy;
import org.mulberrycross.engine.RouteRequest;
import org.mulberrycross.engine.Stage;
import org.mulberrycross.engine.StepSample;
import org.mulberrycross.operator.Configuration;
import org.mulberrycross.operator.UpstreamObject;

/**
 * Model of the decisions of one daemon with batching engines, on a manual clock. It
 * drives the real admission, engine table and route policies and prints their measures.
 * Not thread-safe; one object is one run.
 */
public final class ServedSystemModel {

	private static final long MS = 1_000_000;

	private static final long END = 60_000 * MS;

	private static final long WARM_UP = 20_000 * MS;

	private static final int LAYERS = 24;

	private static final int BATCH = 16;

	private static final int TEAMS = 10;

	private static final int SHORT_TOKENS = 8;

	private static final int LONG_TOKENS = 30 * SHORT_TOKENS;

	/** Start deadlines, so that the first token of short work comes within 0.88 s. */
	private static final long SHORT_DEADLINE = 650 * MS;

	private static final long LONG_DEADLINE = 10_000 * MS;

	private static final long FIRST_TOKEN = 880 * MS;

	private static final double LONG_PART = 0.05;

	private static final double TOKENS_PER_REQUEST = (1 - LONG_PART) * SHORT_TOKENS + LONG_PART * LONG_TOKENS;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::order));

	/** Draws arrivals, which are thus the same for all policies. */
	private final Random random;

	private final Random routeRandom;

	private final Map<String, Engine> engines = new HashMap<>();

	private final EngineTable table = new EngineTable(new LeavingUpstreams());

	private final Map<String, StepSample> samples = new HashMap<>();

	private final Map<String, List<Stage>> reserved = new HashMap<>();

	private final Map<String, Stream> streams = new HashMap<>();

	private final RoutePolicy policy;

	private final Admission admission;

	private final boolean longWork;

	private final DoubleUnaryOperator load;

	private final Result result = new Result();

	private long now;

	private long order;

	private double bound = Double.MAX_VALUE;

	private ServedSystemModel(RoutePolicy policy, boolean fair, DoubleUnaryOperator load, boolean longWork, long seed) {
		this.policy = policy;
		this.random = new Random(seed);
		this.routeRandom = new Random(seed + 1000);
		this.load = load;
		this.longWork = longWork;
		this.admission = new Admission(fair ? AdmissionSettings.fair(512, 2048) : AdmissionSettings.fifo(512, 2048),
				new AdmissionInputs((team) -> 1, (pipeline) -> 8 * SHORT_TOKENS,
						TeamLimits.local((team) -> Integer.MAX_VALUE), this::reserve));
		List<UpstreamObject> upstreams = new ArrayList<>();
		for (int range = 0; range < 3; range++) {
			double rate = 0;
			for (int i = 0; i < 4; i++) {
				String name = "e" + range + i;
				Engine engine = new Engine((i < 2) ? 1 : 2, new double[] { 0.1, 0.5, 0.1, 10 }[i]);
				this.engines.put(name, engine);
				rate += BATCH * 1e9 / engine.stepNanos(BATCH);
				upstreams.add(UpstreamObject.engine(name, "127.0.0.1:" + (range * 10 + i + 1), "dc" + i,
						(i < 2) ? "fast" : "slow", "m", range * 8, (range + 1) * 8));
			}
			this.bound = Math.min(this.bound, rate);
		}
		this.table.configure(Configuration.of(1, upstreams));
	}

	/**
	 * Runs the model and prints one line per case, as means over the seeds 1 to 3.
	 * @param args a regular expression for the cases to run, none for all; a second one
	 * adds the expected-time policy with other numbers of draws
	 */
	public static void main(String[] args) {
		Map<String, Supplier<RoutePolicy>> policies = new java.util.LinkedHashMap<>();
		policies.put("random", RoutePolicies::random);
		policies.put("round-robin", RoutePolicies::roundRobin);
		policies.put("least-outstanding", RoutePolicies::leastOutstanding);
		policies.put("expected-time", ExpectedTimePolicy::new);
		if (args.length > 1) {
			for (int[] draws : new int[][] { { 1, 2 }, { 1, 4 }, { 2, 1 }, { 2, 2 }, { 2, 4 }, { 3, 1 }, { 3, 3 } }) {
				policies.put("expected-time-" + draws[0] + "-" + draws[1],
						() -> new ExpectedTimePolicy(draws[0], draws[1]));
			}
		}
		System.out.println("policy admission load | short p50 p95 p99, long p50 p95 p99 (ms to first token) | "
				+ "tokens/bound goodput/bound jain good-short/s refused/s blocking blocking-at-equal-token-load");
		for (Map.Entry<String, Supplier<RoutePolicy>> entry : policies.entrySet()) {
			for (boolean fair : new boolean[] { false, true }) {
				for (double factor : new double[] { 0.8, 1, 2, 4 }) {
					print(args, entry, fair, String.valueOf(factor), (seconds) -> factor);
				}
				// Arrivals double within 2 s at the 30th second and fall back after 20 s.
				print(args, entry, fair, "surge", (seconds) -> 0.6
						* (1 + Math.max(0, Math.min(1, (seconds - 30) / 2) - ((seconds > 50) ? 1 : 0))));
			}
		}
	}

	private static void print(String[] args, Map.Entry<String, Supplier<RoutePolicy>> policy, boolean fair, String name,
			DoubleUnaryOperator load) {
		String label = policy.getKey() + (fair ? " fair " : " fifo ") + name;
		if (args.length > 0 && !label.matches(args[0])) {
			return;
		}
		List<Result> with = runs(policy.getValue(), fair, load, true);
		double alone = mean(runs(policy.getValue(), fair, load, false), (result) -> result.shorts, 95);
		double scale = TOKENS_PER_REQUEST / ((1 - LONG_PART) * SHORT_TOKENS);
		double equal = mean(runs(policy.getValue(), fair, (seconds) -> scale * load.applyAsDouble(seconds), false),
				(result) -> result.shorts, 95);
		System.out.printf(Locale.ROOT, "%s | %.0f %.0f %.0f, %.0f %.0f %.0f | %.3f %.3f %.3f %.0f %.0f %.2f %.2f%n",
				label, mean(with, (result) -> result.shorts, 50), mean(with, (result) -> result.shorts, 95),
				mean(with, (result) -> result.shorts, 99), mean(with, (result) -> result.longs, 50),
				mean(with, (result) -> result.longs, 95), mean(with, (result) -> result.longs, 99),
				mean(with, (result) -> result.tokens / result.bound),
				mean(with, (result) -> result.goodTokens / result.bound), mean(with, Result::jain),
				mean(with, (result) -> result.goodShort), mean(with, (result) -> result.refused),
				mean(with, (result) -> result.shorts, 95) / alone, mean(with, (result) -> result.shorts, 95) / equal);
	}

	private static List<Result> runs(Supplier<RoutePolicy> policy, boolean fair, DoubleUnaryOperator load,
			boolean longWork) {
		return IntStream.rangeClosed(1, 3)
			.parallel()
			.mapToObj((seed) -> new ServedSystemModel(policy.get(), fair, load, longWork, seed).run())
			.toList();
	}

	private static double mean(List<Result> results, java.util.function.Function<Result, Histogram> histogram,
			double percentile) {
		return mean(results, (result) -> histogram.apply(result).getValueAtPercentile(percentile) / 1000.0);
	}

	private static double mean(List<Result> results, java.util.function.ToDoubleFunction<Result> value) {
		return results.stream().mapToDouble(value).average().orElseThrow();
	}

	Result run() {
		after(0, this::arrive);
		after(100 * MS, this::tick);
		while (!this.events.isEmpty() && this.events.peek().at() < END) {
			Event event = this.events.remove();
			this.now = event.at();
			event.action().run();
		}
		this.result.finish(this.bound, (END - WARM_UP) / 1e9);
		return this.result;
	}

	private void after(long nanos, Runnable action) {
		this.events.add(new Event(this.now + nanos, this.order++, action));
	}

	private void tick() {
		this.table.observe(this.samples);
		this.samples.clear();
		perform(this.admission.tick(this.now));
		after(100 * MS, this::tick);
	}

	private void arrive() {
		boolean isLong = this.random.nextDouble() < LONG_PART;
		int tokens = isLong ? LONG_TOKENS : SHORT_TOKENS / 2 + this.random.nextInt(SHORT_TOKENS + 1);
		// Half of the callers ask for a maximum near what they need, half for much more.
		int maxTokens = this.random.nextBoolean() ? 2 * tokens : 2 * LONG_TOKENS;
		double team = this.random.nextDouble();
		// Three large teams send three quarters of the requests.
		int index = (team < 0.75) ? (int) (team * 4) : 3 + (int) ((team - 0.75) * 4 * (TEAMS - 3));
		double rate = this.load.applyAsDouble(this.now / 1e9) * this.bound / TOKENS_PER_REQUEST;
		if (this.longWork || !isLong) {
			CallerRequest request = new CallerRequest("r" + this.order, "t" + index, "p", new long[1], maxTokens,
					this.now, this.now + (isLong ? LONG_DEADLINE : SHORT_DEADLINE));
			this.streams.put(request.id(), new Stream(request, tokens, isLong, index));
			this.result.demand[index] += tokens;
			perform(this.admission.arrived(request, this.now));
		}
		after((long) (-Math.log(1 - this.random.nextDouble()) * 1e9 / rate), this::arrive);
	}

	private boolean reserve(CallerRequest request, double limitShare) {
		Optional<List<Stage>> stages = this.policy.choose(
				new RouteRequest("m", "v", "", new LayerRange(0, LAYERS), Set.of(), limitShare),
				this.table.view(this.now), this.routeRandom);
		stages.ifPresent((found) -> {
			this.table.acquire(found);
			this.reserved.put(request.id(), found);
		});
		return stages.isPresent();
	}

	private void perform(List<AdmissionAction> actions) {
		for (AdmissionAction action : actions) {
			Stream stream = this.streams.get(action.request().id());
			if (action instanceof AdmissionAction.Grant grant) {
				stream.stages = this.reserved.remove(grant.request().id());
				stream.priority = grant.workClass().priority();
				stream.estimate = grant.estimatedTokens();
				step(stream, 0);
			}
			else {
				this.streams.remove(action.request().id());
				this.result.refused += (this.now >= WARM_UP) ? 1 : 0;
			}
		}
	}

	private void step(Stream stream, int index) {
		String name = stream.stages.get(index).engine();
		Engine engine = this.engines.get(name);
		long sent = this.now;
		after(engine.linkNanos, () -> engine.submit(new Pending(stream.priority, this.order++, (report) -> {
			after(engine.linkNanos, () -> {
				this.samples.merge(name, StepSample.of(report, this.now, (this.now - sent) / 1000), StepSample::plus);
				if (index + 1 < stream.stages.size()) {
					step(stream, index + 1);
				}
				else {
					token(stream);
				}
			});
		})));
	}

	private void token(Stream stream) {
		stream.produced++;
		this.result.token(stream, this.now);
		if (stream.produced == stream.estimate + 1) {
			stream.priority = WorkClass.LONG.priority();
			perform(this.admission.exceeded(stream.request.id(), this.now));
		}
		if (stream.produced < stream.tokens) {
			step(stream, 0);
			return;
		}
		this.streams.remove(stream.request.id());
		this.table.release(stream.stages);
		perform(this.admission.finished(stream.request.id(), stream.produced, true, this.now));
	}

	private record Event(long at, long order, Runnable action) {

	}

	private record Pending(int priority, long order, java.util.function.Consumer<EngineLoad> reply) {

	}

	private static final class Stream {

		private final CallerRequest request;

		private final int tokens;

		private final boolean isLong;

		private final int team;

		private List<Stage> stages = List.of();

		private int priority;

		private int estimate;

		private int produced;

		private boolean good;

		private Stream(CallerRequest request, int tokens, boolean isLong, int team) {
			this.request = request;
			this.tokens = tokens;
			this.isLong = isLong;
			this.team = team;
		}

	}

	private final class Engine {

		private final PriorityQueue<Pending> queue = new PriorityQueue<>(
				Comparator.comparingInt((Pending pending) -> -pending.priority()).thenComparingLong(Pending::order));

		private final double slowness;

		private final long linkNanos;

		private boolean busy;

		private Engine(double slowness, double linkMillis) {
			this.slowness = slowness;
			this.linkNanos = (long) (linkMillis * MS);
		}

		private long stepNanos(int batch) {
			return (long) (this.slowness * (4 + 0.25 * batch) * MS);
		}

		private void submit(Pending pending) {
			this.queue.add(pending);
			if (!this.busy) {
				runBatch();
			}
		}

		private void runBatch() {
			this.busy = true;
			List<Pending> batch = new ArrayList<>();
			while (!this.queue.isEmpty() && batch.size() < BATCH) {
				batch.add(this.queue.remove());
			}
			long nanos = stepNanos(batch.size());
			after(nanos, () -> {
				EngineLoad report = new EngineLoad(batch.size(), this.queue.size(), BATCH, nanos / 1000, false);
				batch.forEach((pending) -> pending.reply().accept(report));
				this.busy = false;
				if (!this.queue.isEmpty()) {
					runBatch();
				}
			});
		}

	}

	/**
	 * Measures of one run after the warm-up.
	 */
	static final class Result {

		private final Histogram shorts = new Histogram(3);

		private final Histogram longs = new Histogram(3);

		private final double[] served = new double[TEAMS];

		private final double[] demand = new double[TEAMS];

		private double tokens;

		private double goodTokens;

		private double goodShort;

		private double refused;

		private double bound;

		private void token(Stream stream, long now) {
			long wait = now - stream.request.arrivalNanos();
			if (stream.produced == 1) {
				stream.good = wait <= (stream.isLong ? LONG_DEADLINE + FIRST_TOKEN - SHORT_DEADLINE : FIRST_TOKEN);
			}
			if (now < WARM_UP) {
				return;
			}
			this.tokens++;
			this.goodTokens += stream.good ? 1 : 0;
			this.served[stream.team]++;
			if (stream.produced == 1) {
				(stream.isLong ? this.longs : this.shorts).recordValue(wait / 1000);
				this.goodShort += (stream.good && !stream.isLong) ? 1 : 0;
			}
		}

		private void finish(double tokenBound, double seconds) {
			this.bound = tokenBound;
			this.tokens /= seconds;
			this.goodTokens /= seconds;
			this.goodShort /= seconds;
			this.refused /= seconds;
			for (int i = 0; i < TEAMS; i++) {
				double wanted = this.demand[i] * 1e9 / END;
				this.served[i] /= seconds * Math.min(wanted, tokenBound / TEAMS);
			}
		}

		private double jain() {
			double sum = java.util.Arrays.stream(this.served).sum();
			return sum * sum / (TEAMS * java.util.Arrays.stream(this.served).map((share) -> share * share).sum());
		}

	}

}
