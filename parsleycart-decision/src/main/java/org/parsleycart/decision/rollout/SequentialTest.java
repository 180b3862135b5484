package org.parsleycart.decision.rollout;

/**
 * Tests while calls come in whether the share of bad calls has risen above that of the old version.
 *
 * <p>Two statistics run over the same log-likelihood ratios (Wald 1945; Page 1954). The cumulative
 * sum condemns: it forgets all good news, so that a fault that begins late shows as fast as one
 * that is there at once. The probability ratio accepts: it ends when enough good calls have come.
 */
final class SequentialTest {
  /** A good version is condemned in about one of a million times that its sum leaves zero. */
  private static final double CONDEMN_ABOVE = Math.log(1e6);

  /** A bad version is accepted with a probability of about one in a hundred. */
  private static final double ACCEPT_BELOW = Math.log(0.01);

  private final double smallestRate;
  private final double smallestRise;
  private double cumulativeSum;
  private double probabilityRatio;
  private boolean accepted;

  // -- construction

  /**
   * Creates a test.
   *
   * @param smallestRate the rate of bad calls assumed of the old version when it shows less
   * @param smallestRise the rise of the rate that makes a version bad
   */
  SequentialTest(double smallestRate, double smallestRise) {
    this.smallestRate = smallestRate;
    this.smallestRise = smallestRise;
  }

  // -- events

  /**
   * Takes new calls.
   *
   * @param good the number of good calls of the new version
   * @param bad the number of bad calls of the new version
   * @param oldRate the rate of bad calls of the old version at the same time
   */
  void observe(double good, double bad, double oldRate) {
    double expected = Math.min(0.5, Math.max(smallestRate, oldRate));
    double risen = Math.min(0.95, expected + Math.max(smallestRise, expected));
    double ratio = bad * Math.log(risen / expected) + good * Math.log((1 - risen) / (1 - expected));
    cumulativeSum = Math.max(0, cumulativeSum + ratio);
    probabilityRatio = accepted ? probabilityRatio : probabilityRatio + ratio;
    accepted = accepted || probabilityRatio < ACCEPT_BELOW;
  }

  // -- queries

  boolean isCondemned() {
    return cumulativeSum > CONDEMN_ABOVE;
  }

  boolean isAccepted() {
    return accepted;
  }
}
