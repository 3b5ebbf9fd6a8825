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
 * Runs calls to services: those that must not be repeated by {@link CallProtocol}, the
 * others with retries on other upstreams. Thread-safe; blocks, so it runs on call
 * threads.
 */
public final class ServiceCaller implements ServiceGateway {

	/** Bounds retries to a tenth of the calls, so that they do not multiply the load. */
	private static final double RETRIES_PER_CALL = 0.1;

	/** Retries that can be saved up for a burst of failures. */
	private static final int MAX_SAVED_RETRIES = 20;

	private static final int MAX_ATTEMPTS = 3;

	private final ServiceDirectory directory;

	private final ServiceClient client;

	private final ServicePolicy policy;

	private final IntentLedger ledger;

	private final CallProtocol protocol;

	private final RetryBudget budget = new RetryBudget(RETRIES_PER_CALL, MAX_SAVED_RETRIES);

	private final Supplier<String> tokens;

	private final Supplier<RandomGenerator> random;

	private final MonotonicClock clock;

	private final InstantSource wallClock;

	/**
	 * Creates a caller.
	 * @param directory finds the upstreams of a service, not null
	 * @param client sends calls, not null
	 * @param policy chooses upstreams, not null
	 * @param ledger keeps the calls that must not be repeated, not null
	 * @param protocol decides their steps, not null
	 * @param sources sources of time and chance, not null
	 */
	public ServiceCaller(ServiceDirectory directory, ServiceClient client, ServicePolicy policy, IntentLedger ledger,
			CallProtocol protocol, Sources sources) {
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
		this.budget.earned();
		if (idempotent) {
			return new CallAnswer(CallAnswer.Kind.ATTEMPTED, send(call, false));
		}
		String key = call.idempotencyKey().filter((text) -> !text.isBlank()).orElse("");
		if (key.isEmpty()) {
			return new CallAnswer(CallAnswer.Kind.ATTEMPTED,
					CallOutcome.notRun("the operation is not idempotent and the call has no key"));
		}
		return callOnce(call, key);
	}

	/**
	 * Returns the time on the daemon's clocks.
	 * @return the time
	 */
	public CallProtocol.Now now() {
		return new CallProtocol.Now(this.clock.nanos(), this.wallClock.millis());
	}

	private CallAnswer callOnce(ServiceCall call, String key) {
		String token = this.tokens.get();
		AttemptInvariant invariant = new AttemptInvariant(token);
		Transition<CallState, CallAction> step = this.protocol.start(IntentLedger.name(call.team(), key),
				IntentLedger.digest(call), token, now());
		while (step.state().phase() != CallState.Phase.DONE) {
			CallAction action = step.actions().get(0);
			CallEvent event = (action instanceof CallAction.Send) ? sendOnce(call, invariant)
					: this.ledger.perform(action);
			step = this.protocol.next(step.state(), event, now());
		}
		CallAnswer answer = finish(step.actions());
		invariant.answered(answer);
		return answer;
	}

	private CallEvent sendOnce(ServiceCall call, AttemptInvariant invariant) {
		invariant.sending();
		CallOutcome outcome = send(call, true);
		invariant.sent(outcome);
		return new CallEvent.Sent(outcome);
	}

	private CallAnswer finish(List<CallAction> actions) {
		Optional<CallAnswer> answer = Optional.empty();
		for (CallAction action : actions) {
			if (action instanceof CallAction.Answer found) {
				answer = Optional.of(found.answer());
			}
			else if (action instanceof CallAction.Defer deferred) {
				this.ledger.defer(deferred.task(), this.clock.nanos());
			}
		}
		return answer.orElseThrow();
	}

	// Tries one upstream after another while that is safe: always after an outcome "not
	// run", and after an unknown outcome only if the call may be repeated.
	private CallOutcome send(ServiceCall call, boolean once) {
		Set<String> tried = new HashSet<>();
		CallOutcome outcome = CallOutcome.notRun("no upstream of service '" + call.service() + "' is available");
		boolean mayHaveRun = false;
		for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
			Optional<UpstreamObject> upstream = this.policy.choose(this.directory.candidates(call, tried),
					this.random.get());
			if (upstream.isEmpty() || (attempt > 0 && !this.budget.tryRetry())) {
				break;
			}
			tried.add(upstream.get().name());
			outcome = this.client.send(call, upstream.get(), once);
			mayHaveRun = mayHaveRun || outcome.kind() == CallOutcome.Kind.UNKNOWN;
			if (outcome.kind() == CallOutcome.Kind.COMPLETED || (once && mayHaveRun)) {
				return outcome;
			}
		}
		boolean hidden = mayHaveRun && outcome.kind() == CallOutcome.Kind.NOT_RUN;
		return hidden ? CallOutcome.unknown(outcome.reason()) : outcome;
	}

	/**
	 * Sources of time and chance. Immutable.
	 *
	 * @param tokens returns a new unique token at each call, not null
	 * @param random returns a generator for the calling thread, not null
	 * @param clock the daemon's monotonic clock, not null
	 * @param wallClock the daemon's wall clock, not null
	 */
	public record Sources(Supplier<String> tokens, Supplier<RandomGenerator> random, MonotonicClock clock,
			InstantSource wallClock) {

	}

}
