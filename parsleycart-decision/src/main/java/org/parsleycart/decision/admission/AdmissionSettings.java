package org.parsleycart.decision.admission;

/**
 * The bounds of admission beside one upstream.
 *
 * @param coldLimit the calls that a cold upstream bears at once
 * @param queueLength the most calls that wait
 * @param usesFixedLimit whether the announced slots are the limit from the start; otherwise the
 *     limit is learnt, beginning at the cold limit
 */
public record AdmissionSettings(int coldLimit, int queueLength, boolean usesFixedLimit) {

  // -- construction

  public AdmissionSettings {
    if (coldLimit < 1 || queueLength < 0) {
      throw new IllegalArgumentException("coldLimit must be at least 1, queueLength at least 0");
    }
  }

  /** Creates bounds under which the limit is learnt. */
  public AdmissionSettings(int coldLimit, int queueLength) {
    this(coldLimit, queueLength, false);
  }

  // -- queries

  ConcurrencyLimit newLimit(int slots) {
    return usesFixedLimit ? new FixedLimit(slots) : AdaptiveLimit.of(slots, coldLimit);
  }
}
