package org.mulberrycross.router;

import java.util.List;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;

/**
 * Thrown when settings are invalid. Carries all errors that were found in the file.
 */
public final class SettingsException extends PeerException {

	private static final long serialVersionUID = 1L;

	private final List<String> errors;

	/**
	 * Creates an exception whose message joins the errors.
	 * @param errors the errors, one line each, not empty
	 */
	public SettingsException(List<String> errors) {
		super(Step.READ_SETTINGS, new Peer(Peer.Kind.OPERATOR, ""), String.join("; ", errors));
		this.errors = List.copyOf(errors);
	}

	/**
	 * Returns the errors in the settings.
	 * @return one line for each error, with file, key, value and allowed values
	 */
	public List<String> errors() {
		return this.errors;
	}

}
