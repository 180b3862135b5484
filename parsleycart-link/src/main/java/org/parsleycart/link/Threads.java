package org.parsleycart.link;

import static java.util.Objects.requireNonNull;

/** Factory methods for threads. */
public final class Threads {
  private Threads() {}

  /** Creates a thread that does not keep the process alive; it is not started. */
  public static Thread newDaemonThread(String name, Runnable task) {
    requireNonNull(name, "name is null");
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }

  /**
   * Creates a thread of a pool, which starts a new one after one that ended with an exception or an
   * error; the thread is not started.
   *
   * @param failures receives what ended the thread
   */
  public static Thread newPoolThread(
      String name, Runnable task, Thread.UncaughtExceptionHandler failures) {
    Thread thread = newDaemonThread(name, task);
    thread.setUncaughtExceptionHandler(requireNonNull(failures, "failures is null"));
    return thread;
  }
}
