package org.parsleycart.daemon.state;

import static java.util.Objects.requireNonNull;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Which background workers of a daemon fail for want of a resource. Thread-safe. */
public final class WorkerHealth {
  private final Set<String> failing = ConcurrentHashMap.newKeySet();

  /** Records that the last step of a worker ended with an error. */
  public void recordError(String worker) {
    failing.add(requireNonNull(worker, "worker is null"));
  }

  /** Records that the last step of a worker ended without an error. */
  public void recordStep(String worker) {
    if (!failing.isEmpty()) {
      failing.remove(requireNonNull(worker, "worker is null"));
    }
  }

  /** Returns whether the last step of each worker ended without an error. */
  public boolean isSound() {
    return failing.isEmpty();
  }
}
