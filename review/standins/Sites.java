import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Configurations like those of the small sites. */
final class Sites {

	static final String KEY = "n2ctnfzs989anu6wsjnb";

	private Sites() {
	}

	/** Makes a configuration with the limits of the pages and one tenant with one key. */
	static ObjectNode configuration(int version) {
		ObjectNode config = Store.JSON.createObjectNode().put("version", version);
		config.putArray("routes");
		config.putArray("services").addObject().put("name", "campo-ops").put("health-path", "/healthz").put(
				"max-connections", 110);
		config.putObject("limits")
			.put("max-header-bytes", 16384)
			.put("max-body-bytes", 4194304)
			.put("header-timeout-ms", 3000)
			.put("idle-timeout-ms", 15000);
		ArrayNode tenants = config.putArray("tenants");
		tenants.addObject().put("name", "hule930").put("priority", 1).putArray("api-keys").add(KEY);
		return config;
	}

	static ObjectNode withRoute(ObjectNode config, String prefix, String kind, int timeoutMillis, int attempts) {
		((ArrayNode) config.get("routes")).addObject()
			.put("name", "r" + prefix.replace('/', '-'))
			.put("host", "ficu95.example")
			.put("path-prefix", prefix)
			.put("route-kind", kind)
			.put("timeout-ms", timeoutMillis)
			.put("target-latency-ms", 300)
			.put("priority", 2)
			.put("service", "campo-ops")
			.put("max-attempts", attempts)
			.put("anonymous", false);
		return config;
	}

}
