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
 * Engine that runs steps of many streams in batches on one thread, each batch taking a
 * stated time. Thread-safe.
 */
public final class EngineStandin implements AutoCloseable {

	private static final int OK = 200;

	private static final int CONFLICT = 409;

	private static final int UNAVAILABLE = 503;

	private static final long MAX_CACHE_BYTES = 256L << 20;

	private static final Duration IDLE_LIMIT = Duration.ofSeconds(60);

	private final LayerRange layers;

	private final int modelLayers;

	private String version;

	private final int batchLimit;

	private final long stepMicros;

	private final PriorityBlockingQueue<Pending> queue = new PriorityBlockingQueue<>(64,
			Comparator.comparingInt((Pending pending) -> -pending.request().priority())
				.thenComparingLong(Pending::order));

	private final AtomicLong order = new AtomicLong();

	private final StreamCaches caches = new StreamCaches(MAX_CACHE_BYTES, IDLE_LIMIT.toNanos());

	private final Thread batchThread = new Thread(this::runBatches, "batch");

	private volatile int running;

	private volatile boolean leaving;

	private volatile boolean closed;

	/**
	 * Starts an engine.
	 * @param layers the layers that it holds, not null
	 * @param modelLayers the number of layers of the model
	 * @param version the model version that it serves, not null
	 * @param batchLimit the largest batch, at least 1
	 * @param stepMicros the time of one batch, in microseconds
	 */
	public EngineStandin(LayerRange layers, int modelLayers, String version, int batchLimit, long stepMicros) {
		this.layers = layers;
		this.modelLayers = modelLayers;
		this.version = version;
		this.batchLimit = batchLimit;
		this.stepMicros = stepMicros;
		this.batchThread.setDaemon(true);
		this.batchThread.start();
	}

	/**
	 * Queues a step.
	 * @param request the step, not null
	 * @param reply receives the status and the body once the step has run; called on the
	 * batch thread
	 */
	public void submit(StepRequest request, BiConsumer<Integer, byte[]> reply) {
		this.queue.add(new Pending(request, this.order.getAndIncrement(), reply));
	}

	/**
	 * Returns the current load.
	 * @return the load
	 */
	public EngineLoad load() {
		return new EngineLoad(this.running, this.queue.size(), this.batchLimit, this.stepMicros, this.leaving);
	}

	/**
	 * Changes the model version that is served from the next step on. Caches of another
	 * version are dropped.
	 * @param served the version, not null
	 */
	public void serve(String served) {
		synchronized (this.caches) {
			if (!served.equals(this.version)) {
				this.version = served;
				this.caches.clear();
			}
		}
	}

	private void runBatches() {
		List<Pending> batch = new ArrayList<>();
		while (!this.closed) {
			try {
				batch.add(this.queue.take());
			}
			catch (InterruptedException ex) {
				return;
			}
			this.queue.drainTo(batch, this.batchLimit - 1);
			this.running = batch.size();
			LockSupport.parkNanos(this.stepMicros * 1000);
			batch.forEach(this::run);
			batch.clear();
			this.running = 0;
		}
	}

	/**
	 * Sets whether the engine is about to stop. It then takes no new streams.
	 * @param on whether it is
	 */
	public void leaving(boolean on) {
		this.leaving = on;
	}

	/**
	 * Drops the cache of a stream, unless a later attempt uses it.
	 * @param stream the identifier of the stream, not null
	 * @param attempt the attempt that ended
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
	 * @return the cache, or empty if there is none
	 */
	public Optional<KvCache> exportCache(String stream) {
		synchronized (this.caches) {
			return this.caches.find(stream).map((cache) -> cache.export(stream, this.version));
		}
	}

	/**
	 * Takes over the cache of a stream.
	 * @param cache the cache, not null
	 * @return false if it is of another version or of layers that are not held, or a
	 * later attempt of the stream is here
	 */
	public boolean importCache(KvCache cache) {
		synchronized (this.caches) {
			boolean older = this.caches.find(cache.stream())
				.filter((known) -> known.attempt() > cache.attempt())
				.isPresent();
			boolean fits = cache.version().equals(this.version) && this.layers.contains(cache.layers())
					&& cache.content().length == cache.layers().size() * Long.BYTES;
			if (older || !fits) {
				return false;
			}
			StreamCache imported = new StreamCache(cache);
			imported.used(System.nanoTime());
			this.caches.put(cache.stream(), imported);
			return true;
		}
	}

	private void run(Pending pending) {
		Outcome outcome;
		synchronized (this.caches) {
			long now = System.nanoTime();
			outcome = run(pending.request(), now);
			this.caches.trim(now);
		}
		pending.reply().accept(outcome.status(), outcome.body());
	}

	private Outcome run(StepRequest request, long now) {
		if (!request.version().equals(this.version) || !this.layers.contains(request.layers())) {
			return refused(CONFLICT, "wrong version or layers");
		}
		Optional<StreamCache> known = this.caches.find(request.stream());
		boolean starts = request.position() == 0
				&& known.filter((cache) -> cache.attempt() >= request.attempt()).isEmpty();
		if (known.isEmpty() && !starts) {
			return refused(CONFLICT, "no cache of the stream");
		}
		if (known.isEmpty() && this.leaving) {
			return refused(UNAVAILABLE, "leaving");
		}
		StreamCache cache = starts ? new StreamCache(request.layers(), request.attempt()) : known.orElseThrow();
		if (starts) {
			this.caches.put(request.stream(), cache);
		}
		if (request.attempt() < cache.attempt() || !request.layers().equals(cache.layers())) {
			return refused(CONFLICT, "old attempt or other layers");
		}
		cache.used(now);
		if (request.position() == cache.lastPosition() && request.attempt() == cache.attempt()) {
			return new Outcome(OK, cache.lastReply());
		}
		if (request.position() != cache.nextPosition()) {
			return refused(CONFLICT, "position is not " + cache.nextPosition());
		}
		cache.attempt(request.attempt());
		byte[] reply = Json.encode(compute(request, cache));
		cache.ran(request.position(), request.input().length, reply);
		return new Outcome(OK, reply);
	}

	private static Outcome refused(int status, String reason) {
		return new Outcome(status, Json.encode(Map.of("error", reason)));
	}

	private StepReply compute(StepRequest request, StreamCache cache) {
		long[] output = new long[request.input().length];
		for (int i = 0; i < output.length; i++) {
			long value = request.input()[i];
			for (int layer = request.layers().first(); layer < request.layers().end(); layer++) {
				value = ReferenceModel.layer(layer, this.version, value, cache.state(),
						layer - request.layers().first());
			}
			output[i] = value;
		}
		String text = "";
		if (request.layers().end() == this.modelLayers) {
			long token = ReferenceModel.token(output[output.length - 1]);
			output = new long[] { token };
			text = ReferenceModel.text(token);
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
	 * The answer to a step.
	 *
	 * @param status the status
	 * @param body the body
	 */
	private record Outcome(int status, byte[] body) {

	}

	/**
	 * A step that waits for a batch.
	 *
	 * @param request the step
	 * @param order the order of arrival
	 * @param reply receives the result
	 */
	private record Pending(StepRequest request, long order, BiConsumer<Integer, byte[]> reply) {

	}

}
