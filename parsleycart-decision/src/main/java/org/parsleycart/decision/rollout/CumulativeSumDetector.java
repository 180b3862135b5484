package org.parsleycart.decision.rollout;

/**
 * Rejects a version when its rate of bad calls has increased (CUSUM, Page 1954). The sum never
 * falls below zero, so that a fault that begins late is detected as fast as one that exists from
 * the start.
 */
final class CumulativeSumDetector {
  /**
   * A good version exceeds this threshold in about one of a million excursions of the sum above
   * zero.
   */
  private static final double REJECTION_THRESHOLD = Math.log(1e6);

  private final RateIncreaseHypothesis hypothesis;
  private double sum;

  CumulativeSumDetector(RateIncreaseHypothesis hypothesis) {
    this.hypothesis = hypothesis;
  }

  void observe(double goodCalls, double badCalls, double oldBadRate) {
    sum = Math.max(0, sum + hypothesis.logLikelihoodRatio(goodCalls, badCalls, oldBadRate));
  }

  boolean isRejected() {
    return sum > REJECTION_THRESHOLD;
  }
}
