package org.mulberrycross.router.relay;

import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.router.SettingsException;
import org.mulberrycross.router.SettingsFile;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against messages between daemons that the settings do not ask for.
 */
class RelaySettingsReaderTest {

	private static final String REQUIRED = """
			platform.address = "10.0.0.9:1"
			instance.name = "router-1"
			instance.data_centre = "dc"
			listen.callers = "10.0.0.1:1"
			listen.readiness = "10.0.0.1:2"
			""";

	private static SiblingSettings parse(String lines) throws SettingsException {
		return RelaySettingsReader.parse(SettingsFile.parse("router.toml", REQUIRED + lines)).siblings();
	}

	@Test
	void siblingsAreOffUnlessSet() throws SettingsException {
		assertThat(parse("")).isEqualTo(SiblingSettings.NONE);
		SiblingSettings siblings = parse("listen.siblings = \"10.0.0.1:3\"\nsiblings.min_daemons = 20\n");
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

}
