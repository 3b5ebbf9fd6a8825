package org.mulberrycross.sibling;

import java.util.Objects;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.ControlThread;
import org.mulberrycross.PeerException;

/**
 * Runs calls that block on threads of its own and hands their results to the control
 * thread. Idle threads end. Thread-safe.
 */
public final class SiblingCalls implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(SiblingCalls.class);

	private static final long IDLE_SECONDS = 10;

	private final ControlThread controlThread;

	private final ThreadPoolExecutor executor;

	/**
	 * Creates an object without running threads.
	 * @param controlThread the thread that handles the results, not null
	 * @param threads the maximum number of calls that run at a time, at least 1
	 * @param maxQueued the maximum number of calls that wait for a thread, at least 1
	 */
	public SiblingCalls(ControlThread controlThread, int threads, int maxQueued) {
		this.controlThread = Objects.requireNonNull(controlThread, "controlThread");
		this.executor = new ThreadPoolExecutor(threads, threads, IDLE_SECONDS, TimeUnit.SECONDS,
				new LinkedBlockingQueue<>(maxQueued));
		this.executor.allowCoreThreadTimeOut(true);
	}

	/**
	 * Starts a call. One that cannot be queued has failed at once.
	 * @param <T> the type of the reply
	 * @param call the call, not null
	 * @param onReply handles the reply on the control thread, not null
	 * @param onFailure handles a call without a valid reply on the control thread, or at
	 * once on the calling thread; not null
	 */
	public <T> void start(PeerCall<T> call, Consumer<T> onReply, Runnable onFailure) {
		boolean queued = execute(() -> {
			try {
				T reply = call.call();
				this.controlThread.post(() -> onReply.accept(reply));
			}
			catch (PeerException ex) {
				logger.debug("exchange failed: {}", ex.toString());
				this.controlThread.post(onFailure);
			}
		});
		if (!queued) {
			onFailure.run();
		}
	}

	/**
	 * Runs a task without a result.
	 * @param task the task, not null
	 * @return false if the task cannot be queued and will not run
	 */
	public boolean execute(Runnable task) {
		try {
			this.executor.execute(task);
			return true;
		}
		catch (RejectedExecutionException ex) {
			return false;
		}
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	/**
	 * A call of a peer.
	 *
	 * @param <T> the type of the reply
	 */
	@FunctionalInterface
	public interface PeerCall<T> {

		/**
		 * Makes the call.
		 * @return the reply
		 * @throws PeerException if no valid reply arrives
		 */
		T call() throws PeerException;

	}

}
