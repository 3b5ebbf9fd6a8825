package org.mulberrycross.standins.platform;

import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.ObjectStoreContractTest;

/**
 * Runs the contract of object stores against the in-memory table.
 */
class ObjectTableTest extends ObjectStoreContractTest {

	private final ObjectTable table = new ObjectTable();

	@Override
	protected ObjectStore store() {
		return this.table;
	}

}
