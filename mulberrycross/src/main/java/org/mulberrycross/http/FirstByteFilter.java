package org.mulberrycross.http;

import java.io.IOException;

import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Notes the arrival of bytes, so that a client that never completes its request can be
 * told from an idle one. Thread-safe.
 */
final class FirstByteFilter extends BaseFilter {

	private final RelayServerFilter server;

	FirstByteFilter(RelayServerFilter server) {
		this.server = server;
	}

	@Override
	public NextAction handleRead(FilterChainContext context) throws IOException {
		this.server.connection(context.getConnection()).bytesArrived();
		return context.getInvokeAction();
	}

}
