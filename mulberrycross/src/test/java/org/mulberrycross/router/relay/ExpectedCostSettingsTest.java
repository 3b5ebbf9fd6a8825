package org.mulberrycross.router.relay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.mulberrycross.router.SettingsException;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against a daemon that routes by expected cost without being asked to, or that
 * takes a mistyped setting for an answer.
 */
class ExpectedCostSettingsTest {

	private static final String REQUIRED = """
			[instance]
			name = "n"
			data_centre = "dc"
			[listen]
			callers = "127.0.0.1:1"
			readiness = "127.0.0.1:2"
			[platform]
			address = "127.0.0.1:3"
			""";

	@TempDir
	private Path directory;

	private RelaySettings read(String routing) throws IOException, SettingsException {
		return RelaySettingsReader.read(Files.writeString(this.directory.resolve("router.toml"), REQUIRED + routing));
	}

	/**
	 * Fails if the setting is ignored, on by default, or if a wrong value is accepted.
	 */
	@Test
	void readsSetting() throws IOException, SettingsException {
		assertThat(read("").features().expectedCost()).isFalse();
		assertThat(read("[routing]\nexpected_cost = true\n").features().expectedCost()).isTrue();
		assertThat(assertThrows(SettingsException.class, () -> read("[routing]\nexpected_cost = \"yes\"\n")))
			.hasMessageThat()
			.contains("expected_cost");
	}

}
