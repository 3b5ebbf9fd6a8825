package org.mulberrycross.service;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mulberrycross.RetryBudget;
import org.mulberrycross.operator.Configuration;
import org.mulberrycross.operator.ServiceOperation;
import org.mulberrycross.operator.UpstreamKind;
import org.mulberrycross.operator.UpstreamObject;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against unsafe, missing and unlimited retries on other upstreams.
 */
class ServiceCallerTest {

	private static final List<ServiceOperation> OPERATIONS = List.of(new ServiceOperation("POST", "/bookings", false));

	private static final ServiceCall CALL = new ServiceCall("team", "crew", "POST", "/bookings", "", "", new byte[0],
			Optional.of("key"));

	private final FakeIntentStore store = new FakeIntentStore(() -> FakeIntentStore.Fault.NONE);

	private final List<String> sentTo = new ArrayList<>();

	private final AtomicInteger nextToken = new AtomicInteger();

	/**
	 * Fails if a call is retried although it may run twice, or not retried although that
	 * is safe, or sent to an upstream that is leaving.
	 */
	@ParameterizedTest
	@CsvSource({ "false, NOT_RUN COMPLETED, COMPLETED, 2", "false, UNKNOWN COMPLETED, UNKNOWN, 1",
			"false, NOT_RUN UNKNOWN COMPLETED, UNKNOWN, 2", "false, NOT_RUN NOT_RUN NOT_RUN, NOT_RUN, 3",
			"true, UNKNOWN COMPLETED, COMPLETED, 2", "true, UNKNOWN NOT_RUN NOT_RUN, UNKNOWN, 3",
			"true, NOT_RUN NOT_RUN NOT_RUN, NOT_RUN, 3" })
	void outcomeDecidesRetry(boolean idempotent, String outcomes, CallOutcome.Kind expected, int expectedSends) {
		CallAnswer answer = caller(outcomes).call(CALL, idempotent);
		assertThat(answer.outcome().kind()).isEqualTo(expected);
		assertThat(this.sentTo).hasSize(expectedSends);
		assertThat(this.sentTo).containsNoDuplicates();
		assertThat(this.sentTo).doesNotContain("leaving");
	}

	/** Fails if a key is blocked after a call that did not run, or runs twice. */
	@Test
	void keyIsReusableOnlyAfterNotRun() {
		ServiceCaller caller = caller("NOT_RUN NOT_RUN NOT_RUN COMPLETED COMPLETED");
		assertThat(caller.call(CALL, false).outcome().kind()).isEqualTo(CallOutcome.Kind.NOT_RUN);
		assertThat(caller.call(CALL, false).kind()).isEqualTo(CallAnswer.Kind.ATTEMPTED);
		assertThat(caller.call(CALL, false).kind()).isEqualTo(CallAnswer.Kind.STORED);
		assertThat(this.sentTo).hasSize(4);
	}

	/** Fails if retries exceed a tenth of the calls by more than the permitted burst. */
	@Test
	void retryBudgetBoundsRetries() {
		RetryBudget budget = new RetryBudget(0.1, 20);
		int retries = 0;
		for (int call = 0; call < 1000; call++) {
			budget.recordCall();
			retries += budget.tryRetry() ? 1 : 0;
		}
		assertThat(retries).isAtMost(120);
	}

	private ServiceCaller caller(String outcomes) {
		Iterator<CallOutcome> remaining = Arrays.stream(outcomes.split(" ")).map(ServiceCallerTest::outcome).iterator();
		Configuration configuration = Configuration.of(1,
				Stream.of("a", "b", "c", "leaving").map(ServiceCallerTest::upstream).toList());
		ServiceClient client = (call, upstream, atMostOnce) -> {
			this.sentTo.add(upstream.name());
			return remaining.next();
		};
		Random random = new Random(1);
		return new ServiceCaller(new ServiceDirectory(() -> configuration, (upstream) -> false), client,
				UpstreamPolicy.uniform(), new IntentLedger(this.store, Duration.ofHours(1)),
				new AtMostOnceProtocol(
						new AtMostOnceProtocol.Limits(Duration.ofSeconds(30), Duration.ofSeconds(45), 64)),
				new ServiceCaller.Sources(() -> "token-" + this.nextToken.getAndIncrement(), () -> random, () -> 0,
						() -> Instant.EPOCH));
	}

	private static UpstreamObject upstream(String name) {
		return new UpstreamObject(name, UpstreamKind.SERVICE, "crew", "127.0.0.1:1", "dc", "", "", 0, 0, false,
				name.equals("leaving"), OPERATIONS);
	}

	private static CallOutcome outcome(String kind) {
		return switch (CallOutcome.Kind.valueOf(kind)) {
			case NOT_RUN -> CallOutcome.notRun("not run by the service");
			case UNKNOWN -> CallOutcome.unknown("response lost");
			case COMPLETED -> CallOutcome.completed(201, "", new byte[0]);
		};
	}

}
