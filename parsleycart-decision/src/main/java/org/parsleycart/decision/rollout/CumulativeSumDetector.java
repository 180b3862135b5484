package org.parsleycart.decision.rollout;

/**
 * Condemns when the rate has risen (Page 1954). The sum forgets all good news, so that a fault that
 * begins late shows as fast as one that is there at once.
 */
final class CumulativeSumDetector {
  /** A good version reaches this in about one of a million times that its sum leaves zero. */
  private static final double CONDEMN_ABOVE = Math.log(1e6);

  private final RateIncreaseHypothesis rise;
  private double sum;

  CumulativeSumDetector(RateIncreaseHypothesis rise) {
    this.rise = rise;
  }

  void observe(double good, double bad, double oldRate) {
    sum = Math.max(0, sum + rise.logLikelihoodRatio(good, bad, oldRate));
  }

  boolean isRejected() {
    return sum > CONDEMN_ABOVE;
  }
}
