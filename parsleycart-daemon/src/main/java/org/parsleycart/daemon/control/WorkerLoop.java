package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.parsleycart.link.Threads;
import org.tinylog.Logger;

/**
 * The thread of one duty: repeats a step until it is stopped. A step that throws is logged and the
 * duty goes on after a pause, so that a fault in one step does not end the duty unseen.
 */
final class WorkerLoop {
  private static final Duration PAUSE_AFTER_FAILURE = Duration.ofMillis(200);

  private final String name;
  private final Runnable step;
  private final Thread thread;
  private volatile boolean stopped;

  // -- construction

  /** Creates the loop; {@link #start} starts its thread. */
  WorkerLoop(String name, Runnable step) {
    this.name = requireNonNull(name, "name is null");
    this.step = requireNonNull(step, "step is null");
    this.thread = Threads.newDaemonThread(name, this::run);
  }

  // -- operation

  void start() {
    thread.start();
  }

  void stop() {
    stopped = true;
  }

  /** Repeats the step; runs on the thread of the duty. */
  void run() {
    while (!stopped) {
      try {
        step.run();
      } catch (RuntimeException e) {
        Logger.error(e, "duty {} failed in a step and goes on", name);
        LockSupport.parkNanos(PAUSE_AFTER_FAILURE.toNanos());
      }
    }
  }
}
