package org.mulberrycross.router.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

import org.mulberrycross.caller.LengthEstimator;
import org.mulberrycross.caller.OutputBasis;
import org.mulberrycross.caller.OutputEstimate;
import org.mulberrycross.engine.EngineProfile;
import org.mulberrycross.engine.RequestTokens;

/**
 * Estimates the tokens of requests from the streams that were complete. Streams show
 * events, not tokens; the tokens of an event follow from the mean output of the service
 * and the mean number of events, and from the streams that end at their maximum. Confined
 * to the control thread; not thread-safe.
 */
final class RequestCosts {

	/** Maximum number of teams and routes whose outputs are remembered. */
	private static final int MAX_HISTORIES = 2000;

	/** Streams of a service after which the tokens of its events are taken as known. */
	private static final int MIN_STREAMS = 10;

	/** Minimum weight of a new stream in the mean number of events. */
	private static final double MIN_WEIGHT = 0.01;

	/** Expected output of a stream that exceeds its estimate, by what it has written. */
	private static final double OVERRUN_FACTOR = 1.25;

	private final LengthEstimator lengths = new LengthEstimator(MAX_HISTORIES);

	private final Map<String, EventCounts> eventsByService = new HashMap<>();

	// Returns the tokens to read and to write. What a resumed stream has written is read.
	RequestTokens estimate(RelayExchange exchange, String service, EngineProfile profile) {
		OutputEstimate output = this.lengths.estimate(basis(exchange, profile));
		double written = exchange.sentEvents() * tokensPerEvent(service, profile).orElse(0);
		return new RequestTokens(exchange.call().promptTokens() + written, Math.max(0, output.expected() - written),
				Math.max(0, output.high() - written));
	}

	// Returns the tokens of an attempt whose output has become longer than expected,
	// empty
	// if it has not. An output that is past its mean is likely to go on for long.
	Optional<RequestTokens> revise(RelayAttempt attempt, EngineProfile profile) {
		RequestTokens expected = attempt.heldTokens();
		String service = attempt.forwarding().upstream().service();
		double written = (attempt.exchange().sentEvents() - attempt.eventsBefore())
				* tokensPerEvent(service, profile).orElse(0);
		if (written <= expected.output()) {
			return Optional.empty();
		}
		double output = written * OVERRUN_FACTOR;
		return Optional.of(new RequestTokens(expected.prompt(), output, Math.max(output, expected.highOutput())));
	}

	// Records the length of a complete stream. Returns the tokens that it has written,
	// empty if they cannot be told.
	OptionalDouble recordCompleted(RelayExchange exchange, String service, EngineProfile profile) {
		long events = exchange.sentEvents();
		if (events == 0 || exchange.call().lastEventId().isPresent()) {
			return OptionalDouble.empty();
		}
		double maxTokens = exchange.call().maxOutputTokens();
		EventCounts stream = new EventCounts(1, events,
				(maxTokens > 0) ? maxTokens / events : Double.POSITIVE_INFINITY);
		this.eventsByService.merge(service, stream, EventCounts::plus);
		OptionalDouble tokensPerEvent = tokensPerEvent(service, profile);
		if (tokensPerEvent.isEmpty()) {
			return OptionalDouble.empty();
		}
		double tokens = events * tokensPerEvent.getAsDouble();
		this.lengths.recordLength(basis(exchange, profile), tokens);
		return OptionalDouble.of(tokens);
	}

	private OptionalDouble tokensPerEvent(String service, EngineProfile profile) {
		EventCounts counts = this.eventsByService.get(service);
		return (counts != null && counts.streams() >= MIN_STREAMS)
				? OptionalDouble.of(Math.min(counts.maxTokensPerEvent(), profile.meanOutputTokens() / counts.mean()))
				: OptionalDouble.empty();
	}

	private static OutputBasis basis(RelayExchange exchange, EngineProfile profile) {
		return new OutputBasis(exchange.team().orElse(""), exchange.rule().name(), exchange.call().outputHintTokens(),
				exchange.call().maxOutputTokens(), profile.meanOutputTokens());
	}

	/**
	 * Events of complete streams.
	 *
	 * @param streams the number of streams
	 * @param mean the running mean of their events
	 * @param maxTokensPerEvent the highest number of tokens of an event with which no
	 * stream has exceeded its maximum output
	 */
	private record EventCounts(long streams, double mean, double maxTokensPerEvent) {

		EventCounts plus(EventCounts stream) {
			double weight = Math.max(MIN_WEIGHT, 1.0 / (this.streams + 1));
			return new EventCounts(this.streams + 1, this.mean + weight * (stream.mean - this.mean),
					Math.min(this.maxTokensPerEvent, stream.maxTokensPerEvent));
		}

	}

}
