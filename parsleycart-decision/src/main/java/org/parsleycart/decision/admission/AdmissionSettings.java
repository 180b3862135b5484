package org.parsleycart.decision.admission;

/**
 * The admission limits of one upstream.
 *
 * @param coldLimit the calls that a cold upstream sustains at once, at least 1
 * @param queueLength the maximum number of queued calls, at least 0
 * @param usesFixedLimit whether the announced slots are the concurrency limit from the start;
 *     otherwise the limit adapts, beginning at the cold limit
 */
public record AdmissionSettings(int coldLimit, int queueLength, boolean usesFixedLimit) {

  // -- construction

  public AdmissionSettings {
    if (coldLimit < 1 || queueLength < 0) {
      throw new IllegalArgumentException(
          "coldLimit must be at least 1 and queueLength at least 0, but are %d and %d"
              .formatted(coldLimit, queueLength));
    }
  }

  /** Creates settings with an adaptive concurrency limit. */
  public AdmissionSettings(int coldLimit, int queueLength) {
    this(coldLimit, queueLength, false);
  }

  // -- queries

  ConcurrencyLimit newLimit(int slots) {
    return usesFixedLimit ? new FixedLimit(slots) : AdaptiveLimit.of(slots, coldLimit);
  }
}
