package org.parsleycart.decision.routing;

/**
 * Bounds retries to a share of first attempts, so that a failing service is not called much more
 * often than a healthy one. Safe for use by several threads.
 */
public final class RetryBudget {
  private static final double RETRIES_PER_CALL = 0.1;
  private static final double MAXIMUM_RETRIES = 20;

  private final double retriesPerCall;
  private final double maximumRetries;
  private double availableRetries;

  // -- construction

  /** Creates a budget of one retry in ten calls. */
  public RetryBudget() {
    this(RETRIES_PER_CALL, MAXIMUM_RETRIES);
  }

  /**
   * Creates a budget.
   *
   * @param retriesPerCall the share of a retry that a call earns
   * @param mostSaved the most retries saved up, which are there from the start
   */
  public RetryBudget(double retriesPerCall, double maximumRetries) {
    this.retriesPerCall = retriesPerCall;
    this.maximumRetries = maximumRetries;
    this.availableRetries = maximumRetries;
  }

  // -- events

  /** Takes note of a first attempt. */
  public synchronized void recordCall() {
    availableRetries = Math.min(maximumRetries, availableRetries + retriesPerCall);
  }

  /** Returns whether a retry could be taken now. */
  public synchronized boolean isAvailable() {
    return availableRetries >= 1;
  }

  /** Takes one retry from the budget; returns false when it is spent. */
  public synchronized boolean tryAcquire() {
    if (availableRetries < 1) {
      return false;
    }
    availableRetries -= 1;
    return true;
  }
}
