package org.parsleycart.decision.routing;

/**
 * Bounds retries to a share of first attempts, so that a failing service is not called much more
 * often than a healthy one. Safe for use by several threads.
 */
public final class RetryBudget {
  private static final double RETRIES_PER_CALL = 0.1;
  private static final double MOST_SAVED_RETRIES = 20;

  private double saved = MOST_SAVED_RETRIES;

  // -- events

  /** Takes note of a first attempt. */
  public synchronized void called() {
    saved = Math.min(MOST_SAVED_RETRIES, saved + RETRIES_PER_CALL);
  }

  /** Takes one retry from the budget; returns false when it is spent. */
  public synchronized boolean take() {
    if (saved < 1) {
      return false;
    }
    saved -= 1;
    return true;
  }
}
