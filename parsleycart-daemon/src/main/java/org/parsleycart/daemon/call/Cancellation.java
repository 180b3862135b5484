package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

/**
 * Cancels the work on a call when its caller disconnects. Confined to the input/output thread of
 * the exchange.
 */
final class Cancellation {
  private Runnable action = () -> {};
  private boolean isCancelled;

  // -- events

  /** Replaces the action to run on cancellation. Runs it immediately if the call is cancelled. */
  void onCancel(Runnable newAction) {
    action = requireNonNull(newAction, "newAction is null");
    if (isCancelled) {
      action.run();
    }
  }

  /** Runs the current action. Later calls have no effect. */
  void cancel() {
    if (!isCancelled) {
      isCancelled = true;
      action.run();
    }
  }

  // -- queries

  boolean isCancelled() {
    return isCancelled;
  }
}
