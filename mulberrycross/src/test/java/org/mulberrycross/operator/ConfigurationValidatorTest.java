package org.mulberrycross.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests the validation of a complete configuration.
 */
class ConfigurationValidatorTest {

	private static final String KEY_SHA256 = "ab".repeat(32);

	private static final ServiceOperation BOOK = new ServiceOperation("POST", "/book", false);

	private static List<OperatorObject> validObjects() {
		return List.of(model(8), pipeline("m", "v1", "", 100, 50), team("t", KEY_SHA256, 1, 5, "p", "rodding"),
				engine("m", 0, 4), UpstreamObject.service("s", "rodding", "127.0.0.1:9002", "dc1", List.of(BOOK)));
	}

	private static ModelObject model(int layers) {
		return new ModelObject("m", layers, List.of("v1"), List.of("a1"));
	}

	private static PipelineObject pipeline(String model, String version, String adapter, int maxTokens,
			int longTokens) {
		return new PipelineObject("p", model, version, adapter, maxTokens, longTokens);
	}

	private static TeamObject team(String name, String keySha256, int weight, int maxConcurrent, String... pipelines) {
		return new TeamObject(name, keySha256, weight, maxConcurrent, List.of(pipelines));
	}

	private static UpstreamObject engine(String model, int firstLayer, int endLayer) {
		return UpstreamObject.engine("e", "127.0.0.1:9001", "dc1", "gpu-a", model, firstLayer, endLayer);
	}

	private static UpstreamObject service(String name, String service, ServiceOperation... operations) {
		return UpstreamObject.service(name, service, "127.0.0.1:9003", "dc1", List.of(operations));
	}

	static Stream<Arguments> invalidObjects() {
		return Stream.of(Arguments.of(model(0), "model/m", "layers"), Arguments.of(model(2), "upstream/e", "end_layer"),
				Arguments.of(new ModelObject("m", 8, List.of(), List.of()), "model/m", "versions"),
				Arguments.of(new ModelObject("m", 8, List.of("v1", "v1"), List.of()), "model/m", "versions"),
				Arguments.of(new ModelObject("m", 8, List.of("v1"), List.of(" ")), "model/m", "adapters"),
				Arguments.of(new ModelObject("a b", 8, List.of("v1"), List.of()), "model/a b", "name"),
				Arguments.of(pipeline("none", "v1", "", 1, 1), "pipeline/p", "model"),
				Arguments.of(pipeline("m", "v9", "", 1, 1), "pipeline/p", "version"),
				Arguments.of(pipeline("m", "v1", "a9", 1, 1), "pipeline/p", "adapter"),
				Arguments.of(pipeline("m", "v1", "", 0, 1), "pipeline/p", "max_tokens"),
				Arguments.of(pipeline("m", "v1", "", 1, -1), "pipeline/p", "long_tokens"),
				Arguments.of(new PipelineObject("rodding", "m", "v1", "", 1, 1), "pipeline/rodding", "name"),
				Arguments.of(team("t", "AB".repeat(32), 1, 5), "team/t", "key_sha256"),
				Arguments.of(team("u", KEY_SHA256, 1, 5), "team/u", "key_sha256"),
				Arguments.of(team("t", KEY_SHA256, 0, 5), "team/t", "weight"),
				Arguments.of(team("t", KEY_SHA256, 1, 0), "team/t", "max_concurrent"),
				Arguments.of(team("t", KEY_SHA256, 1, 5, "none"), "team/t", "pipelines"),
				Arguments.of(team("t", KEY_SHA256, 1, 5, "p", "p"), "team/t", "pipelines"),
				Arguments.of(engine("none", 0, 1), "upstream/e", "model"),
				Arguments.of(engine("m", 0, 9), "upstream/e", "end_layer"),
				Arguments.of(engine("m", 3, 3), "upstream/e", "first_layer"),
				Arguments.of(engine("m", -1, 3), "upstream/e", "first_layer"),
				Arguments.of(UpstreamObject.engine("e", "nowhere", "dc1", "gpu-a", "m", 0, 1), "upstream/e", "address"),
				Arguments.of(UpstreamObject.engine("e", "h:1", "", "gpu-a", "m", 0, 1), "upstream/e", "data_centre"),
				Arguments.of(UpstreamObject.engine("e", "h:1", "dc1", "", "m", 0, 1), "upstream/e", "accelerator"),
				Arguments.of(service("s2", ""), "upstream/s2", "service"),
				Arguments.of(service("s2", "other"), "upstream/s2", "operations"),
				Arguments.of(service("s2", "other", new ServiceOperation("BOOK", "/x", true)), "upstream/s2",
						"operations"),
				Arguments.of(service("s2", "other", new ServiceOperation("GET", "x", true)), "upstream/s2",
						"operations"),
				Arguments.of(service("s2", "other", BOOK, BOOK), "upstream/s2", "operations"),
				Arguments.of(service("s2", "rodding", new ServiceOperation("POST", "/book", true)), "upstream/s2",
						"operations"));
	}

	/** Fails if an error is not found or is reported for another object or field. */
	@ParameterizedTest
	@MethodSource("invalidObjects")
	void reportsError(OperatorObject invalidObject, String key, String field) {
		List<OperatorObject> objects = new ArrayList<>(validObjects());
		objects.add(invalidObject);
		List<ValidationError> found = ConfigurationValidator.validate(Configuration.of(1, objects));
		assertThat(found.stream().map((error) -> error.key() + " " + error.field()).toList())
			.contains(key + " " + field);
	}

	/** Fails if a valid configuration is reported as invalid. */
	@Test
	void acceptsValidConfiguration() {
		assertThat(ConfigurationValidator.validate(Configuration.of(1, validObjects()))).isEmpty();
		assertThat(ConfigurationValidator.validate(Configuration.empty())).isEmpty();
	}

	/** Fails if only the first of several errors is reported. */
	@Test
	void reportsEveryError() {
		List<ValidationError> found = ConfigurationValidator.validate(Configuration.of(1, List.of(model(0),
				pipeline("none", "v1", "", 0, 0), team("t", "", 0, 0, "none"), engine("none", 2, 1))));
		assertThat(found.stream().map(ValidationError::field).toList()).containsExactly("layers", "max_tokens",
				"long_tokens", "model", "weight", "max_concurrent", "key_sha256", "pipelines", "first_layer", "model");
	}

}
