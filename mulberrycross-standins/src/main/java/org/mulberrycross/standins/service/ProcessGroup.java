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
 * Java processes of a local run, which all end with it. Thread-safe.
 */
final class ProcessGroup implements AutoCloseable {

	private static final String HEAP_LIMIT = "-Xmx192m";

	private final String classpath;

	private final Path directory;

	private final List<Process> processes = new ArrayList<>();

	ProcessGroup(String classpath, Path directory) {
		this.classpath = classpath;
		this.directory = directory;
	}

	Process start(String log, String mainClass, String... arguments) throws IOException {
		ProcessBuilder builder = builder(mainClass, arguments).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.directory.resolve(log).toFile()));
		return started(builder);
	}

	// The first line that a stand-in prints ends with its port.
	int startStandin(String mainClass) throws IOException {
		Process process = started(builder(mainClass, "--port", "0").redirectError(ProcessBuilder.Redirect.DISCARD));
		BufferedReader reader = new BufferedReader(
				new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
		String line = reader.readLine();
		if (line == null) {
			throw new IOException(mainClass + " ended before it printed its port");
		}
		return Integer.parseInt(line.substring(line.lastIndexOf(' ') + 1));
	}

	private ProcessBuilder builder(String mainClass, String... arguments) {
		List<String> command = new ArrayList<>(
				List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), HEAP_LIMIT,
						"-XX:TieredStopAtLevel=1", "-cp", this.classpath, mainClass));
		command.addAll(List.of(arguments));
		return new ProcessBuilder(command);
	}

	private synchronized Process started(ProcessBuilder builder) throws IOException {
		Process process = builder.start();
		this.processes.removeIf((known) -> !known.isAlive());
		this.processes.add(process);
		return process;
	}

	synchronized Process at(int index) {
		return this.processes.get(index);
	}

	static void pause(Process process, long millis) throws IOException, InterruptedException {
		signal("-STOP", process);
		TimeUnit.MILLISECONDS.sleep(millis);
		signal("-CONT", process);
	}

	private static void signal(String signal, Process process) throws IOException, InterruptedException {
		new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
	}

	@Override
	public synchronized void close() {
		this.processes.forEach(Process::destroyForcibly);
	}

}
