package org.mulberrycross.router;

import java.util.List;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;

/**
 * Says that a settings file is wrong, with every fault that was found.
 */
public final class SettingsException extends PeerException {

	private static final long serialVersionUID = 1L;

	private final List<String> faults;

	/**
	 * Creates an error.
	 * @param faults the faults, one line each, not empty
	 */
	public SettingsException(List<String> faults) {
		super(Step.READ_SETTINGS, new Peer(Peer.Kind.OPERATOR, ""), String.join("; ", faults));
		this.faults = List.copyOf(faults);
	}

	/**
	 * Returns the faults.
	 * @return one line for each fault, with file, key, value and allowed range
	 */
	public List<String> faults() {
		return this.faults;
	}

}
