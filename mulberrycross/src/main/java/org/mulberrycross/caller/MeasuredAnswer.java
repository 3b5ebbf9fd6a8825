package org.mulberrycross.caller;

import java.util.Objects;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.PeerException;

/**
 * Passes an answer on and measures it. Not thread-safe; used by one thread at a time.
 */
public final class MeasuredAnswer implements CallerAnswer {

	private final CallerAnswer target;

	private final MonotonicClock clock;

	private final long arrivalNanos;

	private final Targets targets;

	private final MeasureListener listener;

	private int tokens;

	private boolean firstInTime;

	private int late;

	private long lastNanos;

	/**
	 * Creates a measured answer.
	 * @param target receives the answer, not null
	 * @param clock the daemon's clock, not null
	 * @param arrivalNanos the time at which the request arrived
	 * @param targets the latency targets, not null
	 * @param listener receives the measures when the answer has ended, not null
	 */
	public MeasuredAnswer(CallerAnswer target, MonotonicClock clock, long arrivalNanos, Targets targets,
			MeasureListener listener) {
		this.target = Objects.requireNonNull(target, "target");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.arrivalNanos = arrivalNanos;
		this.targets = Objects.requireNonNull(targets, "targets");
		this.listener = Objects.requireNonNull(listener, "listener");
	}

	@Override
	public void token(int index, String text) throws PeerException {
		long now = this.clock.nanos();
		if (this.tokens == 0) {
			this.firstInTime = now - this.arrivalNanos <= this.targets.firstTokenNanos();
		}
		else if (now - this.lastNanos > this.targets.betweenTokensNanos()) {
			this.late++;
		}
		this.lastNanos = now;
		this.tokens++;
		this.target.token(index, text);
	}

	@Override
	public void complete() throws PeerException {
		this.target.complete();
		this.listener.ended(measure(true));
	}

	@Override
	public void fail(PeerException error) {
		this.target.fail(error);
		this.listener.ended(measure(false));
	}

	private Measure measure(boolean succeeded) {
		int later = Math.max(0, this.tokens - 1);
		return new Measure(this.tokens, this.firstInTime, later - this.late, this.late, succeeded);
	}

	/**
	 * Latency targets. Immutable and thread-safe.
	 *
	 * @param firstTokenNanos the time from arrival to the first token, in nanoseconds
	 * @param betweenTokensNanos the time between two tokens, in nanoseconds
	 */
	public record Targets(long firstTokenNanos, long betweenTokensNanos) {

	}

	/**
	 * Measures of an answer. Immutable and thread-safe.
	 *
	 * @param tokens the number of tokens that were sent
	 * @param firstTokenInTime whether the first token came in time
	 * @param tokensInTime the number of later tokens that came in time
	 * @param tokensLate the number of later tokens that came late
	 * @param succeeded whether the whole answer was sent
	 */
	public record Measure(int tokens, boolean firstTokenInTime, int tokensInTime, int tokensLate, boolean succeeded) {

	}

	/**
	 * Receives the measures of answers.
	 */
	@FunctionalInterface
	public interface MeasureListener {

		/**
		 * Receives the measures of an answer that has ended.
		 * @param measure the measures, not null
		 */
		void ended(Measure measure);

	}

}
