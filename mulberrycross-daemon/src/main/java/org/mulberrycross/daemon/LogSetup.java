package org.mulberrycross.daemon;

import java.net.URL;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.joran.JoranConfigurator;
import ch.qos.logback.core.joran.spi.JoranException;
import org.slf4j.LoggerFactory;
import org.slf4j.bridge.SLF4JBridgeHandler;

/**
 * Sets up the logs of a daemon. Not thread-safe; called once at the start.
 */
final class LogSetup {

	private static final String JSON_CONFIGURATION = "/logback-json.xml";

	private LogSetup() {
	}

	/**
	 * Sends the logs of java.util.logging, which Grizzly uses, to SLF4J.
	 */
	static void bridge() {
		SLF4JBridgeHandler.removeHandlersForRootLogger();
		SLF4JBridgeHandler.install();
	}

	/**
	 * Makes log lines JSON objects, one a line.
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
			throw new IllegalStateException("log configuration " + JSON_CONFIGURATION + " is not valid", ex);
		}
	}

}
