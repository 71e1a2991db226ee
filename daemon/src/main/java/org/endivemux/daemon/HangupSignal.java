package org.endivemux.daemon;

import com.google.common.flogger.FluentLogger;
import java.lang.reflect.Proxy;

/**
 * Runs an action when the process receives SIGHUP, which would terminate it otherwise.
 *
 * <p>Uses reflection, since {@code sun.misc.Signal} is not part of the Java platform's API.
 * Stateless.
 */
final class HangupSignal {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private HangupSignal() {}

  static void handle(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              HangupSignal.class.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, args) -> {
                if (method.getName().equals("handle")) {
                  action.run();
                }
                return null;
              });
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
    } catch (ReflectiveOperationException e) {
      logger.atWarning().withCause(e).log("event=hangup_unhandled");
    }
  }
}
