package org.parsleycart.decision.rollout;

/**
 * Condemns when the rate has risen (Page 1954). The sum forgets all good news, so that a fault that
 * begins late shows as fast as one that is there at once.
 */
final class CumulativeSumDetector {
  /** A good version reaches this in about one of a million times that its sum leaves zero. */
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
