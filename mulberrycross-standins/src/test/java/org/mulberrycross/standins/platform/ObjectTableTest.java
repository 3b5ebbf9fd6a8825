package org.mulberrycross.standins.platform;

import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.ObjectStoreContractTest;

/**
 * Guards the in-memory table against the contract of object stores.
 */
class ObjectTableTest extends ObjectStoreContractTest {

	private final ObjectTable table = new ObjectTable();

	@Override
	protected ObjectStore store() {
		return this.table;
	}

}
