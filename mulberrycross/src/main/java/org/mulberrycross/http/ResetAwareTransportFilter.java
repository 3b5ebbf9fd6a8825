package org.mulberrycross.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOConnection;

/**
 * Reads from the socket and tells a reset from an orderly end, which Grizzly's own filter
 * reports alike. A response without a length is complete only after the latter.
 * Thread-safe.
 */
final class ResetAwareTransportFilter extends TransportFilter {

	/** Size of one read; a stream event and a typical answer fit. */
	private static final int READ_BYTES = 8 << 10;

	@Override
	public NextAction handleRead(FilterChainContext context) throws IOException {
		TCPNIOConnection connection = (TCPNIOConnection) context.getConnection();
		ByteBuffer bytes = ByteBuffer.allocate(READ_BYTES);
		int count;
		try {
			count = ((SocketChannel) connection.getChannel()).read(bytes);
		}
		catch (IOException ex) {
			RelayCall call = RelayClientFilter.CALLS.get(connection);
			if (call != null) {
				call.failed("connection reset before the end of the response");
			}
			connection.terminateSilently();
			return context.getStopAction();
		}
		if (count < 0) {
			connection.closeSilently();
			return context.getStopAction();
		}
		if (count == 0) {
			return context.getStopAction();
		}
		bytes.flip();
		context.setMessage(Buffers.wrap(connection.getMemoryManager(), bytes));
		return context.getInvokeAction();
	}

}
