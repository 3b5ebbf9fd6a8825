package org.mulberrycross.router.relay;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mulberrycross.Address;
import org.mulberrycross.router.SettingsException;
import org.mulberrycross.router.SettingsFile;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against a setting that changes what daemons do without being asked for.
 */
class RelaySettingsReaderTest {

	private static final String REQUIRED = """
			platform.address = "10.0.0.9:1"
			instance.name = "router-1"
			instance.data_centre = "dc"
			listen.callers = "10.0.0.1:1"
			listen.readiness = "10.0.0.1:2"
			""";

	private static RelayFeatures parse(String lines) throws SettingsException {
		return RelaySettingsReader.parse(SettingsFile.parse("router.toml", REQUIRED + lines)).features();
	}

	@Test
	void optionalPartsAreOffUnlessSet() throws SettingsException {
		assertThat(parse("")).isEqualTo(RelayFeatures.NONE);
		SiblingSettings siblings = parse("listen.siblings = \"10.0.0.1:3\"\nsiblings.min_daemons = 20\n").siblings();
		assertThat(siblings.address()).hasValue(new Address("10.0.0.1", 3));
		assertThat(siblings.minDaemons()).isEqualTo(20);
		assertThat(siblings.shareLoad()).isFalse();
	}

	@Test
	void wrongValuesAreNamed() {
		SettingsException ex = assertThrows(SettingsException.class, () -> parse(
				"listen.siblings = \"10.0.0.1\"\nsiblings.min_daemons = 1\nsiblings.share_load = \"yes\"\n"));
		assertThat(ex).hasMessageThat().contains("listen.siblings");
		assertThat(ex).hasMessageThat().contains("siblings.min_daemons");
		assertThat(ex).hasMessageThat().contains("siblings.share_load");
	}

	/** Fails if streams are moved early without the setting, or in spite of it. */
	@Test
	void movesStreamsEarlyOnlyIfTold() throws SettingsException {
		assertThat(parse("").earlyMoves()).isFalse();
		assertThat(parse("streams.early_moves = true").earlyMoves()).isTrue();
		SettingsException error = assertThrows(SettingsException.class, () -> parse("streams.early_moves = 1"));
		assertThat(error.errors().get(0)).contains("true or false");
	}

	/** Fails if changes are to be shared without an address and nobody is told. */
	@Test
	void sharedChangesNeedAnAddress() throws SettingsException {
		String shared = "siblings.share_changes = true\n";
		assertThat(parse(shared + "listen.siblings = \"127.0.0.1:4\"\n").siblings().shareChanges()).isTrue();
		SettingsException error = assertThrows(SettingsException.class, () -> parse(shared));
		assertThat(error).hasMessageThat().contains("listen.siblings");
	}

	/** Fails if requests wait, or are ranked, other than the settings say. */
	@Test
	void requestsWaitOnlyIfTold() throws SettingsException {
		assertThat(parse("").waiting()).isEqualTo(WaitingSettings.OFF);
		assertThat(parse(
				"admission.queue = true\nadmission.forward_priority = true\nadmission.spread_returns = true\nadmission.balance_by_slots = true\nadmission.max_waiting = 7\n")
			.waiting()).isEqualTo(new WaitingSettings(true, true, true, true, 7));
	}

	/** Fails if a daemon starts with settings that are wrong. */
	@ParameterizedTest
	@ValueSource(strings = { "queue = 1", "max_waiting = 0", "spread = true" })
	void rejectsWrongSettings(String line) {
		assertThrows(SettingsException.class, () -> parse("admission." + line + "\n"));
	}

}
