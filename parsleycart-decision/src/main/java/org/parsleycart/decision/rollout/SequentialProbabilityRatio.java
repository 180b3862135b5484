package org.parsleycart.decision.rollout;

/** Accepts once enough good calls speak against a risen rate (Wald 1945). */
final class SequentialProbabilityRatio {
  /** A bad version is accepted with a probability of about one in a hundred. */
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
