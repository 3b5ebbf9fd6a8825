import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The JSON mapper of all stand-ins. */
final class Json {

	static final ObjectMapper MAPPER = new ObjectMapper();

	private Json() {
	}

	static ObjectNode object() {
		return MAPPER.createObjectNode();
	}

}
