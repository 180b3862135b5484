package org.parsleycart.decision.rollout;

/**
 * The question that both sequential tests ask: has the rate of bad calls risen above that of the
 * old version by at least so much?
 *
 * @param smallestRate the rate assumed of the old version when it shows less
 * @param smallestRise the rise that makes a version bad, at least doubling the old rate
 */
record RateIncreaseHypothesis(double minimumOldRate, double minimumIncrease) {
  private static final double MAXIMUM_EXPECTED_RATE = 0.5;
  private static final double MAXIMUM_INCREASED_RATE = 0.95;

  /**
   * Returns the log-likelihood ratio of calls under a risen against an unchanged rate; zero when
   * the old version is mostly bad itself, as then nothing can be told.
   */
  double logLikelihoodRatio(double goodCalls, double badCalls, double oldBadRate) {
    double expected = Math.max(minimumOldRate, oldBadRate);
    if (expected > MAXIMUM_EXPECTED_RATE) {
      return 0;
    }
    double increased =
        Math.min(MAXIMUM_INCREASED_RATE, expected + Math.max(minimumIncrease, expected));
    return badCalls * Math.log(increased / expected)
        + goodCalls * Math.log((1 - increased) / (1 - expected));
  }
}
