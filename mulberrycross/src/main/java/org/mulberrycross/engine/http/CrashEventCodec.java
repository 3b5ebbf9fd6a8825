package org.mulberrycross.engine.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.engine.CrashCandidate;
import org.mulberrycross.engine.CrashEvent;
import org.mulberrycross.http.Json;

/**
 * Encodes events about requests that may crash engines as JSON and decodes them.
 * Thread-safe.
 */
public final class CrashEventCodec {

	private static final Peer STORE = new Peer(Peer.Kind.PLATFORM, "");

	private static final String LOST = "engine_lost";

	private static final String BEGUN = "part_begun";

	private static final String TRIAL = "trial_claimed";

	private CrashEventCodec() {
	}

	/**
	 * Encodes an event.
	 * @param event the event, not null
	 * @param atMillis the time of the event in Unix milliseconds
	 * @return the JSON text in UTF-8
	 */
	public static byte[] encode(CrashEvent event, long atMillis) {
		ObjectNode root = Json.mapper().createObjectNode().put("at_millis", atMillis);
		if (event instanceof CrashEvent.EngineLost lost) {
			root.put("event", LOST).put("engine", lost.engineId());
			ArrayNode candidates = root.putArray("crash_numbers");
			lost.candidates().forEach((candidate) -> {
				ObjectNode numbers = candidates.addObject();
				candidate.crashNumbers().forEach(numbers::put);
			});
		}
		else if (event instanceof CrashEvent.PartBegun begun) {
			root.put("event", BEGUN).put("part", begun.part());
		}
		else if (event instanceof CrashEvent.TrialClaimed trial) {
			root.put("event", TRIAL).put("part", trial.part()).put("crash_count", trial.crashCount());
		}
		return Json.encode(root);
	}

	/**
	 * Decodes an event.
	 * @param json the JSON text in UTF-8, not null
	 * @return the event
	 * @throws PeerException if the text is not a valid event
	 */
	public static CrashEvent decode(byte[] json) throws PeerException {
		JsonNode root = Json.decode(json, JsonNode.class, STORE);
		return switch (root.path("event").asText()) {
			case LOST -> new CrashEvent.EngineLost(requireText(root, "engine"), decodeCandidates(root));
			case BEGUN -> new CrashEvent.PartBegun(requireText(root, "part"));
			case TRIAL -> new CrashEvent.TrialClaimed(requireText(root, "part"),
					requirePositive(root.path("crash_count"), "crash_count"));
			default -> throw invalid("event");
		};
	}

	/**
	 * Decodes the time of an event.
	 * @param json the JSON text in UTF-8, not null
	 * @return the time in Unix milliseconds
	 * @throws PeerException if the text has none
	 */
	public static long decodeTimeMillis(byte[] json) throws PeerException {
		JsonNode atMillis = Json.decode(json, JsonNode.class, STORE).path("at_millis");
		if (!atMillis.isIntegralNumber() || !atMillis.canConvertToLong()) {
			throw invalid("at_millis");
		}
		return atMillis.longValue();
	}

	private static List<CrashCandidate> decodeCandidates(JsonNode root) throws PeerException {
		List<CrashCandidate> candidates = new ArrayList<>();
		for (JsonNode candidate : root.path("crash_numbers")) {
			Map<String, Integer> numbers = new HashMap<>();
			for (Map.Entry<String, JsonNode> entry : candidate.properties()) {
				numbers.put(entry.getKey(), requirePositive(entry.getValue(), "crash_numbers"));
			}
			candidates.add(new CrashCandidate(numbers));
		}
		return candidates;
	}

	private static String requireText(JsonNode root, String name) throws PeerException {
		JsonNode value = root.path(name);
		if (!value.isTextual() || value.textValue().isEmpty()) {
			throw invalid(name);
		}
		return value.textValue();
	}

	private static int requirePositive(JsonNode value, String name) throws PeerException {
		if (!value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < 1) {
			throw invalid(name);
		}
		return value.intValue();
	}

	private static PeerException invalid(String field) {
		return new PeerException(Step.CODEC, STORE, "crash event has no valid field " + field);
	}

}
