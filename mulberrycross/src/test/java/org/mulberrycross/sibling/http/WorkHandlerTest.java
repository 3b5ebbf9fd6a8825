package org.mulberrycross.sibling.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.NotRunException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.sibling.OwnReports;
import org.mulberrycross.sibling.ReportedWork;
import org.mulberrycross.sibling.Sibling;
import org.mulberrycross.sibling.SiblingDirectory;
import org.mulberrycross.sibling.WorkClient;
import org.mulberrycross.sibling.WorkLedger;
import org.mulberrycross.sibling.WorkTotal;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against hubs that misread reports or take them from anyone. Two hubs of two data
 * centres listen on loopback.
 */
class WorkHandlerTest {

	/** The clock stands still, so that nothing expires on a slow machine. */
	private static final long NOW_NANOS = 1;

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private final Sibling near = sibling("near", "dc-1");

	private final Sibling far = sibling("far", "dc-2");

	private final Sibling member = sibling("member", "dc-1");

	private final WorkLedger ledger = new WorkLedger();

	private final SiblingServer nearServer = serve(this.near, this.ledger);

	private final WorkLedger farLedger = new WorkLedger();

	private final SiblingServer farServer = serve(this.far, this.farLedger);

	private HttpClient httpClient;

	private WorkClient client;

	private static Sibling sibling(String name, String dataCentre) {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return new Sibling(name, new Address("127.0.0.1", socket.getLocalPort()), dataCentre, 1);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private SiblingServer serve(Sibling self, WorkLedger received) {
		SiblingDirectory directory = new SiblingDirectory(self, 2);
		directory.update(List.of(this.near, this.far, this.member), 3);
		SiblingServer server = new SiblingServer(self.address());
		new WorkHandler(directory, received, () -> NOW_NANOS).register(server);
		return server;
	}

	@BeforeEach
	void start() throws IOException {
		this.nearServer.start();
		this.farServer.start();
		this.httpClient = new HttpClient(1);
		this.client = new HttpWorkClient(this.httpClient, TIMEOUT);
	}

	@AfterEach
	void close() {
		this.httpClient.close();
		this.nearServer.close();
		this.farServer.close();
	}

	@Test
	void memberGetsTheWorkOfBothDataCentresWithoutItsOwn() throws PeerException {
		this.farLedger.record(new OwnReports(this.far).next(Map.of("engine", new ReportedWork(4, 400, 150))),
				NOW_NANOS);
		WorkTotal farTotal = this.client.total(this.far.address(), "near").orElseThrow();
		this.ledger.recordTotal("dc-2", farTotal, NOW_NANOS);
		OwnReports own = new OwnReports(this.member);
		WorkClient.Reply reply = this.client
			.report(this.near.address(), own.next(Map.of("engine", new ReportedWork(1, 120, 0))))
			.orElseThrow();
		assertThat(reply.total().daemons()).isEqualTo(2);
		assertThat(own.others(reply).orElseThrow().work()).containsExactly("engine", new ReportedWork(4, 400, 150));
	}

	@Test
	void unknownSenderAndSenderOfOtherDataCentreAreRefused() throws PeerException {
		assertThat(this.client.report(this.near.address(), new OwnReports(sibling("other", "dc-1")).next(Map.of())))
			.isEqualTo(Optional.empty());
		assertThat(this.client.report(this.near.address(), new OwnReports(this.far).next(Map.of())))
			.isEqualTo(Optional.empty());
		assertThat(this.client.total(this.near.address(), "other")).isEqualTo(Optional.empty());
		assertThat(this.ledger.reportCount(NOW_NANOS)).isEqualTo(0);
	}

	@Test
	void oddMessagesAreDropped() throws PeerException {
		String start = "{\"sender\":\"member\",\"incarnation\":1,\"sequence\":1,\"work\":";
		for (String json : List.of("", "[]", "{}", start + "null}", start + "{\"engine\":[1,2]}}",
				start + "{\"engine\":[-1,2,3]}}", start + "{\"engine\":[1,2,99999999999]}}",
				start + "{\"engine\":7}}")) {
			assertThat(post(WorkCodec.compress(json.getBytes(StandardCharsets.UTF_8)))).isEqualTo(400);
		}
		assertThat(post(new byte[] { 1, 2, 3 })).isEqualTo(400);
		assertThat(post(WorkCodec.compress(new byte[SiblingServer.MAX_BODY_BYTES + 1]))).isEqualTo(400);
		assertThrows(PeerException.class, () -> post(new byte[SiblingServer.MAX_BODY_BYTES + 1]));
		assertThat(this.ledger.reportCount(NOW_NANOS)).isEqualTo(0);
	}

	@Test
	void hubWithoutListOfSiblingsIsNotUsed() throws IOException {
		Sibling fresh = sibling("fresh", "dc-1");
		try (SiblingServer server = new SiblingServer(fresh.address())) {
			new WorkHandler(new SiblingDirectory(fresh, 2), new WorkLedger(), () -> NOW_NANOS).register(server);
			server.start();
			assertThrows(NotRunException.class,
					() -> this.client.report(fresh.address(), new OwnReports(this.member).next(Map.of())));
			assertThrows(NotRunException.class, () -> this.client.total(fresh.address(), "member"));
		}
	}

	private int post(byte[] body) throws PeerException {
		return this.httpClient
			.send(HttpCall.post(Step.EXCHANGE_LOAD, new Peer(Peer.Kind.SIBLING, ""), this.near.address(),
					WorkHandler.REPORT_PATH, body, TIMEOUT))
			.status();
	}

}
