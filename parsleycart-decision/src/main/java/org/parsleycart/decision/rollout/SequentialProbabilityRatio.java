package org.parsleycart.decision.rollout;

/**
 * Accepts a version once enough good calls contradict an increased rate of bad calls (sequential
 * probability ratio test, Wald 1945). An accepted version stays accepted.
 */
final class SequentialProbabilityRatio {
  /** A bad version falls below this threshold with a probability of about one in a hundred. */
  private static final double ACCEPTANCE_THRESHOLD = Math.log(0.01);

  private final RateIncreaseHypothesis hypothesis;
  private double logLikelihoodRatio;
  private boolean isAccepted;

  SequentialProbabilityRatio(RateIncreaseHypothesis hypothesis) {
    this.hypothesis = hypothesis;
  }

  void observe(double goodCalls, double badCalls, double oldBadRate) {
    logLikelihoodRatio += hypothesis.logLikelihoodRatio(goodCalls, badCalls, oldBadRate);
    isAccepted = isAccepted || logLikelihoodRatio < ACCEPTANCE_THRESHOLD;
  }

  boolean isAccepted() {
    return isAccepted;
  }
}
