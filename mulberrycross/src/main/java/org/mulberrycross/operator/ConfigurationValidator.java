package org.mulberrycross.operator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.regex.Pattern;

import org.mulberrycross.Address;

/**
 * Finds every fault of a configuration: values out of range, references that do not
 * resolve, and objects that contradict one another. Engines that do not cover a model are
 * no fault, since engines come and go while the configuration stays. Not thread-safe; use
 * {@link #validate}, which is.
 */
public final class ConfigurationValidator {

	private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");

	private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

	private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE");

	private static final int MAX_LAYERS = 10_000;

	private static final int MAX_TOKENS = 10_000_000;

	private static final int MAX_WEIGHT = 1000;

	private static final int MAX_CONCURRENT = 1_000_000;

	private final Configuration configuration;

	private final List<Fault> faults = new ArrayList<>();

	private final Map<String, String> teamByKeyHash = new HashMap<>();

	private final Set<String> services = new HashSet<>();

	private final Map<String, UpstreamObject> firstByOperation = new HashMap<>();

	private ConfigurationValidator(Configuration configuration) {
		this.configuration = Objects.requireNonNull(configuration, "configuration");
	}

	/**
	 * Validates a configuration as a whole.
	 * @param configuration the configuration, not null
	 * @return every fault, in the order of the objects' keys; empty if it is valid
	 */
	public static List<Fault> validate(Configuration configuration) {
		return new ConfigurationValidator(configuration).run();
	}

	private List<Fault> run() {
		for (OperatorObject object : this.configuration.objects()) {
			if (object instanceof UpstreamObject upstream && upstream.type() == UpstreamKind.SERVICE) {
				this.services.add(upstream.service());
			}
		}
		for (OperatorObject object : this.configuration.objects()) {
			name(object, "name", object.name());
			switch (object.kind()) {
				case MODEL -> model((ModelObject) object);
				case PIPELINE -> pipeline((PipelineObject) object);
				case TEAM -> team((TeamObject) object);
				case UPSTREAM -> upstream((UpstreamObject) object);
			}
		}
		return List.copyOf(this.faults);
	}

	private void model(ModelObject model) {
		range(model, "layers", model.layers(), 1, MAX_LAYERS);
		if (model.versions().isEmpty()) {
			fault(model, "versions", "is empty, at least one version is required");
		}
		distinctTexts(model, "versions", model.versions());
		distinctTexts(model, "adapters", model.adapters());
	}

	private void pipeline(PipelineObject pipeline) {
		range(pipeline, "max_tokens", pipeline.maxTokens(), 1, MAX_TOKENS);
		range(pipeline, "long_tokens", pipeline.longTokens(), 1, MAX_TOKENS);
		if (this.services.contains(pipeline.name())) {
			fault(pipeline, "name", "is also the name of a service, which teams could not tell apart");
		}
		this.configuration.model(pipeline.model()).ifPresentOrElse((model) -> {
			if (!model.versions().contains(pipeline.version())) {
				fault(pipeline, "version", "'" + pipeline.version() + "' is not a version of " + model.key());
			}
			if (!pipeline.adapter().isEmpty() && !model.adapters().contains(pipeline.adapter())) {
				fault(pipeline, "adapter", "'" + pipeline.adapter() + "' is not an adapter of " + model.key());
			}
		}, () -> fault(pipeline, "model", "model '" + pipeline.model() + "' does not exist"));
	}

	private void team(TeamObject team) {
		range(team, "weight", team.weight(), 1, MAX_WEIGHT);
		range(team, "max_concurrent", team.maxConcurrent(), 1, MAX_CONCURRENT);
		if (!SHA256.matcher(team.keySha256()).matches()) {
			fault(team, "key_sha256", "is not a SHA-256 in 64 lower-case hexadecimal digits");
		}
		else {
			String other = this.teamByKeyHash.putIfAbsent(team.keySha256(), team.key());
			if (other != null) {
				fault(team, "key_sha256", "is also the key of " + other);
			}
		}
		distinctTexts(team, "pipelines", team.pipelines());
		for (String target : team.pipelines()) {
			if (this.configuration.pipeline(target).isEmpty() && !this.services.contains(target)) {
				fault(team, "pipelines", "there is no pipeline or service '" + target + "'");
			}
		}
	}

	private void upstream(UpstreamObject upstream) {
		try {
			Address.parse(upstream.address());
		}
		catch (IllegalArgumentException ex) {
			fault(upstream, "address", "'" + upstream.address() + "' is not of the form host:port");
		}
		if (upstream.dataCentre().isBlank()) {
			fault(upstream, "data_centre", "is empty");
		}
		if (upstream.type() == UpstreamKind.ENGINE) {
			engine(upstream);
		}
		else {
			service(upstream);
		}
	}

	private void engine(UpstreamObject engine) {
		if (engine.accelerator().isBlank()) {
			fault(engine, "accelerator", "is empty");
		}
		if (!engine.service().isEmpty() || !engine.operations().isEmpty()) {
			fault(engine, "service", "an engine has no service name and no operations");
		}
		if (engine.firstLayer() < 0 || engine.firstLayer() >= engine.endLayer()) {
			fault(engine, "first_layer",
					engine.firstLayer() + " is negative or not below end_layer " + engine.endLayer());
		}
		this.configuration.model(engine.model()).ifPresentOrElse((model) -> {
			if (engine.endLayer() > model.layers()) {
				fault(engine, "end_layer",
						engine.endLayer() + " is above the " + model.layers() + " layers of " + model.key());
			}
		}, () -> fault(engine, "model", "model '" + engine.model() + "' does not exist"));
	}

	private void service(UpstreamObject service) {
		name(service, "service", service.service());
		if (!service.model().isEmpty() || service.firstLayer() != 0 || service.endLayer() != 0) {
			fault(service, "model", "a service has no model and no layers");
		}
		if (service.operations().isEmpty()) {
			fault(service, "operations", "is empty, at least one operation is required");
		}
		Set<String> seen = new HashSet<>();
		for (ServiceOperation operation : service.operations()) {
			String call = operation.method() + " " + operation.path();
			if (!METHODS.contains(operation.method())) {
				fault(service, "operations", "method of '" + call + "' is not one of "
						+ String.join(", ", METHODS.stream().sorted().toList()));
			}
			if (!operation.path().startsWith("/")) {
				fault(service, "operations", "path of '" + call + "' does not start with '/'");
			}
			if (!seen.add(call)) {
				fault(service, "operations", "'" + call + "' is listed more than once");
			}
			agreement(service, operation, call);
		}
	}

	/**
	 * Reports upstreams of one service that disagree on whether an operation may be
	 * repeated, since a call that must not be repeated could be sent to both.
	 * @param service the upstream
	 * @param operation one of its operations
	 * @param call the method and path of the operation
	 */
	private void agreement(UpstreamObject service, ServiceOperation operation, String call) {
		UpstreamObject first = this.firstByOperation.putIfAbsent(service.service() + " " + call, service);
		if (first == null || first == service) {
			return;
		}
		if (!first.operations().contains(operation)) {
			fault(service, "operations", "'" + call + "' is idempotent or not, unlike in " + first.key());
		}
	}

	private void name(OperatorObject object, String field, String name) {
		if (!NAME.matcher(name).matches()) {
			fault(object, field, "'" + name + "' is not 1 to 100 letters, digits, '.', '_' or '-', "
					+ "starting with a letter or digit");
		}
	}

	private void range(OperatorObject object, String field, int value, int least, int most) {
		if (value < least || value > most) {
			fault(object, field, value + " is not from " + least + " to " + most);
		}
	}

	private void distinctTexts(OperatorObject object, String field, Collection<String> texts) {
		Set<String> seen = new HashSet<>();
		for (String text : texts) {
			if (text.isBlank()) {
				fault(object, field, "has an empty entry");
			}
			else if (!seen.add(text)) {
				fault(object, field, "lists '" + text + "' more than once");
			}
		}
	}

	private void fault(OperatorObject object, String field, String reason) {
		this.faults.add(new Fault(object.key(), field, reason));
	}

}
