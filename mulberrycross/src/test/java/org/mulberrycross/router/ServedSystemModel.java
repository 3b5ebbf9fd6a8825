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
 * Discrete-event simulation of one daemon with batching engines. It drives the production
 * admission, engine table and route policies on a simulated clock and prints latency,
 * throughput and fairness. Not thread-safe; each instance simulates one run.
 */
public final class ServedSystemModel {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long END_NANOS = 60_000 * NANOS_PER_MILLI;

	private static final long WARM_UP_NANOS = 20_000 * NANOS_PER_MILLI;

	private static final int LAYERS = 24;

	private static final int MAX_BATCH_SIZE = 16;

	private static final int TEAM_COUNT = 10;

	private static final int SHORT_REQUEST_TOKENS = 8;

	private static final int LONG_REQUEST_TOKENS = 30 * SHORT_REQUEST_TOKENS;

	/**
	 * Deadline for the start of a short request. Leaves time to produce the first token
	 * within its target of 880 ms.
	 */
	private static final long SHORT_DEADLINE_NANOS = 650 * NANOS_PER_MILLI;

	private static final long LONG_DEADLINE_NANOS = 10_000 * NANOS_PER_MILLI;

	private static final long FIRST_TOKEN_TARGET_NANOS = 880 * NANOS_PER_MILLI;

	private static final double LONG_REQUEST_FRACTION = 0.05;

	private static final double MEAN_TOKENS_PER_REQUEST = (1 - LONG_REQUEST_FRACTION) * SHORT_REQUEST_TOKENS
			+ LONG_REQUEST_FRACTION * LONG_REQUEST_TOKENS;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::timeNanos).thenComparingLong(Event::sequence));

	/** Used for arrivals only, so that they are the same for all policies. */
	private final Random arrivalRandom;

	private final Random routeRandom;

	private final Map<String, Engine> engines = new HashMap<>();

	private final EngineTable engineTable = new EngineTable(new LeavingUpstreams());

	private final Map<String, StepSample> stepSamples = new HashMap<>();

	private final Map<String, List<Stage>> reservedStages = new HashMap<>();

	private final Map<String, Stream> streams = new HashMap<>();

	private final RoutePolicy routePolicy;

	private final Admission admission;

	private final boolean includeLongRequests;

	/** Offered load at a time in seconds, as a multiple of the engines' throughput. */
	private final DoubleUnaryOperator loadFactor;

	private final Result result = new Result();

	private long nowNanos;

	private long nextSequence;

	/** Throughput of the slowest layer range with full batches. */
	private double maxTokensPerSecond = Double.MAX_VALUE;

	private ServedSystemModel(RoutePolicy routePolicy, boolean fair, DoubleUnaryOperator loadFactor,
			boolean includeLongRequests, long seed) {
		this.routePolicy = routePolicy;
		this.arrivalRandom = new Random(seed);
		this.routeRandom = new Random(seed + 1000);
		this.loadFactor = loadFactor;
		this.includeLongRequests = includeLongRequests;
		this.admission = new Admission(fair ? AdmissionSettings.fair(512, 2048) : AdmissionSettings.fifo(512, 2048),
				new AdmissionInputs((team) -> 1, (pipeline) -> 8 * SHORT_REQUEST_TOKENS,
						TeamLimits.local((team) -> Integer.MAX_VALUE), this::reserveRoute));
		List<UpstreamObject> upstreams = new ArrayList<>();
		for (int range = 0; range < 3; range++) {
			double rangeTokensPerSecond = 0;
			for (int i = 0; i < 4; i++) {
				String name = "e" + range + i;
				Engine engine = new Engine((i < 2) ? 1 : 2, new double[] { 0.1, 0.5, 0.1, 10 }[i]);
				this.engines.put(name, engine);
				rangeTokensPerSecond += MAX_BATCH_SIZE * 1e9 / engine.stepDurationNanos(MAX_BATCH_SIZE);
				upstreams.add(UpstreamObject.engine(name, "127.0.0.1:" + (range * 10 + i + 1), "dc" + i,
						(i < 2) ? "fast" : "slow", "m", range * 8, (range + 1) * 8));
			}
			this.maxTokensPerSecond = Math.min(this.maxTokensPerSecond, rangeTokensPerSecond);
		}
		this.engineTable.configure(Configuration.of(1, upstreams));
	}

	/**
	 * Runs the simulation for each case with the seeds 1 to 3 and prints the means, one
	 * line per case.
	 * @param args optionally a regular expression that selects cases by label; any second
	 * argument adds variants of the expected-time policy with other numbers of stage
	 * candidates and routes
	 */
	public static void main(String[] args) {
		Map<String, Supplier<RoutePolicy>> policies = new java.util.LinkedHashMap<>();
		policies.put("random", RoutePolicies::random);
		policies.put("round-robin", RoutePolicies::roundRobin);
		policies.put("least-outstanding", RoutePolicies::leastOutstanding);
		policies.put("expected-time", ExpectedTimePolicy::new);
		if (args.length > 1) {
			for (int[] counts : new int[][] { { 1, 2 }, { 1, 4 }, { 2, 1 }, { 2, 2 }, { 2, 4 }, { 3, 1 }, { 3, 3 } }) {
				policies.put("expected-time-" + counts[0] + "-" + counts[1],
						() -> new ExpectedTimePolicy(counts[0], counts[1]));
			}
		}
		System.out.println("policy admission load | short p50 p95 p99, long p50 p95 p99 (ms to first token) | "
				+ "tokens/bound goodput/bound jain good-short/s refused/s blocking blocking-at-equal-token-load");
		for (Map.Entry<String, Supplier<RoutePolicy>> entry : policies.entrySet()) {
			for (boolean fair : new boolean[] { false, true }) {
				for (double factor : new double[] { 0.8, 1, 2, 4 }) {
					printCase(args, entry, fair, String.valueOf(factor), (seconds) -> factor);
				}
				// The load doubles between 30 s and 32 s and returns to normal at 50 s.
				printCase(args, entry, fair, "surge", (seconds) -> 0.6
						* (1 + Math.max(0, Math.min(1, (seconds - 30) / 2) - ((seconds > 50) ? 1 : 0))));
			}
		}
	}

	private static void printCase(String[] args, Map.Entry<String, Supplier<RoutePolicy>> policy, boolean fair,
			String loadName, DoubleUnaryOperator loadFactor) {
		String label = policy.getKey() + (fair ? " fair " : " fifo ") + loadName;
		if (args.length > 0 && !label.matches(args[0])) {
			return;
		}
		List<Result> mixedResults = runSeeds(policy.getValue(), fair, loadFactor, true);
		double shortOnlyMillis = mean(runSeeds(policy.getValue(), fair, loadFactor, false),
				(result) -> result.shortFirstTokenMicros, 95);
		double scale = MEAN_TOKENS_PER_REQUEST / ((1 - LONG_REQUEST_FRACTION) * SHORT_REQUEST_TOKENS);
		double equalTokenLoadMillis = mean(
				runSeeds(policy.getValue(), fair, (seconds) -> scale * loadFactor.applyAsDouble(seconds), false),
				(result) -> result.shortFirstTokenMicros, 95);
		System.out.printf(Locale.ROOT, "%s | %.0f %.0f %.0f, %.0f %.0f %.0f | %.3f %.3f %.3f %.0f %.0f %.2f %.2f%n",
				label, mean(mixedResults, (result) -> result.shortFirstTokenMicros, 50),
				mean(mixedResults, (result) -> result.shortFirstTokenMicros, 95),
				mean(mixedResults, (result) -> result.shortFirstTokenMicros, 99),
				mean(mixedResults, (result) -> result.longFirstTokenMicros, 50),
				mean(mixedResults, (result) -> result.longFirstTokenMicros, 95),
				mean(mixedResults, (result) -> result.longFirstTokenMicros, 99),
				mean(mixedResults, (result) -> result.tokens / result.maxTokensPerSecond),
				mean(mixedResults, (result) -> result.onTimeTokens / result.maxTokensPerSecond),
				mean(mixedResults, Result::jainIndex), mean(mixedResults, (result) -> result.onTimeShortRequests),
				mean(mixedResults, (result) -> result.rejectedRequests),
				mean(mixedResults, (result) -> result.shortFirstTokenMicros, 95) / shortOnlyMillis,
				mean(mixedResults, (result) -> result.shortFirstTokenMicros, 95) / equalTokenLoadMillis);
	}

	private static List<Result> runSeeds(Supplier<RoutePolicy> policy, boolean fair, DoubleUnaryOperator loadFactor,
			boolean includeLongRequests) {
		return IntStream.rangeClosed(1, 3)
			.parallel()
			.mapToObj((seed) -> new ServedSystemModel(policy.get(), fair, loadFactor, includeLongRequests, seed).run())
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
		schedule(0, this::arriveRequest);
		schedule(100 * NANOS_PER_MILLI, this::tick);
		while (!this.events.isEmpty() && this.events.peek().timeNanos() < END_NANOS) {
			Event event = this.events.remove();
			this.nowNanos = event.timeNanos();
			event.action().run();
		}
		this.result.normalize(this.maxTokensPerSecond, (END_NANOS - WARM_UP_NANOS) / 1e9);
		return this.result;
	}

	private void schedule(long delayNanos, Runnable action) {
		this.events.add(new Event(this.nowNanos + delayNanos, this.nextSequence++, action));
	}

	private void tick() {
		this.engineTable.applySamples(this.stepSamples);
		this.stepSamples.clear();
		performAdmissionActions(this.admission.tick(this.nowNanos));
		schedule(100 * NANOS_PER_MILLI, this::tick);
	}

	private void arriveRequest() {
		boolean isLong = this.arrivalRandom.nextDouble() < LONG_REQUEST_FRACTION;
		int tokens = isLong ? LONG_REQUEST_TOKENS
				: SHORT_REQUEST_TOKENS / 2 + this.arrivalRandom.nextInt(SHORT_REQUEST_TOKENS + 1);
		// Half of the callers set a token limit near their need, half a much higher one.
		int maxTokens = this.arrivalRandom.nextBoolean() ? 2 * tokens : 2 * LONG_REQUEST_TOKENS;
		double teamSample = this.arrivalRandom.nextDouble();
		// Three large teams send three quarters of the requests.
		int teamIndex = (teamSample < 0.75) ? (int) (teamSample * 4)
				: 3 + (int) ((teamSample - 0.75) * 4 * (TEAM_COUNT - 3));
		double requestsPerSecond = this.loadFactor.applyAsDouble(this.nowNanos / 1e9) * this.maxTokensPerSecond
				/ MEAN_TOKENS_PER_REQUEST;
		if (this.includeLongRequests || !isLong) {
			CallerRequest request = new CallerRequest("r" + this.nextSequence, "t" + teamIndex, "p", new long[1],
					maxTokens, this.nowNanos, this.nowNanos + (isLong ? LONG_DEADLINE_NANOS : SHORT_DEADLINE_NANOS));
			this.streams.put(request.id(), new Stream(request, tokens, isLong, teamIndex));
			this.result.demandedTokens[teamIndex] += tokens;
			performAdmissionActions(this.admission.submit(request, this.nowNanos));
		}
		schedule((long) (-Math.log(1 - this.arrivalRandom.nextDouble()) * 1e9 / requestsPerSecond),
				this::arriveRequest);
	}

	private boolean reserveRoute(CallerRequest request, double limitShare) {
		Optional<List<Stage>> chosen = this.routePolicy.choose(
				new RouteRequest("m", "v", "", new LayerRange(0, LAYERS), Set.of(), limitShare),
				this.engineTable.view(this.nowNanos), this.routeRandom);
		chosen.ifPresent((stages) -> {
			this.engineTable.acquire(stages);
			this.reservedStages.put(request.id(), stages);
		});
		return chosen.isPresent();
	}

	private void performAdmissionActions(List<AdmissionAction> actions) {
		for (AdmissionAction action : actions) {
			Stream stream = this.streams.get(action.request().id());
			if (action instanceof AdmissionAction.Grant grant) {
				stream.stages = this.reservedStages.remove(grant.request().id());
				stream.priority = grant.workClass().priority();
				stream.estimatedTokens = grant.estimatedTokens();
				submitStep(stream, 0);
			}
			else {
				this.streams.remove(action.request().id());
				this.result.rejectedRequests += (this.nowNanos >= WARM_UP_NANOS) ? 1 : 0;
			}
		}
	}

	private void submitStep(Stream stream, int stageIndex) {
		String engineName = stream.stages.get(stageIndex).engine();
		Engine engine = this.engines.get(engineName);
		long sentNanos = this.nowNanos;
		schedule(engine.linkLatencyNanos,
				() -> engine.submit(new PendingStep(stream.priority, this.nextSequence++, (load) -> {
					schedule(engine.linkLatencyNanos, () -> {
						this.stepSamples.merge(engineName,
								StepSample.of(load, this.nowNanos, (this.nowNanos - sentNanos) / 1000),
								StepSample::plus);
						if (stageIndex + 1 < stream.stages.size()) {
							submitStep(stream, stageIndex + 1);
						}
						else {
							finishToken(stream);
						}
					});
				})));
	}

	private void finishToken(Stream stream) {
		stream.generatedTokens++;
		this.result.recordToken(stream, this.nowNanos);
		if (stream.generatedTokens == stream.estimatedTokens + 1) {
			stream.priority = WorkClass.LONG.priority();
			performAdmissionActions(this.admission.reclassifyAsLong(stream.request.id(), this.nowNanos));
		}
		if (stream.generatedTokens < stream.outputTokens) {
			submitStep(stream, 0);
			return;
		}
		this.streams.remove(stream.request.id());
		this.engineTable.release(stream.stages);
		performAdmissionActions(
				this.admission.release(stream.request.id(), stream.generatedTokens, true, this.nowNanos));
	}

	private record Event(long timeNanos, long sequence, Runnable action) {

	}

	private record PendingStep(int priority, long sequence, java.util.function.Consumer<EngineLoad> onReply) {

	}

	private static final class Stream {

		private final CallerRequest request;

		private final int outputTokens;

		private final boolean isLong;

		private final int teamIndex;

		private List<Stage> stages = List.of();

		private int priority;

		private int estimatedTokens;

		private int generatedTokens;

		private boolean firstTokenOnTime;

		private Stream(CallerRequest request, int outputTokens, boolean isLong, int teamIndex) {
			this.request = request;
			this.outputTokens = outputTokens;
			this.isLong = isLong;
			this.teamIndex = teamIndex;
		}

	}

	private final class Engine {

		private final PriorityQueue<PendingStep> queuedSteps = new PriorityQueue<>(
				Comparator.comparingInt((PendingStep step) -> -step.priority())
					.thenComparingLong(PendingStep::sequence));

		private final double stepTimeFactor;

		private final long linkLatencyNanos;

		private boolean busy;

		private Engine(double stepTimeFactor, double linkLatencyMillis) {
			this.stepTimeFactor = stepTimeFactor;
			this.linkLatencyNanos = (long) (linkLatencyMillis * NANOS_PER_MILLI);
		}

		private long stepDurationNanos(int batchSize) {
			return (long) (this.stepTimeFactor * (4 + 0.25 * batchSize) * NANOS_PER_MILLI);
		}

		private void submit(PendingStep step) {
			this.queuedSteps.add(step);
			if (!this.busy) {
				runBatch();
			}
		}

		private void runBatch() {
			this.busy = true;
			List<PendingStep> batch = new ArrayList<>();
			while (!this.queuedSteps.isEmpty() && batch.size() < MAX_BATCH_SIZE) {
				batch.add(this.queuedSteps.remove());
			}
			long durationNanos = stepDurationNanos(batch.size());
			schedule(durationNanos, () -> {
				EngineLoad load = new EngineLoad(batch.size(), this.queuedSteps.size(), MAX_BATCH_SIZE,
						durationNanos / 1000, false);
				batch.forEach((step) -> step.onReply().accept(load));
				this.busy = false;
				if (!this.queuedSteps.isEmpty()) {
					runBatch();
				}
			});
		}

	}

	/**
	 * Metrics of one run after the warm-up. {@link #normalize} turns the counts into
	 * rates per second when the run ends; {@link #demandedTokens} includes the warm-up.
	 */
	static final class Result {

		private final Histogram shortFirstTokenMicros = new Histogram(3);

		private final Histogram longFirstTokenMicros = new Histogram(3);

		private final double[] servedTokens = new double[TEAM_COUNT];

		private final double[] demandedTokens = new double[TEAM_COUNT];

		private double tokens;

		/** Tokens of streams whose first token met its target. */
		private double onTimeTokens;

		private double onTimeShortRequests;

		private double rejectedRequests;

		private double maxTokensPerSecond;

		private void recordToken(Stream stream, long nowNanos) {
			long latencyNanos = nowNanos - stream.request.arrivalNanos();
			if (stream.generatedTokens == 1) {
				stream.firstTokenOnTime = latencyNanos <= (stream.isLong
						? LONG_DEADLINE_NANOS + FIRST_TOKEN_TARGET_NANOS - SHORT_DEADLINE_NANOS
						: FIRST_TOKEN_TARGET_NANOS);
			}
			if (nowNanos < WARM_UP_NANOS) {
				return;
			}
			this.tokens++;
			this.onTimeTokens += stream.firstTokenOnTime ? 1 : 0;
			this.servedTokens[stream.teamIndex]++;
			if (stream.generatedTokens == 1) {
				(stream.isLong ? this.longFirstTokenMicros : this.shortFirstTokenMicros)
					.recordValue(latencyNanos / 1000);
				this.onTimeShortRequests += (stream.firstTokenOnTime && !stream.isLong) ? 1 : 0;
			}
		}

		private void normalize(double maxTokensPerSecond, double seconds) {
			this.maxTokensPerSecond = maxTokensPerSecond;
			this.tokens /= seconds;
			this.onTimeTokens /= seconds;
			this.onTimeShortRequests /= seconds;
			this.rejectedRequests /= seconds;
			for (int i = 0; i < TEAM_COUNT; i++) {
				double demandPerSecond = this.demandedTokens[i] * 1e9 / END_NANOS;
				this.servedTokens[i] /= seconds * Math.min(demandPerSecond, maxTokensPerSecond / TEAM_COUNT);
			}
		}

		private double jainIndex() {
			double sum = java.util.Arrays.stream(this.servedTokens).sum();
			return sum * sum
					/ (TEAM_COUNT * java.util.Arrays.stream(this.servedTokens).map((share) -> share * share).sum());
		}

	}

}
