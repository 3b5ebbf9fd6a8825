package org.mulberrycross.platform;

import java.util.List;

import org.mulberrycross.PeerException;

/**
 * The platform's list of instances, which lags behind the instances. Implementations are
 * thread-safe; the method blocks and must not run on the control thread.
 */
@FunctionalInterface
public interface InstanceList {

	/**
	 * Reads the list.
	 * @return the live and the leaving instances
	 * @throws PeerException if no valid reply came in time
	 */
	List<Instance> read() throws PeerException;

}
