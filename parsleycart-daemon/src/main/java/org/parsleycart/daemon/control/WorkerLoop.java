package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.parsleycart.daemon.state.WorkerHealth;
import org.parsleycart.link.Threads;
import org.tinylog.Logger;

/**
 * Runs one background worker: repeats a step on a thread of its own until it is stopped.
 *
 * <p>An exception in a step is logged, and the loop continues after a pause. One failed step
 * therefore does not silently end the worker. The loop also continues after an error, such as a
 * lack of memory, but the daemon is not ready until a step succeeds. After several errors in a row
 * the last one ends the thread, and with it the process.
 */
final class WorkerLoop {
  static final int MAXIMUM_ERRORS_IN_A_ROW = 10;
  private static final Duration PAUSE_AFTER_FAILURE = Duration.ofMillis(200);

  private final String name;
  private final Runnable step;
  private final WorkerHealth health;
  private final Thread thread;
  private volatile boolean stopped;

  // -- construction

  /**
   * Creates a loop whose thread has the given name. {@link #start} starts the thread.
   *
   * @param health records whether the steps end with errors
   */
  WorkerLoop(String name, Runnable step, WorkerHealth health) {
    this.name = requireNonNull(name, "name is null");
    this.step = requireNonNull(step, "step is null");
    this.health = requireNonNull(health, "health is null");
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
    int errors = 0;
    while (!stopped) {
      try {
        step.run();
        errors = 0;
        health.recordStep(name);
      } catch (RuntimeException e) {
        errors = 0;
        health.recordStep(name);
        Logger.error(e, "step of worker {} failed; the worker continues", name);
        LockSupport.parkNanos(PAUSE_AFTER_FAILURE.toNanos());
      } catch (Error e) {
        errors++;
        health.recordError(name);
        if (errors >= MAXIMUM_ERRORS_IN_A_ROW) {
          throw e;
        }
        logError(e);
        LockSupport.parkNanos(PAUSE_AFTER_FAILURE.toNanos());
      }
    }
  }

  private void logError(Error cause) {
    try {
      Logger.error(cause, "step of worker {} failed; not ready until one succeeds", name);
    } catch (Error e) {
      // The lack of memory that failed the step may fail its log line too. Readiness tells of it.
      health.recordError(name);
    }
  }
}
