package org.mulberrycross.router.relay;

import org.junit.jupiter.api.Test;

import org.mulberrycross.router.SettingsException;
import org.mulberrycross.router.SettingsFile;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against a setting that changes what daemons do without being asked for.
 */
class RelaySettingsReaderTest {

	private static final String REQUIRED = """
			instance.name = "router-1"
			instance.data_centre = "dc-1"
			listen.callers = "127.0.0.1:1"
			listen.readiness = "127.0.0.1:2"
			platform.address = "127.0.0.1:3"
			""";

	private static RelaySettings parse(String line) throws SettingsException {
		return RelaySettingsReader.parse(SettingsFile.parse("s.toml", REQUIRED + line));
	}

	/** Fails if streams are moved early without the setting, or in spite of it. */
	@Test
	void movesStreamsEarlyOnlyIfTold() throws SettingsException {
		assertThat(parse("").earlyMoves()).isFalse();
		assertThat(parse("streams.early_moves = true").earlyMoves()).isTrue();
		SettingsException error = assertThrows(SettingsException.class, () -> parse("streams.early_moves = 1"));
		assertThat(error.errors().get(0)).contains("true or false");
	}

}
