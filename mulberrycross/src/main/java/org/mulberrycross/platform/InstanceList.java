package org.mulberrycross.platform;

import java.util.List;

import org.mulberrycross.PeerException;

/**
 * The platform's list of instances, which may lag behind their actual state.
 * Implementations are thread-safe; the method blocks and must not be called on the
 * control thread.
 */
@FunctionalInterface
public interface InstanceList {

	/**
	 * Reads the list.
	 * @return the live instances and those that are about to be stopped
	 * @throws PeerException if no valid reply was received in time
	 */
	List<Instance> read() throws PeerException;

}
