package org.parsleycart.decision.rollout;

import java.util.Optional;
import org.parsleycart.decision.message.CallCounts;

/** The old and the new version beside each other on one route. */
final class RouteEvidence {
  private static final double PRIOR_CALLS = 50;
  private static final double PRIOR_CALLS_NOW = 3;
  private static final double SMALLEST_FAILURE_RATE = 0.002;
  private static final double SMALLEST_FAILURE_RISE = 0.02;
  private static final double ACCEPTED_RISE_OF_ONE_ROUTE = 0.05;
  private static final double SMALLEST_SLOW_RATE = 0.01;
  private static final double SMALLEST_SLOW_RISE = 0.1;
  private static final double OLD_SHARE_ABOVE = 0.05;

  /** Two buckets of √2 each: slow is twice what the old version rarely exceeds. */
  private static final int SLACK_BUCKETS = 2;

  private static final double FEWEST_TIMED_OLD_CALLS = 50;

  private final DecayingCallCounts old = new DecayingCallCounts();
  private final DecayingCallCounts oldNow = new DecayingCallCounts();
  private final CumulativeSumDetector failures =
      new CumulativeSumDetector(
          new RateIncreaseHypothesis(SMALLEST_FAILURE_RATE, SMALLEST_FAILURE_RISE));
  private final CumulativeSumDetector slowness =
      new CumulativeSumDetector(new RateIncreaseHypothesis(SMALLEST_SLOW_RATE, SMALLEST_SLOW_RISE));
  private final SequentialProbabilityRatio acceptance;
  private double oldFailureRate;
  private double oldSlowRate;
  private Optional<Integer> slowAbove = Optional.empty();
  private long newCalls;
  private long newFailures;

  // -- construction

  private RouteEvidence(double acceptedRise) {
    this.acceptance =
        new SequentialProbabilityRatio(
            new RateIncreaseHypothesis(SMALLEST_FAILURE_RATE, acceptedRise));
  }

  /** Returns the evidence of one route, accepted on few calls since the sum goes on watching. */
  static RouteEvidence ofOneRoute() {
    return new RouteEvidence(ACCEPTED_RISE_OF_ONE_ROUTE);
  }

  /** Returns the evidence of all routes together. */
  static RouteEvidence ofAllRoutes() {
    return new RouteEvidence(SMALLEST_FAILURE_RISE);
  }

  // -- events

  void decay(double keptShare, double keptShareNow) {
    old.decay(keptShare);
    oldNow.decay(keptShareNow);
  }

  /**
   * Takes calls of the old version; the rates last known stay when it gets no more traffic.
   *
   * <p>The larger of the lasting rate and the rate right now counts, so that a fault that strikes
   * both versions at once is not held against the new one.
   */
  void addOldVersionCalls(CallCounts counts, int objectiveBucket) {
    old.add(counts);
    oldNow.add(counts);
    if (old.totalCalls() > 0) {
      oldFailureRate = Math.max(old.failureRate(PRIOR_CALLS), oldNow.failureRate(PRIOR_CALLS_NOW));
    }
    if (old.timedCalls() >= FEWEST_TIMED_OLD_CALLS) {
      int usual = old.upperQuantileBucket(OLD_SHARE_ABOVE) + SLACK_BUCKETS;
      int threshold = Math.min(LatencyBuckets.COUNT - 1, Math.min(usual, objectiveBucket));
      slowAbove = Optional.of(threshold);
      oldSlowRate =
          Math.max(old.slowRate(threshold, 0), oldNow.slowRate(threshold, PRIOR_CALLS_NOW));
    }
  }

  void addNewVersionCalls(CallCounts counts) {
    newCalls += counts.total();
    newFailures += counts.failed();
    double answered = counts.answered();
    double failed = counts.failed();
    failures.observe(answered, failed, oldFailureRate);
    acceptance.observe(answered, failed, oldFailureRate);
    if (slowAbove.isPresent()) {
      DecayingCallCounts fresh = new DecayingCallCounts();
      fresh.add(counts);
      double slow = fresh.timedCallsAbove(slowAbove.get());
      slowness.observe(fresh.timedCalls() - slow, slow, oldSlowRate);
    }
  }

  // -- queries

  double oldVersionCalls() {
    return old.totalCalls();
  }

  long newVersionCalls() {
    return newCalls;
  }

  boolean isAccepted() {
    return acceptance.isAccepted();
  }

  /** Returns why the version is condemned on this route, if it is. */
  Optional<String> rejectionReason() {
    if (failures.isRejected()) {
      return Optional.of(
          "%d of %d calls failed, old version %.1f%%"
              .formatted(newFailures, newCalls, 100 * oldFailureRate));
    }
    if (slowness.isRejected()) {
      return Optional.of(
          "too many slow answers in %d calls, old version %.1f%%"
              .formatted(newCalls, 100 * oldSlowRate));
    }
    return Optional.empty();
  }
}
