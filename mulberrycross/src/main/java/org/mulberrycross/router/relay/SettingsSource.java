package org.mulberrycross.router.relay;

import org.mulberrycross.router.SettingsException;

/**
 * Supplies the current settings, for example from a file.
 */
@FunctionalInterface
public interface SettingsSource {

	/**
	 * Reads the current settings.
	 * @return the settings
	 * @throws SettingsException if the settings cannot be read or are invalid
	 */
	RelaySettings read() throws SettingsException;

}
