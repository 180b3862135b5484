package org.parsleycart.daemon;

import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * Handles SIGHUP, the signal that asks a process to reload its settings.
 *
 * <p>Without a handler the Java runtime exits at SIGHUP as it does at SIGTERM. Only {@code
 * sun.misc.Signal} can register a handler. It is loaded by reflection, as the compiler rejects
 * direct references to it.
 */
final class HangupSignal {
  private static final String SIGNAL_NAME = "HUP";
  private static final String SIGNAL_CLASS = "sun.misc.Signal";
  private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

  private HangupSignal() {}

  /** Runs the task at each SIGHUP from now on. */
  static void onSignal(Runnable task) {
    try {
      Class<?> signalType = Class.forName(SIGNAL_CLASS);
      Class<?> handlerType = Class.forName(HANDLER_CLASS);
      Object handler =
          Proxy.newProxyInstance(
              handlerType.getClassLoader(),
              new Class<?>[] {handlerType},
              (proxy, method, arguments) -> {
                task.run();
                return null;
              });
      Object signal = signalType.getConstructor(String.class).newInstance(SIGNAL_NAME);
      signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
    } catch (ReflectiveOperationException e) {
      Logger.warn(
          "failed to register a handler for SIGHUP; the signal will end this process: {}",
          e.toString());
    }
  }
}
