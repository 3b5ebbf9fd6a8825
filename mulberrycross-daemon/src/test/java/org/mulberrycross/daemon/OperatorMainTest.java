package org.mulberrycross.daemon;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests the exit codes and error messages of the operators' command line, which scripts
 * and operators rely on to tell invalid input from an unreachable platform.
 */
class OperatorMainTest {

	private static final String MODEL_JSON = "{\"kind\":\"model\",\"name\":\"m\",\"layers\":4,\"versions\":[\"v1\"]}";

	@TempDir
	private Path directory;

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	private int run(String... arguments) {
		return OperatorMain.run(arguments, new PrintStream(this.out), new PrintStream(this.err));
	}

	private String writeFile(String text) throws IOException {
		return Files.writeString(this.directory.resolve("objects.json"), text).toString();
	}

	static Stream<Arguments> invalidFiles() {
		return Stream.of(Arguments.of("{", "objects.json"), Arguments.of("{\"name\":\"m\"}", "kind"),
				Arguments.of("{\"kind\":\"queue\",\"name\":\"m\"}", "queue"),
				Arguments.of(MODEL_JSON.replace("layers", "layrs"), "layrs"), Arguments.of("[null]", "null"),
				Arguments.of("[" + MODEL_JSON + "," + MODEL_JSON + "]", "more than once"),
				Arguments.of(MODEL_JSON.replace("4", "0"), "model/m: layers: 0 is not from 1"));
	}

	/**
	 * Guards against invalid objects that pass validation, and against errors that do not
	 * name the invalid file, field or value.
	 */
	@ParameterizedTest
	@MethodSource("invalidFiles")
	void invalidInputExitsWithUsageCode(String text, String expectedError) throws IOException {
		assertThat(run("validate", writeFile(text))).isEqualTo(OperatorMain.EXIT_USAGE);
		assertThat(this.err.toString(StandardCharsets.UTF_8)).contains(expectedError);
	}

	/** Guards against the rejection of a valid file with an object or a list. */
	@Test
	void validFilesPass() throws IOException {
		assertThat(run("validate", writeFile(MODEL_JSON))).isEqualTo(0);
		assertThat(run("validate", writeFile("[" + MODEL_JSON + "]"))).isEqualTo(0);
		assertThat(this.err.toString(StandardCharsets.UTF_8)).isEmpty();
	}

	/**
	 * Guards against invalid arguments that are accepted or reported without the usage,
	 * and against an unreachable platform that is reported as an invalid argument.
	 */
	@Test
	void invalidArgumentsExitWithUsageCode() {
		assertThat(run()).isEqualTo(OperatorMain.EXIT_USAGE);
		assertThat(run("apply")).isEqualTo(OperatorMain.EXIT_USAGE);
		assertThat(run("list")).isEqualTo(OperatorMain.EXIT_USAGE);
		assertThat(run("--platform", "nowhere", "list")).isEqualTo(OperatorMain.EXIT_USAGE);
		assertThat(run("--platform", "127.0.0.1:1", "list", "queue")).isEqualTo(OperatorMain.EXIT_USAGE);
		assertThat(run("--platform", "127.0.0.1:1", "delete", "team")).isEqualTo(OperatorMain.EXIT_USAGE);
		assertThat(run("--platform", "127.0.0.1:1", "list")).isEqualTo(OperatorMain.EXIT_FAILURE);
		assertThat(this.err.toString(StandardCharsets.UTF_8)).contains("usage:");
	}

}
