package org.mulberrycross.sibling;

/**
 * Returns how many slots of a limit an owner may lease out.
 */
@FunctionalInterface
public interface ShareLimits {

	/**
	 * Returns the number of slots of a limit.
	 * @param name the name of the limit, which another daemon may have sent, not null
	 * @param borrowers the number of other daemons that report to the owner for this
	 * limit
	 * @return the number of slots, 0 for an unknown limit
	 */
	int slots(String name, int borrowers);

}
