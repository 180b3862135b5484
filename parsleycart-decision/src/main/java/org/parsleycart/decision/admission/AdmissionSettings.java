package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.util.OptionalLong;

/**
 * The admission limits of one upstream.
 *
 * @param coldLimit the calls that a cold upstream sustains at once, at least 1
 * @param queueLength the maximum number of queued calls, at least 0
 * @param usesFixedLimit whether the announced slots are the concurrency limit from the start;
 *     otherwise the limit adapts, beginning at the cold limit
 * @param linkBytesPerSecond the rate of the link of the VM, empty if it does not limit calls
 */
public record AdmissionSettings(
    int coldLimit, int queueLength, boolean usesFixedLimit, OptionalLong linkBytesPerSecond) {

  // -- construction

  public AdmissionSettings {
    requireNonNull(linkBytesPerSecond, "linkBytesPerSecond is null");
    if (coldLimit < 1 || queueLength < 0) {
      throw new IllegalArgumentException(
          "coldLimit must be at least 1 and queueLength at least 0, but are %d and %d"
              .formatted(coldLimit, queueLength));
    }
  }

  /** Creates settings without a limit by the link. */
  public AdmissionSettings(int coldLimit, int queueLength, boolean usesFixedLimit) {
    this(coldLimit, queueLength, usesFixedLimit, OptionalLong.empty());
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
