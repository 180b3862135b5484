package org.parsleycart.decision.routing;

/**
 * Limits retries to a share of first attempts, so that a failing service receives few more calls
 * than a healthy one. Thread-safe.
 */
public final class RetryBudget {
  private static final double RETRIES_PER_CALL = 0.1;
  private static final double MAXIMUM_RETRIES = 20;

  private final double retriesPerCall;
  private final double maximumRetries;
  private double availableRetries;

  // -- construction

  /** Creates a budget of one retry per ten calls. */
  public RetryBudget() {
    this(RETRIES_PER_CALL, MAXIMUM_RETRIES);
  }

  /**
   * Creates a full budget.
   *
   * @param retriesPerCall the retries that each first attempt adds to the budget, usually a
   *     fraction
   * @param maximumRetries the maximum number of retries in the budget
   */
  public RetryBudget(double retriesPerCall, double maximumRetries) {
    this.retriesPerCall = retriesPerCall;
    this.maximumRetries = maximumRetries;
    this.availableRetries = maximumRetries;
  }

  // -- events

  /** Records a first attempt, which adds its share of a retry to the budget. */
  public synchronized void recordCall() {
    availableRetries = Math.min(maximumRetries, availableRetries + retriesPerCall);
  }

  /** Returns whether the budget contains a whole retry. */
  public synchronized boolean isAvailable() {
    return availableRetries >= 1;
  }

  /**
   * Takes one retry from the budget. Returns false if the budget does not contain a whole retry.
   */
  public synchronized boolean tryAcquire() {
    if (availableRetries < 1) {
      return false;
    }
    availableRetries -= 1;
    return true;
  }
}
