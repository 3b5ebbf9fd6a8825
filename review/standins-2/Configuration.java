import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The operator's configuration, written to the store as a whole with each version. */
final class Configuration {

	/** Number of layers of the model. */
	static final int LAYERS = 80;

	static final String HOST = "review.example";

	private final StoreStandIn store;

	private final List<String> keys = new ArrayList<>();

	private final List<ObjectNode> routes = new ArrayList<>();

	private final List<ObjectNode> services = new ArrayList<>();

	private long version = 5;

	Configuration(StoreStandIn store) {
		this.store = store;
	}

	Configuration addKey(String key) {
		this.keys.add(key);
		return this;
	}

	Configuration removeKey(String key) {
		this.keys.remove(key);
		return this;
	}

	/** Adds a route, or replaces the one with this prefix. */
	Configuration route(String prefix, String kind, String service) {
		return route(prefix, kind, service, 8000);
	}

	Configuration route(String prefix, String kind, String service, int timeoutMillis) {
		ObjectNode route = Json.object()
			.put("name", "r" + prefix.replace("/", "-"))
			.put("host", HOST)
			.put("path-prefix", prefix)
			.put("route-kind", kind)
			.put("timeout-ms", timeoutMillis)
			.put("target-latency-ms", 500)
			.put("priority", 1)
			.put("service", service)
			.put("max-attempts", kind.equals("unsafe") ? 1 : 2)
			.put("anonymous", false)
			.put("resumable", kind.equals("streaming"));
		if (kind.equals("streaming")) {
			route.put("gap-target-ms", 250).put("sticky", true);
		}
		this.routes.removeIf((present) -> present.path("path-prefix").asText().equals(prefix));
		this.routes.add(route);
		return this;
	}

	Configuration plainService(String name) {
		this.services.add(Json.object().put("name", name).put("health-path", "/healthz").put("max-connections", 110));
		return this;
	}

	/** Adds a service whose engines hold a model; each of them has memory for some layers of 100 MB. */
	Configuration modelService(String name, int megabytes) {
		ObjectNode service = Json.object()
			.put("name", name)
			.put("health-path", "/healthz")
			.put("max-connections", 978);
		ObjectNode params = service.putObject("engine-params");
		params.put("slots", 50)
			.put("kv-capacity", 100_000)
			.put("kv-token-bytes", 20_000)
			.put("link-mbps", 400_000.0)
			.put("stride", 4)
			.put("step_ms", 1.0)
			.put("per_seq_ms", 0.006)
			.put("context_per_k", 0.008)
			.put("read_per_s", 164_000.0)
			.put("pairs_per_m", 0.199)
			.put("chunk", 512)
			.put("report_lag_ms", 200.0)
			.put("loads_at_once", 6)
			.put("layers", LAYERS)
			.put("layer-mb", 100.0)
			.put("activation-bytes", 40_000)
			.put("pipe-mbps", 19_000.0);
		params.putArray("models").addObject().put("name", "m0").put("pace", 1.0).put("load-s", 0.8).put("warm-s", 0.1);
		params.putArray("delays");
		params.putObject("usual").put("prompt", 100).put("answer", 40);
		params.putArray("kinds")
			.addObject()
			.put("name", "a100")
			.put("size-mb", (double) megabytes)
			.put("pace", 1.0)
			.put("read-factor", 1.0);
		this.services.add(service);
		return this;
	}

	long version() {
		return this.version;
	}

	/** Writes the next version. Its answer is the acknowledgement. */
	void publish() {
		this.version += 3;
		write();
	}

	/** Writes the newest version once more. */
	void write() {
		ObjectNode root = Json.object().put("version", this.version);
		ArrayNode routeList = root.putArray("routes");
		this.routes.forEach(routeList::add);
		ArrayNode serviceList = root.putArray("services");
		this.services.forEach(serviceList::add);
		root.putObject("limits")
			.put("max-header-bytes", 16384)
			.put("max-body-bytes", 4194304)
			.put("header-timeout-ms", 3000)
			.put("idle-timeout-ms", 15000);
		ObjectNode tenant = root.putArray("tenants").addObject().put("name", "tenant-a").put("priority", 1);
		ArrayNode keyList = tenant.putArray("api-keys");
		this.keys.forEach(keyList::add);
		this.store.put("config", "main", root);
	}

}
