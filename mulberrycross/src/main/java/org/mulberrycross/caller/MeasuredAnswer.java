package org.mulberrycross.caller;

import java.util.Objects;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.PeerException;

/**
 * Forwards an answer and counts the tokens that meet their latency targets. Not
 * thread-safe; used by one thread at a time.
 */
public final class MeasuredAnswer implements CallerAnswer {

	private final CallerAnswer delegate;

	private final MonotonicClock clock;

	private final long arrivalNanos;

	private final Targets targets;

	private final AnswerEndListener listener;

	private int tokens;

	private boolean firstTokenInTime;

	private int lateTokens;

	private long lastTokenNanos;

	/**
	 * Creates a measured answer.
	 * @param delegate receives the answer, not null
	 * @param clock the daemon's clock, not null
	 * @param arrivalNanos the time at which the request arrived, in nanoseconds
	 * @param targets the latency targets, not null
	 * @param listener receives the measurements when the answer has ended, not null
	 */
	public MeasuredAnswer(CallerAnswer delegate, MonotonicClock clock, long arrivalNanos, Targets targets,
			AnswerEndListener listener) {
		this.delegate = Objects.requireNonNull(delegate, "delegate");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.arrivalNanos = arrivalNanos;
		this.targets = Objects.requireNonNull(targets, "targets");
		this.listener = Objects.requireNonNull(listener, "listener");
	}

	@Override
	public void sendToken(int index, String text) throws PeerException {
		long now = this.clock.nanos();
		if (this.tokens == 0) {
			this.firstTokenInTime = now - this.arrivalNanos <= this.targets.firstTokenNanos();
		}
		else if (now - this.lastTokenNanos > this.targets.betweenTokensNanos()) {
			this.lateTokens++;
		}
		this.lastTokenNanos = now;
		this.tokens++;
		this.delegate.sendToken(index, text);
	}

	@Override
	public void complete() throws PeerException {
		this.delegate.complete();
		this.listener.onAnswerEnd(createMeasurement(true));
	}

	@Override
	public void fail(PeerException error) {
		this.delegate.fail(error);
		this.listener.onAnswerEnd(createMeasurement(false));
	}

	private LatencyMeasurement createMeasurement(boolean succeeded) {
		int tokensAfterFirst = Math.max(0, this.tokens - 1);
		return new LatencyMeasurement(this.tokens, this.firstTokenInTime, tokensAfterFirst - this.lateTokens,
				this.lateTokens, succeeded);
	}

	/**
	 * Latency targets of an answer. Immutable and thread-safe.
	 *
	 * @param firstTokenNanos the maximum time to the first token, in nanoseconds
	 * @param betweenTokensNanos the maximum time between two tokens, in nanoseconds
	 */
	public record Targets(long firstTokenNanos, long betweenTokensNanos) {

	}

	/**
	 * Latency measurements of an answer. Immutable and thread-safe.
	 *
	 * @param tokens the number of tokens that were forwarded
	 * @param firstTokenInTime whether the first token met its target
	 * @param tokensInTime the number of tokens after the first that met the target
	 * between tokens
	 * @param tokensLate the number of tokens after the first that missed the target
	 * between tokens
	 * @param succeeded true if the answer was completed, false if it failed
	 */
	public record LatencyMeasurement(int tokens, boolean firstTokenInTime, int tokensInTime, int tokensLate,
			boolean succeeded) {

	}

	/**
	 * Receives the measurements of answers.
	 */
	@FunctionalInterface
	public interface AnswerEndListener {

		/**
		 * Receives the measurements of an answer that was completed or failed.
		 * @param measurement the measurements, not null
		 */
		void onAnswerEnd(LatencyMeasurement measurement);

	}

}
