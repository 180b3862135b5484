package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

/**
 * Stops the work on a call once its caller has gone. Used by the input/output thread of the call's
 * exchange.
 */
final class Cancellation {
  private Runnable action = () -> {};
  private boolean cancelled;

  // -- events

  /** Sets what to stop from now on; it is stopped at once when the caller has gone already. */
  void onCancel(Runnable newAction) {
    action = requireNonNull(newAction, "newAction is null");
    if (cancelled) {
      action.run();
    }
  }

  /** Stops the work; later calls do nothing. */
  void cancel() {
    if (!cancelled) {
      cancelled = true;
      action.run();
    }
  }

  // -- queries

  boolean isCancelled() {
    return cancelled;
  }
}
