package org.mulberrycross.daemon;

import java.net.URL;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.joran.JoranConfigurator;
import ch.qos.logback.core.joran.spi.JoranException;
import org.slf4j.LoggerFactory;
import org.slf4j.bridge.SLF4JBridgeHandler;

/**
 * Configures the logging of the process. Not thread-safe; called once at startup.
 */
final class LogSetup {

	private static final String JSON_CONFIGURATION = "/logback-json.xml";

	private LogSetup() {
	}

	/**
	 * Redirects java.util.logging, which Grizzly uses, to SLF4J.
	 */
	static void installBridge() {
		SLF4JBridgeHandler.removeHandlersForRootLogger();
		SLF4JBridgeHandler.install();
	}

	/**
	 * Switches the log output to JSON, one object per line.
	 * @throws IllegalStateException if the bundled Logback configuration is invalid
	 */
	static void useJson() {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		URL configuration = LogSetup.class.getResource(JSON_CONFIGURATION);
		JoranConfigurator configurator = new JoranConfigurator();
		configurator.setContext(context);
		context.reset();
		try {
			configurator.doConfigure(configuration);
		}
		catch (JoranException ex) {
			throw new IllegalStateException("log configuration " + JSON_CONFIGURATION + " is invalid", ex);
		}
	}

}
