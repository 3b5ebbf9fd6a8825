package org.mulberrycross.standins.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.PriorityBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiConsumer;

import org.mulberrycross.engine.EngineLoad;
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

	private final LayerRange layers;

	private final int modelLayers;

	private volatile String version;

	private final int batchLimit;

	private final long stepMicros;

	private final PriorityBlockingQueue<Pending> queue = new PriorityBlockingQueue<>(64,
			Comparator.comparingInt((Pending pending) -> -pending.request().priority())
				.thenComparingLong(Pending::order));

	private final AtomicLong order = new AtomicLong();

	private final Map<String, StreamCache> caches = new HashMap<>();

	private final Thread batchThread = new Thread(this::runBatches, "batch");

	private volatile int running;

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
		return new EngineLoad(this.running, this.queue.size(), this.batchLimit, this.stepMicros, false);
	}

	/**
	 * Changes the model version that is served from the next step on.
	 * @param served the version, not null
	 */
	public void serve(String served) {
		this.version = served;
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

	private void run(Pending pending) {
		StepRequest request = pending.request();
		if (!request.version().equals(this.version) || !this.layers.contains(request.layers())) {
			pending.reply().accept(CONFLICT, Json.encode(Map.of("error", "wrong version or layers")));
			return;
		}
		StreamCache cache = this.caches.computeIfAbsent(request.stream(),
				(stream) -> new StreamCache(request.layers(), request.attempt()));
		if (request.attempt() < cache.attempt() || !request.layers().equals(cache.layers())) {
			pending.reply().accept(CONFLICT, Json.encode(Map.of("error", "old attempt or other layers")));
			return;
		}
		cache.attempt(request.attempt());
		if (request.position() == cache.lastPosition()) {
			pending.reply().accept(OK, cache.lastReply());
			return;
		}
		if (request.position() != cache.nextPosition()) {
			pending.reply().accept(CONFLICT, Json.encode(Map.of("error", "position is not " + cache.nextPosition())));
			return;
		}
		byte[] reply = Json.encode(compute(request, cache));
		cache.ran(request.position(), request.input().length, reply);
		pending.reply().accept(OK, reply);
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
	 * A step that waits for a batch.
	 *
	 * @param request the step
	 * @param order the order of arrival
	 * @param reply receives the result
	 */
	private record Pending(StepRequest request, long order, BiConsumer<Integer, byte[]> reply) {

	}

}
