package org.mulberrycross.router.relay;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mulberrycross.router.SettingsException;
import org.mulberrycross.router.SettingsFile;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against waiting and ranks that the settings do not call for.
 */
class RelaySettingsReaderTest {

	private static final String REQUIRED = """
			[instance]
			name = "router-1"
			data_centre = "dc-1"
			[listen]
			callers = "127.0.0.1:1"
			readiness = "127.0.0.1:2"
			[platform]
			address = "127.0.0.1:3"
			""";

	private static WaitingSettings waiting(String toml) throws SettingsException {
		return RelaySettingsReader.parse(SettingsFile.parse("router.toml", REQUIRED + toml)).waiting();
	}

	/** Fails if a daemon without the settings behaves differently than before. */
	@Test
	void requestsDoNotWaitByDefault() throws SettingsException {
		assertThat(waiting("")).isEqualTo(WaitingSettings.OFF);
		assertThat(waiting(
				"[admission]\nqueue = true\nforward_priority = true\nspread_returns = true\nbalance_by_slots = true\nmax_waiting = 7"))
			.isEqualTo(new WaitingSettings(true, true, true, true, 7));
	}

	/** Fails if a daemon starts with settings that are wrong. */
	@ParameterizedTest
	@ValueSource(strings = { "queue = 1", "max_waiting = 0", "spread = true" })
	void rejectsWrongSettings(String line) {
		assertThrows(SettingsException.class, () -> waiting("[admission]\n" + line));
	}

}
