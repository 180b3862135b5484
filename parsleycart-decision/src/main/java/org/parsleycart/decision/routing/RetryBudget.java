package org.parsleycart.decision.routing;

/**
 * Bounds retries to a share of first attempts, so that a failing service is not called much more
 * often than a healthy one. Safe for use by several threads.
 */
public final class RetryBudget {
  private static final double RETRIES_PER_CALL = 0.1;
  private static final double MOST_SAVED_RETRIES = 20;

  private final double retriesPerCall;
  private final double mostSaved;
  private double saved;

  // -- construction

  /** Creates a budget of one retry in ten calls. */
  public RetryBudget() {
    this(RETRIES_PER_CALL, MOST_SAVED_RETRIES);
  }

  /**
   * Creates a budget.
   *
   * @param retriesPerCall the share of a retry that a call earns
   * @param mostSaved the most retries saved up, which are there from the start
   */
  public RetryBudget(double retriesPerCall, double mostSaved) {
    this.retriesPerCall = retriesPerCall;
    this.mostSaved = mostSaved;
    this.saved = mostSaved;
  }

  // -- events

  /** Takes note of a first attempt. */
  public synchronized void recordCall() {
    saved = Math.min(mostSaved, saved + retriesPerCall);
  }

  /** Returns whether a retry could be taken now. */
  public synchronized boolean isAvailable() {
    return saved >= 1;
  }

  /** Takes one retry from the budget; returns false when it is spent. */
  public synchronized boolean tryAcquire() {
    if (saved < 1) {
      return false;
    }
    saved -= 1;
    return true;
  }
}
