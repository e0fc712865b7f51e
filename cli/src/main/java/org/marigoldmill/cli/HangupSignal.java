package org.marigoldmill.cli;

import com.google.common.flogger.FluentLogger;
import java.lang.reflect.Proxy;

/**
 * Runs an action on SIGHUP, which would otherwise end the JVM.
 *
 * <p>The JDK offers signals only through {@code sun.misc.Signal}, which the compiler does not let
 * code name without a warning; so it is looked up by name.
 */
final class HangupSignal {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private HangupSignal() {}

  /** Installs the action in place of what the JVM does on SIGHUP. */
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
