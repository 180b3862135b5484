package org.parsleycart.daemon;

import static java.util.Objects.requireNonNull;

import java.util.function.IntConsumer;
import org.tinylog.Logger;

/**
 * Ends the process when one of its threads ends with an exception or an error. A daemon that lacks
 * a thread would go on without a part of its work.
 */
final class UncaughtErrorHandler implements Thread.UncaughtExceptionHandler {
  static final int EXIT_THREAD_ENDED = 3;

  private final IntConsumer halt;

  /**
   * Creates a handler.
   *
   * @param halt ends the process with an exit code, without running shutdown hooks
   */
  UncaughtErrorHandler(IntConsumer halt) {
    this.halt = requireNonNull(halt, "halt is null");
  }

  @Override
  public void uncaughtException(Thread thread, Throwable cause) {
    try {
      Logger.error(cause, "thread {} ended; the process ends with it", thread.getName());
    } finally {
      halt.accept(EXIT_THREAD_ENDED);
    }
  }
}
