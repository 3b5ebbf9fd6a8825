package org.mulberrycross.platform;

import org.mulberrycross.PeerException;
import org.mulberrycross.operator.ObjectKind;
import org.mulberrycross.operator.OperatorObject;

/**
 * Encodes and decodes values in the object API. Implementations are thread-safe.
 */
public interface ConfigurationCodec {

	/**
	 * Encodes one of this package's records or an
	 * {@link org.mulberrycross.operator.ObjectStatus}.
	 * @param value the value, not null
	 * @return the JSON document in UTF-8
	 */
	byte[] encode(Record value);

	/**
	 * Decodes one of this package's records or an
	 * {@link org.mulberrycross.operator.ObjectStatus}.
	 * @param <T> the type of the record
	 * @param json the JSON document in UTF-8, not null
	 * @param type the type of the record, not null
	 * @return the record
	 * @throws PeerException if the document is not a valid record of that type
	 */
	<T extends Record> T decode(byte[] json, Class<T> type) throws PeerException;

	/**
	 * Encodes an operator's object.
	 * @param object the object, not null
	 * @return the JSON document in UTF-8
	 */
	byte[] encodeObject(OperatorObject object);

	/**
	 * Decodes an operator's object.
	 * @param kind the kind of the object, not null
	 * @param json the JSON document in UTF-8, not null
	 * @return the object
	 * @throws PeerException if the document is not a valid object of that kind
	 */
	OperatorObject decodeObject(ObjectKind kind, byte[] json) throws PeerException;

}
