package org.marigoldmill.cli;

import com.google.common.flogger.FluentLogger;
import java.lang.reflect.Proxy;

/**
 * Runs an action on SIGHUP, which would otherwise terminate the JVM.
 *
 * <p>The JDK exposes signals only through {@code sun.misc.Signal}. Code that names this class does
 * not compile without a warning, so it is loaded by reflection.
 */
final class HangupSignal {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private HangupSignal() {}

  /**
   * Replaces the JVM's default SIGHUP handler.
   *
   * <p>Where the signal API is missing, logs a warning and leaves the default handler in place.
   */
  static void handle(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object onSignal =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, args) -> {
                action.run();
                return null;
              });
      Object hangup = signal.getConstructor(String.class).newInstance("HUP");
      signal.getMethod("handle", signal, handler).invoke(null, hangup, onSignal);
    } catch (ReflectiveOperationException e) {
      logger.atWarning().withCause(e).log("SIGHUP is not handled and would stop the process");
    }
  }
}
