package org.parsleycart.decision.rollout;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.OptionalInt;
import org.parsleycart.model.Rollout;

/**
 * The traffic shares of a rollout and the times at which they are due. The full share is reached
 * and soaked before the deadline set by the operator.
 */
final class RolloutSchedule {
  /** The maximum share before the evidence accepts the version, in thousandths. */
  static final int MAXIMUM_UNPROVEN_SHARE_PER_MILLE = 50;

  private static final int[] SHARES_PER_MILLE = {
    10, MAXIMUM_UNPROVEN_SHARE_PER_MILLE, 100, 250, 500, 1000
  };
  private static final double[] DUE_FRACTIONS = {0.0, 0.05, 0.35, 0.5, 0.65, 0.8};
  private static final double SOAK_END_FRACTION = 0.95;

  private final Instant startedAt;
  private final Duration completeWithin;

  // -- construction

  private RolloutSchedule(Instant startedAt, Duration completeWithin) {
    this.startedAt = startedAt;
    this.completeWithin = completeWithin;
  }

  static RolloutSchedule of(Rollout rollout) {
    requireNonNull(rollout, "rollout is null");
    return new RolloutSchedule(Instant.ofEpochMilli(rollout.startedAt()), rollout.completeWithin());
  }

  // -- queries

  /** Returns the next share after the given one in thousandths, or empty if it is not due yet. */
  OptionalInt nextDueShare(int sharePerMille, Instant now) {
    return Arrays.stream(SHARES_PER_MILLE)
        .filter(share -> share > sharePerMille)
        .findFirst()
        .stream()
        .filter(share -> !now.isBefore(dueTime(share)))
        .findFirst();
  }

  boolean isSoakComplete(Instant now) {
    return !now.isBefore(timeAt(SOAK_END_FRACTION));
  }

  boolean isOverdue(Instant now) {
    return now.isAfter(timeAt(1.0));
  }

  private Instant dueTime(int share) {
    int index = Arrays.binarySearch(SHARES_PER_MILLE, share);
    return timeAt(DUE_FRACTIONS[index]);
  }

  private Instant timeAt(double fraction) {
    return startedAt.plusNanos((long) (completeWithin.toNanos() * fraction));
  }
}
