package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

/**
 * Cancels the work on a call when its caller disconnects. Confined to the input/output thread of
 * the exchange.
 */
final class Cancellation {
  private Runnable action = () -> {};
  private boolean cancelled;

  // -- events

  /** Replaces the action to run on cancellation. Runs it at once if the call is cancelled. */
  void onCancel(Runnable newAction) {
    action = requireNonNull(newAction, "newAction is null");
    if (cancelled) {
      action.run();
    }
  }

  /** Runs the current action. Later calls have no effect. */
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
