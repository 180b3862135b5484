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
}
