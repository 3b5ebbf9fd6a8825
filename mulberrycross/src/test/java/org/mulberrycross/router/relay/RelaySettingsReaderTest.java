package org.mulberrycross.router.relay;

import org.junit.jupiter.api.Test;

import org.mulberrycross.router.SettingsException;
import org.mulberrycross.router.SettingsFile;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against settings that are accepted and have no effect.
 */
class RelaySettingsReaderTest {

	private static final String REQUIRED = """
			[instance]
			name = "a"
			data_centre = "x"
			[platform]
			address = "127.0.0.1:1"
			[siblings]
			share_changes = true
			[listen]
			callers = "127.0.0.1:2"
			readiness = "127.0.0.1:3"
			""";

	private static RelaySettings read(String toml) throws SettingsException {
		return RelaySettingsReader.parse(SettingsFile.parse("router.toml", toml));
	}

	/** Fails if changes are to be shared without an address and nobody is told. */
	@Test
	void sharedChangesNeedAnAddress() throws SettingsException {
		assertThat(read(REQUIRED + "siblings = \"127.0.0.1:4\"\n").siblings().shareChanges()).isTrue();
		SettingsException error = assertThrows(SettingsException.class, () -> read(REQUIRED));
		assertThat(error).hasMessageThat().contains("listen.siblings");
	}

}
