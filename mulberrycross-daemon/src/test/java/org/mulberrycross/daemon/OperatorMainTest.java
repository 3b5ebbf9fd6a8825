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
 * Guards the exit codes and errors of the operators' command line.
 */
class OperatorMainTest {

	private static final String MODEL = "{\"kind\":\"model\",\"name\":\"m\",\"layers\":4,\"versions\":[\"v1\"]}";

	@TempDir
	private Path directory;

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	private int run(String... arguments) {
		return OperatorMain.run(arguments, new PrintStream(this.out), new PrintStream(this.err));
	}

	private String file(String text) throws IOException {
		return Files.writeString(this.directory.resolve("objects.json"), text).toString();
	}

	static Stream<Arguments> badFiles() {
		return Stream.of(Arguments.of("{", "objects.json"), Arguments.of("{\"name\":\"m\"}", "kind"),
				Arguments.of("{\"kind\":\"queue\",\"name\":\"m\"}", "queue"),
				Arguments.of(MODEL.replace("layers", "layrs"), "layrs"), Arguments.of("[null]", "null"),
				Arguments.of("[" + MODEL + "," + MODEL + "]", "more than once"),
				Arguments.of(MODEL.replace("4", "0"), "model/m: layers: 0 is not from 1"));
	}

	/** Fails if bad input passes, or if its error does not say what is wrong. */
	@ParameterizedTest
	@MethodSource("badFiles")
	void badInputExitsWithTwo(String text, String expected) throws IOException {
		assertThat(run("validate", file(text))).isEqualTo(OperatorMain.EXIT_USAGE);
		assertThat(this.err.toString(StandardCharsets.UTF_8)).contains(expected);
	}

	/** Fails if a valid file with one object or with a list is refused. */
	@Test
	void validFilesPass() throws IOException {
		assertThat(run("validate", file(MODEL))).isEqualTo(0);
		assertThat(run("validate", file("[" + MODEL + "]"))).isEqualTo(0);
		assertThat(this.err.toString(StandardCharsets.UTF_8)).isEmpty();
	}

	/**
	 * Fails if wrong arguments are not explained, or an unreachable platform counts as
	 * one.
	 */
	@Test
	void wrongArguments() {
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
