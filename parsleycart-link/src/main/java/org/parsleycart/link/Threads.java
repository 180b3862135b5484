package org.parsleycart.link;

import static java.util.Objects.requireNonNull;

/** Makes the threads of the duties. */
public final class Threads {
  private Threads() {}

  /** Returns a thread, not started, that does not keep the process alive. */
  public static Thread newDaemonThread(String name, Runnable task) {
    requireNonNull(name, "name is null");
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }
}
