import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;

/** Threads, the record of a run and reading of HTTP messages. */
final class Util {

	/** False if the case runs without its disruption. */
	static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

	private static final long START = System.nanoTime();

	private static PrintWriter record;

	interface Task {

		void run() throws Exception;

	}

	private Util() {
	}

	static Thread start(String name, Task task) {
		Thread thread = new Thread(() -> {
			try {
				task.run();
			}
			catch (Exception ex) {
				// The peer or the run has ended.
			}
		}, name);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	static long millis(long nanos) {
		return (nanos - START) / 1_000_000;
	}

	static synchronized void openRecord(Path file) throws IOException {
		record = new PrintWriter(Files.newBufferedWriter(file));
	}

	/** Writes a line with the time in ms since the start of the run. */
	static synchronized void record(String line) {
		record.printf("%7d %s%n", millis(System.nanoTime()), line);
		record.flush();
	}

	/** Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
	static void runCase(Path folder, Callable<Boolean> body) throws Exception {
		openRecord(folder.resolve("record.txt"));
		record("trouble " + TROUBLE);
		int code = 2;
		try {
			code = body.call() ? 1 : 0;
		}
		catch (Exception ex) {
			record("the case could not run: " + ex);
		}
		finally {
			Daemon.stopAll();
		}
		String[] results = { "the rule held", "THE RULE WAS BROKEN", "the case could not run" };
		record("result " + code + ": " + results[code]);
		System.out.println(results[code]);
		System.exit(code);
	}

	static String readLine(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		for (int next = in.read(); next != '\n'; next = in.read()) {
			if (next < 0) {
				throw new IOException("connection closed");
			}
			if (next != '\r') {
				line.append((char) next);
			}
		}
		return line.toString();
	}

	/** Reads header fields; the names are in lower case. */
	static Map<String, String> readFields(InputStream in) throws IOException {
		Map<String, String> fields = new TreeMap<>();
		for (String field = readLine(in); !field.isEmpty(); field = readLine(in)) {
			int colon = field.indexOf(':');
			fields.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
		}
		return fields;
	}

	static byte[] readBody(InputStream in, Map<String, String> fields) throws IOException {
		if (fields.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
			java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
			for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
				byte[] chunk = in.readNBytes(size);
				if (chunk.length < size) {
					throw new IOException("connection closed within a chunk");
				}
				body.writeBytes(chunk);
				readLine(in);
			}
			readLine(in);
			return body.toByteArray();
		}
		int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
		byte[] body = in.readNBytes(length);
		if (body.length < length) {
			throw new IOException("connection closed within the body");
		}
		return body;
	}

	private static int chunkSize(InputStream in) throws IOException {
		return Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
	}

}
