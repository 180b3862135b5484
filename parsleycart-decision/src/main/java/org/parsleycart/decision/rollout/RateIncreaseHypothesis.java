package org.parsleycart.decision.rollout;

/**
 * The question that both sequential tests ask: has the rate of bad calls risen above that of the
 * old version by at least so much?
 *
 * @param smallestRate the rate assumed of the old version when it shows less
 * @param smallestRise the rise that makes a version bad, at least doubling the old rate
 */
record RateIncreaseHypothesis(double smallestRate, double smallestRise) {
  private static final double HIGHEST_EXPECTED_RATE = 0.5;
  private static final double HIGHEST_RISEN_RATE = 0.95;

  /**
   * Returns the log-likelihood ratio of calls under a risen against an unchanged rate; zero when
   * the old version is mostly bad itself, as then nothing can be told.
   */
  double logLikelihoodRatio(double good, double bad, double oldRate) {
    double expected = Math.max(smallestRate, oldRate);
    if (expected > HIGHEST_EXPECTED_RATE) {
      return 0;
    }
    double risen = Math.min(HIGHEST_RISEN_RATE, expected + Math.max(smallestRise, expected));
    return bad * Math.log(risen / expected) + good * Math.log((1 - risen) / (1 - expected));
  }
}
