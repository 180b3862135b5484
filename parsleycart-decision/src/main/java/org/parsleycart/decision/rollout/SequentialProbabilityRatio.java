package org.parsleycart.decision.rollout;

/** Accepts once enough good calls speak against a risen rate (Wald 1945). */
final class SequentialProbabilityRatio {
  /** A bad version is accepted with a probability of about one in a hundred. */
  private static final double ACCEPT_BELOW = Math.log(0.01);

  private final RateIncreaseHypothesis rise;
  private double ratio;
  private boolean accepted;

  SequentialProbabilityRatio(RateIncreaseHypothesis rise) {
    this.rise = rise;
  }

  void observe(double good, double bad, double oldRate) {
    ratio += rise.logLikelihoodRatio(good, bad, oldRate);
    accepted = accepted || ratio < ACCEPT_BELOW;
  }

  boolean isAccepted() {
    return accepted;
  }
}
