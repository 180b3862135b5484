package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.parsleycart.link.Threads;
import org.tinylog.Logger;

/**
 * Runs one background worker: repeats a step on a thread of its own until it is stopped.
 *
 * <p>An exception in a step is logged, and the loop continues after a pause. One failed step
 * therefore does not silently end the worker.
 */
final class WorkerLoop {
  private static final Duration PAUSE_AFTER_FAILURE = Duration.ofMillis(200);

  private final String name;
  private final Runnable step;
  private final Thread thread;
  private volatile boolean stopped;

  // -- construction

  /** Creates a loop whose thread has the given name. {@link #start} starts the thread. */
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

  /** Repeats the step until {@link #stop} is called. Runs on the thread of the loop. */
  void run() {
    while (!stopped) {
      try {
        step.run();
      } catch (RuntimeException e) {
        Logger.error(e, "step of worker {} failed; the worker continues", name);
        LockSupport.parkNanos(PAUSE_AFTER_FAILURE.toNanos());
      }
    }
  }
}
