package org.mulberrycross.http;

import java.io.IOException;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Records the arrival of the first byte of a request, before its head can be parsed.
 * Distinguishes a client that never completes its request from an idle one, and discards
 * what arrives on a connection that closes. Thread-safe.
 */
final class FirstByteFilter extends BaseFilter {

	private final RelayServerFilter serverFilter;

	FirstByteFilter(RelayServerFilter serverFilter) {
		this.serverFilter = serverFilter;
	}

	@Override
	public NextAction handleRead(FilterChainContext context) throws IOException {
		if (this.serverFilter.findOrCreate(context.getConnection()).markRequestStarted()) {
			return context.getInvokeAction();
		}
		context.<Buffer>getMessage().tryDispose();
		return context.getStopAction();
	}

}
