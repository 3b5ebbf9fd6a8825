package org.mulberrycross.router.relay;

import java.lang.reflect.Proxy;
import java.util.Objects;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Installs a handler for SIGHUP, whose default action ends the process. Thread-safe.
 */
final class HangupSignal {

	private static final Logger logger = LoggerFactory.getLogger(HangupSignal.class);

	private HangupSignal() {
	}

	/**
	 * Runs an action at each SIGHUP from now on.
	 * @param action the action, not null; must not block
	 */
	static void handle(Runnable action) {
		Objects.requireNonNull(action, "action");
		try {
			// Uses reflection since sun.misc.Signal is not part of the Java API and a
			// direct use causes a compiler warning.
			Class<?> signalType = Class.forName("sun.misc.Signal");
			Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
			Object handler = Proxy.newProxyInstance(HangupSignal.class.getClassLoader(), new Class<?>[] { handlerType },
					(proxy, method, arguments) -> {
						if (method.getDeclaringClass() == Object.class) {
							return method.invoke(action, arguments);
						}
						action.run();
						return null;
					});
			signalType.getMethod("handle", signalType, handlerType)
				.invoke(null, signalType.getConstructor(String.class).newInstance("HUP"), handler);
		}
		catch (ReflectiveOperationException ex) {
			logger.warn("cannot install a SIGHUP handler, so SIGHUP ends this process", ex);
		}
	}

}
