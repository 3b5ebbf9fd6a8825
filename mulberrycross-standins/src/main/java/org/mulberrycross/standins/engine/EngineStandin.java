package org.mulberrycross.standins.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.PriorityBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiConsumer;

import org.mulberrycross.engine.EngineLoad;
import org.mulberrycross.engine.KvCache;
import org.mulberrycross.engine.LayerRange;
import org.mulberrycross.engine.StepReply;
import org.mulberrycross.engine.StepRequest;
import org.mulberrycross.http.Json;

/**
 * Simulated engine that runs the steps of many streams in batches on one thread. Each
 * batch takes a fixed time, whatever its size. Thread-safe.
 */
public final class EngineStandin implements AutoCloseable {

	private static final int OK = 200;

	private static final int CONFLICT = 409;

	private static final int UNAVAILABLE = 503;

	private static final long MAX_CACHE_BYTES = 256L << 20;

	private static final Duration MAX_CACHE_IDLE_TIME = Duration.ofSeconds(60);

	private final LayerRange layers;

	private final int modelLayerCount;

	/** Guarded by {@link #caches}. */
	private String version;

	private final int batchLimit;

	private final long stepMicros;

	private final PriorityBlockingQueue<PendingStep> queue = new PriorityBlockingQueue<>(64,
			Comparator.comparingInt((PendingStep pending) -> -pending.request().priority())
				.thenComparingLong(PendingStep::arrival));

	private final AtomicLong nextArrival = new AtomicLong();

	private final StreamCaches caches = new StreamCaches(MAX_CACHE_BYTES, MAX_CACHE_IDLE_TIME.toNanos());

	private final Thread batchThread = new Thread(this::runBatches, "batch");

	private volatile int runningSteps;

	private volatile boolean draining;

	private volatile boolean closed;

	/**
	 * Creates an engine and starts its batch thread.
	 * @param layers the layers that it holds, not null
	 * @param modelLayerCount the number of layers of the complete model
	 * @param version the model version that it serves, not null
	 * @param batchLimit the maximum number of steps in a batch, at least 1
	 * @param stepMicros the duration of one batch, in microseconds
	 */
	public EngineStandin(LayerRange layers, int modelLayerCount, String version, int batchLimit, long stepMicros) {
		this.layers = layers;
		this.modelLayerCount = modelLayerCount;
		this.version = version;
		this.batchLimit = batchLimit;
		this.stepMicros = stepMicros;
		this.batchThread.setDaemon(true);
		this.batchThread.start();
	}

	/**
	 * Queues a step. Steps of a higher priority run first, steps of the same priority in
	 * the order of their arrival.
	 * @param request the step, not null
	 * @param replyReceiver receives the HTTP status and the body once the step has run or
	 * is refused; called on the batch thread
	 */
	public void submit(StepRequest request, BiConsumer<Integer, byte[]> replyReceiver) {
		this.queue.add(new PendingStep(request, this.nextArrival.getAndIncrement(), replyReceiver));
	}

	/**
	 * Returns the current load.
	 * @return the number of running and queued steps with the limits of the engine
	 */
	public EngineLoad load() {
		return new EngineLoad(this.runningSteps, this.queue.size(), this.batchLimit, this.stepMicros, this.draining);
	}

	/**
	 * Sets the model version that is served from the next step on. If it differs from the
	 * current one, all caches are dropped.
	 * @param newVersion the version, not null
	 */
	public void serveVersion(String newVersion) {
		synchronized (this.caches) {
			if (!newVersion.equals(this.version)) {
				this.version = newVersion;
				this.caches.clear();
			}
		}
	}

	private void runBatches() {
		List<PendingStep> batch = new ArrayList<>();
		while (!this.closed) {
			try {
				batch.add(this.queue.take());
			}
			catch (InterruptedException ex) {
				return;
			}
			this.queue.drainTo(batch, this.batchLimit - 1);
			this.runningSteps = batch.size();
			LockSupport.parkNanos(this.stepMicros * 1000);
			batch.forEach(this::runAndReply);
			batch.clear();
			this.runningSteps = 0;
		}
	}

	/**
	 * Sets whether the engine is about to stop. While it drains, it refuses new streams
	 * and continues those of which it has a cache.
	 * @param draining true if it is about to stop
	 */
	public void setDraining(boolean draining) {
		this.draining = draining;
	}

	/**
	 * Drops the cache of a stream, unless it belongs to a later attempt.
	 * @param stream the identifier of the stream, not null
	 * @param attempt the number of the attempt that is cancelled
	 */
	public void cancel(String stream, int attempt) {
		synchronized (this.caches) {
			if (this.caches.find(stream).filter((cache) -> cache.attempt() <= attempt).isPresent()) {
				this.caches.remove(stream);
			}
		}
	}

	/**
	 * Returns a copy of the cache of a stream.
	 * @param stream the identifier of the stream, not null
	 * @return the copy, or empty if the engine has no cache of the stream
	 */
	public Optional<KvCache> exportCache(String stream) {
		synchronized (this.caches) {
			return this.caches.find(stream).map((cache) -> cache.export(stream, this.version));
		}
	}

	/**
	 * Imports the cache of a stream, unless the engine has one of a later attempt.
	 * @param cache the cache, not null
	 * @return false if the cache was not imported because the engine has one of a later
	 * attempt, or because its model version, layers or size do not match the engine
	 */
	public boolean importCache(KvCache cache) {
		synchronized (this.caches) {
			boolean outdated = this.caches.find(cache.stream())
				.filter((existing) -> existing.attempt() > cache.attempt())
				.isPresent();
			boolean compatible = cache.version().equals(this.version) && this.layers.contains(cache.layers())
					&& cache.content().length == cache.layers().size() * Long.BYTES;
			if (outdated || !compatible) {
				return false;
			}
			StreamCache imported = new StreamCache(cache);
			imported.markUsed(System.nanoTime());
			this.caches.put(cache.stream(), imported);
			return true;
		}
	}

	private void runAndReply(PendingStep pending) {
		StepResponse response;
		synchronized (this.caches) {
			long nowNanos = System.nanoTime();
			response = runStep(pending.request(), nowNanos);
			this.caches.evict(nowNanos);
		}
		pending.replyReceiver().accept(response.status(), response.body());
	}

	private StepResponse runStep(StepRequest request, long nowNanos) {
		if (!request.version().equals(this.version) || !this.layers.contains(request.layers())) {
			return refusal(CONFLICT, "wrong version or layers");
		}
		Optional<StreamCache> existing = this.caches.find(request.stream());
		boolean startsStream = request.position() == 0
				&& existing.filter((cache) -> cache.attempt() >= request.attempt()).isEmpty();
		if (existing.isEmpty() && !startsStream) {
			return refusal(CONFLICT, "no cache of the stream");
		}
		if (existing.isEmpty() && this.draining) {
			return refusal(UNAVAILABLE, "leaving");
		}
		StreamCache cache = startsStream ? new StreamCache(request.layers(), request.attempt())
				: existing.orElseThrow();
		if (startsStream) {
			this.caches.put(request.stream(), cache);
		}
		if (request.attempt() < cache.attempt() || !request.layers().equals(cache.layers())) {
			return refusal(CONFLICT, "old attempt or other layers");
		}
		cache.markUsed(nowNanos);
		if (request.position() == cache.lastPosition() && request.attempt() == cache.attempt()) {
			return new StepResponse(OK, cache.lastReply());
		}
		if (request.position() != cache.nextPosition()) {
			return refusal(CONFLICT, "position is not " + cache.nextPosition());
		}
		cache.setAttempt(request.attempt());
		byte[] reply = Json.encode(compute(request, cache));
		cache.recordStep(request.position(), request.input().length, reply);
		return new StepResponse(OK, reply);
	}

	private static StepResponse refusal(int status, String reason) {
		return new StepResponse(status, Json.encode(Map.of("error", reason)));
	}

	private StepReply compute(StepRequest request, StreamCache cache) {
		long[] output = new long[request.input().length];
		for (int i = 0; i < output.length; i++) {
			long value = request.input()[i];
			for (int layer = request.layers().first(); layer < request.layers().end(); layer++) {
				value = ReferenceModel.runLayer(layer, this.version, value, cache.layerState(),
						layer - request.layers().first());
			}
			output[i] = value;
		}
		String text = "";
		if (request.layers().end() == this.modelLayerCount) {
			long token = ReferenceModel.nextToken(output[output.length - 1]);
			output = new long[] { token };
			text = ReferenceModel.tokenText(token);
		}
		return new StepReply(request.stream(), request.attempt(), this.version, request.layers(), request.position(),
				request.input().length, output, text, load());
	}

	@Override
	public void close() {
		this.closed = true;
		this.batchThread.interrupt();
	}

	/**
	 * Reply to a step.
	 *
	 * @param status the HTTP status
	 * @param body the reply or the error, as JSON
	 */
	private record StepResponse(int status, byte[] body) {

	}

	/**
	 * Queued step.
	 *
	 * @param request the step
	 * @param arrival the number of the step in the order of arrival
	 * @param replyReceiver receives the HTTP status and the body
	 */
	private record PendingStep(StepRequest request, long arrival, BiConsumer<Integer, byte[]> replyReceiver) {

	}

}
