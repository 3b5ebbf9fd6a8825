package org.mulberrycross.operator.json;

import java.io.IOException;
import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.http.Json;
import org.mulberrycross.operator.ModelObject;
import org.mulberrycross.operator.ObjectKind;
import org.mulberrycross.operator.OperatorObject;
import org.mulberrycross.operator.PipelineObject;
import org.mulberrycross.operator.TeamObject;
import org.mulberrycross.operator.UpstreamObject;

/**
 * Encodes and decodes operators' objects as JSON. Unknown fields are rejected, since a
 * misspelt field would otherwise be silently ignored. Thread-safe.
 */
public final class ObjectCodec {

	private static final ObjectReader STRICT_READER = Json.mapper()
		.reader()
		.with(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

	private static final ObjectMapper TYPED_MAPPER = Json.mapper()
		.copy()
		.addMixIn(OperatorObject.class, KindMixIn.class);

	private static final ObjectReader FILE_READER = TYPED_MAPPER.readerForListOf(OperatorObject.class)
		.with(DeserializationFeature.ACCEPT_SINGLE_VALUE_AS_ARRAY)
		.with(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

	private ObjectCodec() {
	}

	/**
	 * Returns a mapper that writes each object with its kind in the field {@code kind}
	 * and reads it back as an object of that kind. It ignores unknown fields.
	 * @return the shared mapper, which must not be reconfigured
	 */
	public static ObjectMapper typedMapper() {
		return TYPED_MAPPER;
	}

	/**
	 * Decodes a file with one object or a list of objects, each with its kind in the
	 * field {@code kind}.
	 * @param name the name of the file, for error messages
	 * @param json the JSON document in UTF-8, not null
	 * @return the objects in the order of the file
	 * @throws PeerException if the document is not valid, or an object is null or has
	 * unknown fields
	 */
	public static List<OperatorObject> decodeFile(String name, byte[] json) throws PeerException {
		Peer peer = new Peer(Peer.Kind.OPERATOR, name);
		try {
			List<OperatorObject> objects = FILE_READER.readValue(json);
			if (objects == null || objects.contains(null)) {
				throw new PeerException(Step.CODEC, peer, "the list contains a null object");
			}
			return objects;
		}
		catch (JsonProcessingException ex) {
			throw new PeerException(Step.CODEC, peer, ex.getOriginalMessage(), ex);
		}
		catch (IOException ex) {
			throw new PeerException(Step.CODEC, peer, "document is not an object or a list of objects", ex);
		}
	}

	/**
	 * Encodes an object.
	 * @param object the object, not null
	 * @return the JSON document in UTF-8, without the field {@code kind}
	 */
	public static byte[] encode(OperatorObject object) {
		Objects.requireNonNull(object, "object");
		return Json.encode(object);
	}

	/**
	 * Decodes an object.
	 * @param kind the kind of the object, not null
	 * @param json the JSON document in UTF-8, not null
	 * @return the object
	 * @throws PeerException if the document is not a valid object of that kind
	 */
	public static OperatorObject decode(ObjectKind kind, byte[] json) throws PeerException {
		// The messages are stored in status objects and compared with the stored ones, so
		// they must not change.
		Peer peer = new Peer(Peer.Kind.OPERATOR, kind.label());
		try {
			OperatorObject object = STRICT_READER.readValue(json, classOf(kind));
			if (object == null) {
				throw new PeerException(Step.CODEC, peer, kind.label() + " object is null");
			}
			return object;
		}
		catch (UnrecognizedPropertyException ex) {
			throw new PeerException(Step.CODEC, peer,
					kind.label() + " object has an unknown field '" + ex.getPropertyName() + "'", ex);
		}
		catch (IOException ex) {
			throw new PeerException(Step.CODEC, peer, "text is not a valid " + kind.label() + " object", ex);
		}
	}

	private static Class<? extends OperatorObject> classOf(ObjectKind kind) {
		return switch (kind) {
			case MODEL -> ModelObject.class;
			case PIPELINE -> PipelineObject.class;
			case TEAM -> TeamObject.class;
			case UPSTREAM -> UpstreamObject.class;
		};
	}

	/**
	 * Mix-in that adds the field {@code kind} to the JSON form of an object.
	 */
	@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
	@JsonSubTypes({ @JsonSubTypes.Type(value = ModelObject.class, name = "model"),
			@JsonSubTypes.Type(value = PipelineObject.class, name = "pipeline"),
			@JsonSubTypes.Type(value = TeamObject.class, name = "team"),
			@JsonSubTypes.Type(value = UpstreamObject.class, name = "upstream") })
	private interface KindMixIn {

	}

}
