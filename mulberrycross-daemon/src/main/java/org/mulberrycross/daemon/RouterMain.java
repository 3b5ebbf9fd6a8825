package org.mulberrycross.daemon;

import java.io.IOException;

import org.mulberrycross.router.DaemonCommand;
import org.mulberrycross.router.Router;
import org.mulberrycross.router.RouterSettings;
import org.mulberrycross.router.SettingsReader;

/**
 * Runs a router daemon until the process receives a termination signal.
 */
public final class RouterMain {

	private RouterMain() {
	}

	/**
	 * Runs the daemon. Exits with 2 if the arguments or the settings are invalid, and
	 * with 1 if the daemon cannot be started.
	 * @param arguments {@code --settings FILE}
	 */
	public static void main(String[] arguments) {
		LogSetup.installBridge();
		DaemonCommand.run(arguments, (settingsFile) -> run(SettingsReader.read(settingsFile)));
	}

	private static void run(RouterSettings settings) throws IOException, InterruptedException {
		if (settings.jsonLogs()) {
			LogSetup.useJson();
		}
		Router router = new Router(settings);
		Runtime.getRuntime().addShutdownHook(new Thread(router::shutDown, "shutdown"));
		router.start();
		router.awaitClose();
	}

}
