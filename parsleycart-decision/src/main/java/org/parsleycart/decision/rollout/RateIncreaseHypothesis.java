package org.parsleycart.decision.rollout;

/**
 * The hypothesis of both sequential tests: the rate of bad calls exceeds that of the old version by
 * at least a given increase.
 *
 * @param minimumOldRate the rate assumed of the old version if its observed rate is lower
 * @param minimumIncrease the increase that makes a version bad; the old rate itself if that is
 *     larger
 */
record RateIncreaseHypothesis(double minimumOldRate, double minimumIncrease) {
  private static final double MAXIMUM_EXPECTED_RATE = 0.5;
  private static final double MAXIMUM_INCREASED_RATE = 0.95;

  /**
   * Returns the log-likelihood ratio of calls under an increased versus an unchanged rate. Returns
   * zero if the old version is mostly bad itself, because such calls are inconclusive.
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
