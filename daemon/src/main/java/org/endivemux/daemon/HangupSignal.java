package org.endivemux.daemon;

import java.lang.reflect.Proxy;
import java.util.Optional;

/**
 * Handles SIGHUP, which would terminate the process otherwise.
 *
 * <p>Invariants: a signal that arrives before an action is set runs the action as soon as it is
 * set; the action runs on one thread at a time; a platform without the signal starts all the same.
 * This class has no logger and uses no other class of the program, so that it can be installed
 * before anything else is loaded. Thread-safe.
 */
final class HangupSignal {
  private static Runnable action;
  private static boolean pending;
  private static Optional<Exception> failure = Optional.empty();

  private HangupSignal() {}

  /**
   * Starts to handle the signal. It is looked up by reflection, since {@code sun.misc.Signal} is
   * not part of the Java platform's API.
   */
  static synchronized void install() {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              HangupSignal.class.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, args) -> {
                if (method.getName().equals("handle")) {
                  received();
                }
                return null;
              });
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
    } catch (ReflectiveOperationException e) {
      failure = Optional.of(e);
    }
  }

  /** Returns why the signal is not handled; empty if it is. */
  static synchronized Optional<Exception> failure() {
    return failure;
  }

  /** Sets what each signal runs; runs it at once if a signal has arrived before. */
  static synchronized void onHangup(Runnable newAction) {
    action = newAction;
    if (pending) {
      pending = false;
      action.run();
    }
  }

  private static synchronized void received() {
    if (action == null) {
      pending = true;
    } else {
      action.run();
    }
  }
}
