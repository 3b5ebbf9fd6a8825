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
 * Finds every error of a configuration: values out of range, references that do not
 * resolve, and objects that conflict with one another. Layers of a model that no engine
 * serves are not an error, since engines join and leave without a change of the model.
 * Instances are not thread-safe; the static method {@link #validate} is.
 */
public final class ConfigurationValidator {

	private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");

	private static final Pattern SHA256_PATTERN = Pattern.compile("[0-9a-f]{64}");

	private static final Set<String> ALLOWED_METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE");

	private static final int MAX_LAYERS = 10_000;

	private static final int MAX_TOKENS = 10_000_000;

	private static final int MAX_WEIGHT = 1000;

	private static final int MAX_CONCURRENT_REQUESTS = 1_000_000;

	private final Configuration configuration;

	private final List<ValidationError> errors = new ArrayList<>();

	private final Map<String, String> teamByKeyHash = new HashMap<>();

	private final Set<String> serviceNames = new HashSet<>();

	private final Map<String, UpstreamObject> firstUpstreamByOperation = new HashMap<>();

	private ConfigurationValidator(Configuration configuration) {
		this.configuration = Objects.requireNonNull(configuration, "configuration");
	}

	/**
	 * Validates all objects of a configuration and the references between them.
	 * @param configuration the configuration, not null
	 * @return every error, ordered by the key of the object; empty if the configuration
	 * is valid
	 */
	public static List<ValidationError> validate(Configuration configuration) {
		return new ConfigurationValidator(configuration).validateAll();
	}

	private List<ValidationError> validateAll() {
		for (OperatorObject object : this.configuration.objects()) {
			if (object instanceof UpstreamObject upstream && upstream.type() == UpstreamKind.SERVICE) {
				this.serviceNames.add(upstream.service());
			}
		}
		for (OperatorObject object : this.configuration.objects()) {
			validateName(object, "name", object.name());
			switch (object.kind()) {
				case MODEL -> validateModel((ModelObject) object);
				case PIPELINE -> validatePipeline((PipelineObject) object);
				case TEAM -> validateTeam((TeamObject) object);
				case UPSTREAM -> validateUpstream((UpstreamObject) object);
			}
		}
		return List.copyOf(this.errors);
	}

	private void validateModel(ModelObject model) {
		validateRange(model, "layers", model.layers(), 1, MAX_LAYERS);
		if (model.versions().isEmpty()) {
			addError(model, "versions", "is empty, at least one version is required");
		}
		validateDistinct(model, "versions", model.versions());
		validateDistinct(model, "adapters", model.adapters());
	}

	private void validatePipeline(PipelineObject pipeline) {
		validateRange(pipeline, "max_tokens", pipeline.maxTokens(), 1, MAX_TOKENS);
		validateRange(pipeline, "long_tokens", pipeline.longTokens(), 1, MAX_TOKENS);
		if (this.serviceNames.contains(pipeline.name())) {
			addError(pipeline, "name", "is also the name of a service, which teams could not tell apart");
		}
		this.configuration.model(pipeline.model()).ifPresentOrElse((model) -> {
			if (!model.versions().contains(pipeline.version())) {
				addError(pipeline, "version", "'" + pipeline.version() + "' is not a version of " + model.key());
			}
			if (!pipeline.adapter().isEmpty() && !model.adapters().contains(pipeline.adapter())) {
				addError(pipeline, "adapter", "'" + pipeline.adapter() + "' is not an adapter of " + model.key());
			}
		}, () -> addError(pipeline, "model", "model '" + pipeline.model() + "' does not exist"));
	}

	private void validateTeam(TeamObject team) {
		validateRange(team, "weight", team.weight(), 1, MAX_WEIGHT);
		validateRange(team, "max_concurrent", team.maxConcurrent(), 1, MAX_CONCURRENT_REQUESTS);
		if (!SHA256_PATTERN.matcher(team.keySha256()).matches()) {
			addError(team, "key_sha256", "is not a SHA-256 in 64 lower-case hexadecimal digits");
		}
		else {
			String otherTeam = this.teamByKeyHash.putIfAbsent(team.keySha256(), team.key());
			if (otherTeam != null) {
				addError(team, "key_sha256", "is also the key of " + otherTeam);
			}
		}
		validateDistinct(team, "pipelines", team.pipelines());
		for (String pipelineOrService : team.pipelines()) {
			if (this.configuration.pipeline(pipelineOrService).isEmpty()
					&& !this.serviceNames.contains(pipelineOrService)) {
				addError(team, "pipelines", "there is no pipeline or service '" + pipelineOrService + "'");
			}
		}
	}

	private void validateUpstream(UpstreamObject upstream) {
		try {
			Address.parse(upstream.address());
		}
		catch (IllegalArgumentException ex) {
			addError(upstream, "address", "'" + upstream.address() + "' is not of the form host:port");
		}
		if (upstream.dataCentre().isBlank()) {
			addError(upstream, "data_centre", "is empty");
		}
		if (upstream.type() == UpstreamKind.ENGINE) {
			validateEngine(upstream);
		}
		else {
			validateService(upstream);
		}
	}

	private void validateEngine(UpstreamObject engine) {
		if (engine.accelerator().isBlank()) {
			addError(engine, "accelerator", "is empty");
		}
		if (!engine.service().isEmpty() || !engine.operations().isEmpty()) {
			addError(engine, "service", "an engine has no service name and no operations");
		}
		if (engine.firstLayer() < 0 || engine.firstLayer() >= engine.endLayer()) {
			addError(engine, "first_layer",
					engine.firstLayer() + " is negative or not below end_layer " + engine.endLayer());
		}
		this.configuration.model(engine.model()).ifPresentOrElse((model) -> {
			if (engine.endLayer() > model.layers()) {
				addError(engine, "end_layer",
						engine.endLayer() + " is above the " + model.layers() + " layers of " + model.key());
			}
		}, () -> addError(engine, "model", "model '" + engine.model() + "' does not exist"));
	}

	private void validateService(UpstreamObject service) {
		validateName(service, "service", service.service());
		if (!service.model().isEmpty() || service.firstLayer() != 0 || service.endLayer() != 0) {
			addError(service, "model", "a service has no model and no layers");
		}
		if (service.operations().isEmpty()) {
			addError(service, "operations", "is empty, at least one operation is required");
		}
		Set<String> seenOperations = new HashSet<>();
		for (ServiceOperation operation : service.operations()) {
			String methodAndPath = operation.method() + " " + operation.path();
			if (!ALLOWED_METHODS.contains(operation.method())) {
				addError(service, "operations", "method of '" + methodAndPath + "' is not one of "
						+ String.join(", ", ALLOWED_METHODS.stream().sorted().toList()));
			}
			if (!operation.path().startsWith("/")) {
				addError(service, "operations", "path of '" + methodAndPath + "' does not start with '/'");
			}
			if (!seenOperations.add(methodAndPath)) {
				addError(service, "operations", "'" + methodAndPath + "' is listed more than once");
			}
			validateIdempotencyAgreement(service, operation, methodAndPath);
		}
	}

	/**
	 * Reports upstreams of one service that disagree on whether an operation is
	 * idempotent, since a retry could then send a call that is not idempotent to both.
	 * @param service the upstream
	 * @param operation one of its operations
	 * @param methodAndPath the method and path of the operation
	 */
	private void validateIdempotencyAgreement(UpstreamObject service, ServiceOperation operation,
			String methodAndPath) {
		UpstreamObject firstUpstream = this.firstUpstreamByOperation
			.putIfAbsent(service.service() + " " + methodAndPath, service);
		if (firstUpstream == null || firstUpstream == service) {
			return;
		}
		if (!firstUpstream.operations().contains(operation)) {
			addError(service, "operations",
					"'" + methodAndPath + "' is idempotent or not, unlike in " + firstUpstream.key());
		}
	}

	private void validateName(OperatorObject object, String field, String name) {
		if (!NAME_PATTERN.matcher(name).matches()) {
			addError(object, field, "'" + name + "' is not 1 to 100 letters, digits, '.', '_' or '-', "
					+ "starting with a letter or digit");
		}
	}

	private void validateRange(OperatorObject object, String field, int value, int min, int max) {
		if (value < min || value > max) {
			addError(object, field, value + " is not from " + min + " to " + max);
		}
	}

	private void validateDistinct(OperatorObject object, String field, Collection<String> values) {
		Set<String> seen = new HashSet<>();
		for (String value : values) {
			if (value.isBlank()) {
				addError(object, field, "has an empty entry");
			}
			else if (!seen.add(value)) {
				addError(object, field, "lists '" + value + "' more than once");
			}
		}
	}

	// The text of a reason is stored in status objects and compared with the stored one,
	// so it must not change.
	private void addError(OperatorObject object, String field, String reason) {
		this.errors.add(new ValidationError(object.key(), field, reason));
	}

}
