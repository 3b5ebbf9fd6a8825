package org.mulberrycross.http;

import java.io.IOException;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;

/**
 * Encodes and decodes records as JSON with field names in snake case. Unknown fields are
 * ignored when decoding, so that daemons of different versions can run side by side.
 * Thread-safe.
 */
public final class Json {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.addModule(new Jdk8Module())
		.propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.defaultPropertyInclusion(
				JsonInclude.Value.construct(JsonInclude.Include.NON_ABSENT, JsonInclude.Include.NON_ABSENT))
		.build();

	private Json() {
	}

	/**
	 * Returns the shared mapper, for code that needs JSON trees or a stricter reader.
	 * @return the mapper, which must not be reconfigured
	 */
	public static ObjectMapper mapper() {
		return MAPPER;
	}

	/**
	 * Encodes a value as JSON.
	 * @param value the value, not null
	 * @return the JSON text in UTF-8
	 * @throws IllegalArgumentException if the type of the value cannot be encoded, which
	 * is a programming error
	 */
	public static byte[] encode(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("cannot encode " + value.getClass().getName(), ex);
		}
	}

	/**
	 * Decodes a value from JSON.
	 * @param <T> the type of the value
	 * @param json the JSON text in UTF-8, not null
	 * @param type the type of the value, not null
	 * @param peer the peer that sent the text, reported in the exception
	 * @return the value, never null
	 * @throws PeerException if the text is JSON {@code null} or not valid for the type
	 */
	public static <T> T decode(byte[] json, Class<T> type, Peer peer) throws PeerException {
		try {
			T value = MAPPER.readValue(json, type);
			if (value == null) {
				throw new PeerException(Step.CODEC, peer, "message is null");
			}
			return value;
		}
		catch (IOException ex) {
			throw new PeerException(Step.CODEC, peer, "message is not a valid " + type.getSimpleName(), ex);
		}
	}

}
