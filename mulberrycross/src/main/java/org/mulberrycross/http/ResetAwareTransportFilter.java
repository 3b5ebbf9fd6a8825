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
 * Reads from the socket and distinguishes an orderly close by the upstream from every
 * other end of the connection, which the transport filter of Grizzly reports in the same
 * way. A close-delimited response is complete only after an orderly close. Thread-safe.
 */
final class ResetAwareTransportFilter extends TransportFilter {

	/** Size of the buffer for one read; holds a stream event or a typical response. */
	private static final int READ_BUFFER_BYTES = 8 << 10;

	@Override
	public NextAction handleRead(FilterChainContext context) throws IOException {
		TCPNIOConnection connection = (TCPNIOConnection) context.getConnection();
		ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
		RelayCall call = RelayClientFilter.CALL_ATTRIBUTE.get(connection);
		int bytesRead;
		try {
			bytesRead = ((SocketChannel) connection.getChannel()).read(buffer);
		}
		catch (IOException ex) {
			if (call != null) {
				call.fail("connection reset before the end of the response");
			}
			connection.terminateSilently();
			return context.getStopAction();
		}
		if (bytesRead < 0) {
			if (call != null) {
				call.handleEndOfInput();
			}
			connection.closeSilently();
			return context.getStopAction();
		}
		if (bytesRead == 0) {
			return context.getStopAction();
		}
		buffer.flip();
		context.setMessage(Buffers.wrap(connection.getMemoryManager(), buffer));
		return context.getInvokeAction();
	}

}
