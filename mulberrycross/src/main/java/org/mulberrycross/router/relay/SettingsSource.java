package org.mulberrycross.router.relay;

import org.mulberrycross.router.SettingsException;

/**
 * Reads the settings as they are now.
 */
@FunctionalInterface
public interface SettingsSource {

	/**
	 * Reads the settings.
	 * @return the settings
	 * @throws SettingsException if they cannot be read or are wrong
	 */
	RelaySettings read() throws SettingsException;

}
