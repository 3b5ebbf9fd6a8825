package org.mulberrycross.standins.service;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Java processes of a local run. They are killed when the group is closed. Thread-safe.
 */
final class ProcessGroup implements AutoCloseable {

	private static final String HEAP_LIMIT_OPTION = "-Xmx192m";

	private final String classpath;

	private final Path logDirectory;

	private final List<Process> processes = new ArrayList<>();

	ProcessGroup(String classpath, Path logDirectory) {
		this.classpath = classpath;
		this.logDirectory = logDirectory;
	}

	Process start(String logFile, String mainClass, String... arguments) throws IOException {
		ProcessBuilder builder = javaCommand(mainClass, arguments).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.logDirectory.resolve(logFile).toFile()));
		return startTracked(builder);
	}

	// Starts a stand-in and returns its port, the last word of the first line it prints.
	int startStandin(String mainClass) throws IOException {
		Process process = startTracked(
				javaCommand(mainClass, "--port", "0").redirectError(ProcessBuilder.Redirect.DISCARD));
		BufferedReader reader = new BufferedReader(
				new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
		String line = reader.readLine();
		if (line == null) {
			throw new IOException(mainClass + " ended before it printed its port");
		}
		return Integer.parseInt(line.substring(line.lastIndexOf(' ') + 1));
	}

	private ProcessBuilder javaCommand(String mainClass, String... arguments) {
		List<String> command = new ArrayList<>(
				List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), HEAP_LIMIT_OPTION,
						"-XX:TieredStopAtLevel=1", "-cp", this.classpath, mainClass));
		command.addAll(List.of(arguments));
		return new ProcessBuilder(command);
	}

	private synchronized Process startTracked(ProcessBuilder builder) throws IOException {
		Process process = builder.start();
		this.processes.removeIf((tracked) -> !tracked.isAlive());
		this.processes.add(process);
		return process;
	}

	synchronized Process process(int index) {
		return this.processes.get(index);
	}

	static void pause(Process process, long millis) throws IOException, InterruptedException {
		sendSignal("-STOP", process);
		TimeUnit.MILLISECONDS.sleep(millis);
		sendSignal("-CONT", process);
	}

	private static void sendSignal(String signal, Process process) throws IOException, InterruptedException {
		new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
	}

	@Override
	public synchronized void close() {
		this.processes.forEach(Process::destroyForcibly);
	}

}
