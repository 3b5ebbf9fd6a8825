package org.mulberrycross.sibling.http;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mulberrycross.Address;
import org.mulberrycross.http.Headers;
import org.mulberrycross.http.RelayRequest;
import org.mulberrycross.http.ResponseHead;
import org.mulberrycross.http.ResponseWriter;
import org.mulberrycross.sibling.Member;
import org.mulberrycross.sibling.ShareReply;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against share requests that are taken from anyone, or crash the daemon.
 */
class SharesHandlerTest {

	/**
	 * Fails if a request that is odd or of an unlisted daemon reaches the control state.
	 */
	@ParameterizedTest
	@CsvSource(delimiter = '|', value = { "a | [\"l\",0,0,1] | 200", "x | [\"l\",0,0,1] | 403",
			"a | [\"l\",-1,0,1] | 400", "a | [null,0,0,1] | 400", "a | [ | 400", "a | [\"l\",0,0,1]],[ | 400" })
	void answersListedDaemonsOnly(String sender, String item, int status) {
		SharesHandler handler = new SharesHandler("a"::equals, (request, onReply) -> onReply
			.accept(new ShareReply(1, new Member("b", new Address("10.0.0.1", 1), 1, 1), 1, List.of())));
		String json = "{\"protocol\":1,\"sender\":[\"" + sender + "\",[\"10.0.0.1\",1],1,1],\"sequence\":1,\"items\":["
				+ item + "]}";
		int[] received = new int[1];
		handler.handle(new RelayRequest("POST", SiblingHandler.SHARES_PATH, Headers.NONE,
				json.getBytes(StandardCharsets.UTF_8)), new StatusWriter(received));
		assertThat(received[0]).isEqualTo(status);
	}

	private record StatusWriter(int[] status) implements ResponseWriter {

		@Override
		public void setHead(ResponseHead head) {
			this.status[0] = head.status();
		}

		@Override
		public void write(byte[] part) {
		}

		@Override
		public void end() {
		}

		@Override
		public void abort() {
		}

		@Override
		public void onDisconnect(Runnable action) {
		}

	}

}
