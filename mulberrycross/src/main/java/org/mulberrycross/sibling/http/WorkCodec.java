package org.mulberrycross.sibling.http;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.http.Json;
import org.mulberrycross.sibling.ReportedWork;
import org.mulberrycross.sibling.WorkReport;
import org.mulberrycross.sibling.WorkTotal;

/**
 * Encodes figures on work as JSON and decodes them. The work at an engine is an array of
 * three whole numbers: requests, and units of {@link ReportedWork#TOKENS_PER_UNIT} tokens
 * held and unread. The text is compressed, since engine ids are alike. Thread-safe.
 */
public final class WorkCodec {

	private static final int MAX_INFLATED_BYTES = 256 * 1024;

	private static final int FIGURES = 3;

	/** Bounds each figure, so that no sum of them overflows. */
	private static final long MAX_FIGURE = 1_000_000_000;

	private WorkCodec() {
	}

	/**
	 * Encodes a report.
	 * @param report the report, not null
	 * @return the compressed JSON text
	 */
	public static byte[] encode(WorkReport report) {
		return compress(Json
			.encode(new Report(report.sender(), report.incarnation(), report.sequence(), encodeWork(report.work()))));
	}

	/**
	 * Decodes a report.
	 * @param compressed the compressed JSON text, not null
	 * @return the report
	 * @throws PeerException if the text is not valid or too long
	 */
	public static WorkReport decodeReport(byte[] compressed) throws PeerException {
		Peer peer = new Peer(Peer.Kind.SIBLING, "");
		Report report = Json.decode(inflate(compressed, peer), Report.class, peer);
		if (report.sender() == null || report.sender().isEmpty()) {
			throw new PeerException(Step.CODEC, peer, "report has no sender");
		}
		return new WorkReport(report.sender(), report.incarnation(), report.sequence(),
				decodeWork(report.work(), peer));
	}

	/**
	 * Encodes a total.
	 * @param total the total, not null
	 * @return the compressed JSON text
	 */
	public static byte[] encode(WorkTotal total) {
		return compress(Json.encode(new Total(total.daemons(), total.age().toMillis(), total.period().toMillis(),
				encodeWork(mostUsed(total.work())))));
	}

	// A total of many reports may have more engines than a message.
	private static Map<String, ReportedWork> mostUsed(Map<String, ReportedWork> work) {
		if (work.size() <= WorkReport.MAX_ENGINES) {
			return work;
		}
		return work.entrySet()
			.stream()
			.sorted((first, second) -> Long.compare(second.getValue().requests(), first.getValue().requests()))
			.limit(WorkReport.MAX_ENGINES)
			.collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
	}

	static byte[] compress(byte[] json) {
		ByteArrayOutputStream compressed = new ByteArrayOutputStream();
		try (DeflaterOutputStream deflater = new DeflaterOutputStream(compressed)) {
			deflater.write(json);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return compressed.toByteArray();
	}

	private static byte[] inflate(byte[] compressed, Peer peer) throws PeerException {
		byte[] json;
		try (InflaterInputStream inflater = new InflaterInputStream(new ByteArrayInputStream(compressed))) {
			json = inflater.readNBytes(MAX_INFLATED_BYTES + 1);
		}
		catch (IOException ex) {
			throw new PeerException(Step.CODEC, peer, "message is not compressed JSON", ex);
		}
		if (json.length > MAX_INFLATED_BYTES) {
			throw new PeerException(Step.CODEC, peer, "message is longer than " + MAX_INFLATED_BYTES + " bytes");
		}
		return json;
	}

	/**
	 * Decodes a total.
	 * @param compressed the compressed JSON text, not null
	 * @param peer the daemon that sent it, named in the exception; not null
	 * @return the total
	 * @throws PeerException if the text is not valid or too long
	 */
	public static WorkTotal decodeTotal(byte[] compressed, Peer peer) throws PeerException {
		Total total = Json.decode(inflate(compressed, peer), Total.class, peer);
		if (total.daemons() < 0 || total.ageMillis() < 0 || total.periodMillis() < 1
				|| Math.max(total.ageMillis(), total.periodMillis()) > MAX_FIGURE) {
			throw new PeerException(Step.CODEC, peer, "total has a figure out of range");
		}
		return new WorkTotal(total.daemons(), Duration.ofMillis(total.ageMillis()),
				Duration.ofMillis(total.periodMillis()), decodeWork(total.work(), peer));
	}

	// Sorted by engine id, which makes the text compress better.
	private static Map<String, long[]> encodeWork(Map<String, ReportedWork> work) {
		Map<String, long[]> figures = new TreeMap<>();
		work.forEach((id, at) -> figures.put(id, new long[] { at.requests(), at.tokenUnits(), at.pendingUnits() }));
		return figures;
	}

	private static Map<String, ReportedWork> decodeWork(Map<String, long[]> figures, Peer peer) throws PeerException {
		if (figures == null || figures.size() > WorkReport.MAX_ENGINES) {
			throw new PeerException(Step.CODEC, peer, "message has no work or too many engines");
		}
		Map<String, ReportedWork> work = new HashMap<>();
		for (Map.Entry<String, long[]> entry : figures.entrySet()) {
			work.put(entry.getKey(), decodeFigures(entry.getValue(), peer));
		}
		return work;
	}

	private static ReportedWork decodeFigures(long[] figures, Peer peer) throws PeerException {
		if (figures == null || figures.length < FIGURES) {
			throw new PeerException(Step.CODEC, peer, "work of an engine does not have " + FIGURES + " figures");
		}
		for (long figure : figures) {
			if (figure < 0 || figure > MAX_FIGURE) {
				throw new PeerException(Step.CODEC, peer, "work of an engine has a figure out of range");
			}
		}
		return new ReportedWork(figures[0], figures[1], figures[2]);
	}

	/** JSON form of a report. */
	private record Report(String sender, long incarnation, long sequence, Map<String, long[]> work) {

	}

	/** JSON form of a total. */
	private record Total(int daemons, long ageMillis, long periodMillis, Map<String, long[]> work) {

	}

}
