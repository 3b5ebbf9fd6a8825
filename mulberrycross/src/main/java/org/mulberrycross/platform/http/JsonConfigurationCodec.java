package org.mulberrycross.platform.http;

import java.io.IOException;
import java.util.Objects;

import com.fasterxml.jackson.core.JsonProcessingException;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.operator.ObjectKind;
import org.mulberrycross.operator.OperatorObject;
import org.mulberrycross.operator.json.ObjectCodec;
import org.mulberrycross.platform.ConfigurationCodec;

/**
 * Encodes the values of objects in the object API as JSON. Thread-safe.
 */
public final class JsonConfigurationCodec implements ConfigurationCodec {

	private static final Peer PEER = new Peer(Peer.Kind.PLATFORM, "");

	@Override
	public byte[] encode(Record value) {
		Objects.requireNonNull(value, "value");
		try {
			return ObjectCodec.typedMapper().writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("cannot encode " + value.getClass().getName(), ex);
		}
	}

	@Override
	public <T extends Record> T decode(byte[] json, Class<T> type) throws PeerException {
		try {
			T value = ObjectCodec.typedMapper().readValue(json, type);
			if (value == null) {
				throw new PeerException(Step.CODEC, PEER, type.getSimpleName() + " is a JSON null");
			}
			return value;
		}
		catch (IOException ex) {
			throw new PeerException(Step.CODEC, PEER, "value is not a valid " + type.getSimpleName(), ex);
		}
	}

	@Override
	public byte[] encodeObject(OperatorObject object) {
		return ObjectCodec.encode(object);
	}

	@Override
	public OperatorObject decodeObject(ObjectKind kind, byte[] json) throws PeerException {
		return ObjectCodec.decode(kind, json);
	}

}
