package org.mulberrycross.service;

import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.RetryBudget;
import org.mulberrycross.Transition;
import org.mulberrycross.operator.UpstreamObject;

/**
 * Runs calls to services. Idempotent calls are retried on other upstreams; all others
 * follow {@link AtMostOnceProtocol}. Thread-safe; blocks, so it must run on call threads.
 */
public final class ServiceCaller implements ServiceGateway {

	/** Limits retries to a tenth of the calls, so that they do not multiply the load. */
	private static final double RETRIES_PER_CALL = 0.1;

	/** Maximum number of unused retries that are saved for a burst of failures. */
	private static final int MAX_SAVED_RETRIES = 20;

	private static final int MAX_UPSTREAMS_PER_CALL = 3;

	private final ServiceDirectory directory;

	private final ServiceClient client;

	private final UpstreamPolicy policy;

	private final IntentLedger ledger;

	private final AtMostOnceProtocol protocol;

	private final RetryBudget retryBudget = new RetryBudget(RETRIES_PER_CALL, MAX_SAVED_RETRIES);

	private final Supplier<String> tokens;

	private final Supplier<RandomGenerator> random;

	private final MonotonicClock clock;

	private final InstantSource wallClock;

	/**
	 * Creates a caller.
	 * @param directory finds the upstreams of a service, not null
	 * @param client sends calls, not null
	 * @param policy chooses among the upstreams of a service, not null
	 * @param ledger keeps the records of calls that must not be repeated, not null
	 * @param protocol decides the steps of calls that must not be repeated, not null
	 * @param sources clocks, tokens and random numbers, not null
	 */
	public ServiceCaller(ServiceDirectory directory, ServiceClient client, UpstreamPolicy policy, IntentLedger ledger,
			AtMostOnceProtocol protocol, Sources sources) {
		this.directory = Objects.requireNonNull(directory, "directory");
		this.client = Objects.requireNonNull(client, "client");
		this.policy = Objects.requireNonNull(policy, "policy");
		this.ledger = Objects.requireNonNull(ledger, "ledger");
		this.protocol = Objects.requireNonNull(protocol, "protocol");
		this.tokens = sources.tokens();
		this.random = sources.random();
		this.clock = sources.clock();
		this.wallClock = sources.wallClock();
	}

	@Override
	public CallAnswer call(ServiceCall call, boolean idempotent) {
		Objects.requireNonNull(call, "call");
		this.retryBudget.recordCall();
		if (idempotent) {
			return new CallAnswer(CallAnswer.Kind.ATTEMPTED, send(call, false));
		}
		String key = call.idempotencyKey().filter((text) -> !text.isBlank()).orElse("");
		if (key.isEmpty()) {
			return new CallAnswer(CallAnswer.Kind.ATTEMPTED,
					CallOutcome.notRun("the operation is not idempotent and the call has no idempotency key"));
		}
		return callAtMostOnce(call, key);
	}

	/**
	 * Reads both clocks of the daemon.
	 * @return the current readings
	 */
	public AtMostOnceProtocol.ClockReading now() {
		return new AtMostOnceProtocol.ClockReading(this.clock.nanos(), this.wallClock.millis());
	}

	private CallAnswer callAtMostOnce(ServiceCall call, String key) {
		String token = this.tokens.get();
		AttemptInvariant invariant = new AttemptInvariant(token);
		Transition<CallState, CallAction> transition = this.protocol.start(IntentLedger.recordName(call.team(), key),
				IntentLedger.requestDigest(call), token, now());
		while (transition.state().phase() != CallState.Phase.DONE) {
			CallAction action = transition.actions().get(0);
			CallEvent event = (action instanceof CallAction.Send) ? sendAtMostOnce(call, invariant)
					: this.ledger.perform(action);
			transition = this.protocol.next(transition.state(), event, now());
		}
		CallAnswer answer = performFinalActions(transition.actions());
		invariant.checkAnswer(answer);
		return answer;
	}

	private CallEvent sendAtMostOnce(ServiceCall call, AttemptInvariant invariant) {
		invariant.checkBeforeSend();
		CallOutcome outcome = send(call, true);
		invariant.recordSendOutcome(outcome);
		return new CallEvent.SendCompleted(outcome);
	}

	private CallAnswer performFinalActions(List<CallAction> actions) {
		Optional<CallAnswer> answer = Optional.empty();
		for (CallAction action : actions) {
			if (action instanceof CallAction.Answer answerAction) {
				answer = Optional.of(answerAction.answer());
			}
			else if (action instanceof CallAction.Defer defer) {
				this.ledger.defer(defer.task(), this.clock.nanos());
			}
		}
		return answer.orElseThrow();
	}

	// Retries on other upstreams while that is safe: after "not run" always, and after an
	// unknown outcome only if the call is idempotent.
	private CallOutcome send(ServiceCall call, boolean atMostOnce) {
		Set<String> usedUpstreams = new HashSet<>();
		CallOutcome outcome = CallOutcome.notRun("no upstream of service '" + call.service() + "' is available");
		boolean mayHaveRun = false;
		for (int sendCount = 0; sendCount < MAX_UPSTREAMS_PER_CALL; sendCount++) {
			Optional<UpstreamObject> upstream = this.policy.choose(this.directory.candidates(call, usedUpstreams),
					this.random.get());
			if (upstream.isEmpty() || (sendCount > 0 && !this.retryBudget.tryRetry())) {
				break;
			}
			usedUpstreams.add(upstream.get().name());
			outcome = this.client.send(call, upstream.get(), atMostOnce);
			mayHaveRun = mayHaveRun || outcome.kind() == CallOutcome.Kind.UNKNOWN;
			if (outcome.kind() == CallOutcome.Kind.COMPLETED || (atMostOnce && mayHaveRun)) {
				return outcome;
			}
		}
		boolean earlierSendMayHaveRun = mayHaveRun && outcome.kind() == CallOutcome.Kind.NOT_RUN;
		return earlierSendMayHaveRun ? CallOutcome.unknown(outcome.reason()) : outcome;
	}

	/**
	 * Clocks, tokens and random numbers that a caller uses. Immutable.
	 *
	 * @param tokens returns a new unique token on each call, not null
	 * @param random returns the random generator of the calling thread, not null
	 * @param clock the daemon's monotonic clock, not null
	 * @param wallClock the daemon's wall clock, not null
	 */
	public record Sources(Supplier<String> tokens, Supplier<RandomGenerator> random, MonotonicClock clock,
			InstantSource wallClock) {

	}

}
