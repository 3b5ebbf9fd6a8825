package org.mulberrycross.router;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards that invalid settings are rejected with file, key, value and allowed values.
 */
class SettingsReaderTest {

	private static final String VALID = """
			[instance]
			name = "d1"
			data_centre = "dc-1"
			[listen]
			address = "127.0.0.1:8080"
			[platform]
			address = "127.0.0.1:9000"
			""";

	/**
	 * Fails if the minimum settings are no longer accepted, or if the default of the body
	 * limit or of the seeds changes.
	 */
	@Test
	void usesDefaultsForAbsentKeys() throws SettingsException {
		RouterSettings settings = SettingsReader.parse("s.toml", VALID);
		assertThat(settings.listenAddress().port()).isEqualTo(8080);
		assertThat(settings.maxBodyBytes()).isEqualTo(1 << 20);
		assertThat(settings.seeds()).isEmpty();
	}

	/** Fails if an invalid value is accepted or its error message lacks details. */
	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			[limits];streams = 0                | limits.streams is 0                | from 1 to 100000
			[limits];streams = 1.5              | limits.streams is 1.5              | a whole number
			[limits];streams = "many"           | limits.streams is "many"           | a whole number
			[limits];steams = 5                 | limits.steams is 5                 | limits.streams
			[log];json = "yes"                  | log.json is "yes"                  | true or false
			[siblings];seeds = ["127.0.0.1"]    | siblings.seeds is "127.0.0.1"      | host:port
			[siblings];seeds = "127.0.0.1:1"    | siblings.seeds is "127.0.0.1:1"    | a list of addresses
			[shutdown];grace_ms = -1            | shutdown.grace_ms is -1            | from 1 to 3600000
			""")
	void rejectsInvalidValues(String lines, String actual, String allowed) {
		SettingsException error = assertThrows(SettingsException.class,
				() -> SettingsReader.parse("s.toml", VALID + lines.replace(";", "\n")));
		assertThat(error.errors()).hasSize(1);
		assertThat(error.errors().get(0)).startsWith("s.toml: " + actual);
		assertThat(error.errors().get(0)).contains(allowed);
	}

	/** Fails if only the first of several errors is reported. */
	@Test
	void reportsAllErrors() {
		SettingsException error = assertThrows(SettingsException.class, () -> SettingsReader.parse("s.toml", ""));
		assertThat(error.errors()).hasSize(4);
	}

	/** Fails if a syntax error is not reported as a {@link SettingsException}. */
	@Test
	void rejectsInvalidToml() {
		assertThrows(SettingsException.class, () -> SettingsReader.parse("s.toml", "[instance"));
	}

}
