import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line for each thing that happened, with the seconds since its start. */
final class Record implements AutoCloseable {

	private final long startNanos = System.nanoTime();

	private final PrintWriter out;

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file), true);
	}

	synchronized void add(String text) {
		this.out.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), text));
	}

	double seconds() {
		return (System.nanoTime() - this.startNanos) / 1e9;
	}

	@Override
	public void close() {
		this.out.close();
	}

}
