package org.parsleycart.daemon.call;

import org.parsleycart.decision.membership.DepartedProcess;

/** Stores departures of upstreams so that they outlast the daemon. Thread-safe. */
@FunctionalInterface
public interface DepartureStore {
  /**
   * Stores a departure.
   *
   * @param listener runs on any thread once the departure is stored; never if that stays impossible
   */
  void store(DepartedProcess departed, Runnable listener);
}
