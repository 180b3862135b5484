package org.parsleycart.decision.rollout;

import java.util.Optional;
import org.parsleycart.decision.message.CallCounts;

/** The old and the new version beside each other on one route. */
final class RouteEvidence {
  private static final double PRIOR_CALLS = 50;
  private static final double RECENT_PRIOR_CALLS = 3;
  private static final double MINIMUM_FAILURE_RATE = 0.002;
  private static final double MINIMUM_FAILURE_RATE_INCREASE = 0.02;
  private static final double SINGLE_ROUTE_FAILURE_RATE_INCREASE = 0.05;
  private static final double MINIMUM_SLOW_RATE = 0.01;
  private static final double MINIMUM_SLOW_RATE_INCREASE = 0.1;
  private static final double OLD_SHARE_ABOVE_USUAL = 0.05;

  /** Two buckets of √2 each: slow is twice what the old version rarely exceeds. */
  private static final int SLACK_BUCKETS = 2;

  private static final double MINIMUM_TIMED_OLD_CALLS = 50;

  private final DecayingCallCounts oldVersion = new DecayingCallCounts();
  private final DecayingCallCounts recentOldVersion = new DecayingCallCounts();
  private final CumulativeSumDetector failureDetector =
      new CumulativeSumDetector(
          new RateIncreaseHypothesis(MINIMUM_FAILURE_RATE, MINIMUM_FAILURE_RATE_INCREASE));
  private final CumulativeSumDetector slownessDetector =
      new CumulativeSumDetector(
          new RateIncreaseHypothesis(MINIMUM_SLOW_RATE, MINIMUM_SLOW_RATE_INCREASE));
  private final SequentialProbabilityRatio acceptance;
  private double oldFailureRate;
  private double oldSlowRate;
  private Optional<Integer> slowAboveBucket = Optional.empty();
  private long newVersionCalls;
  private long newVersionFailures;

  // -- construction

  private RouteEvidence(double rejectedIncrease) {
    this.acceptance =
        new SequentialProbabilityRatio(
            new RateIncreaseHypothesis(MINIMUM_FAILURE_RATE, rejectedIncrease));
  }

  /** Returns the evidence of one route, accepted on few calls since the sum goes on watching. */
  static RouteEvidence ofOneRoute() {
    return new RouteEvidence(SINGLE_ROUTE_FAILURE_RATE_INCREASE);
  }

  /** Returns the evidence of all routes together. */
  static RouteEvidence ofAllRoutes() {
    return new RouteEvidence(MINIMUM_FAILURE_RATE_INCREASE);
  }

  // -- events

  void decay(double retainedShare, double recentRetainedShare) {
    oldVersion.decay(retainedShare);
    recentOldVersion.decay(recentRetainedShare);
  }

  /**
   * Takes calls of the old version; the rates last known stay when it gets no more traffic.
   *
   * <p>The larger of the lasting rate and the rate right now counts, so that a fault that strikes
   * both versions at once is not held against the new one.
   */
  void addOldVersionCalls(CallCounts counts, int objectiveBucket) {
    oldVersion.add(counts);
    recentOldVersion.add(counts);
    if (oldVersion.totalCalls() > 0) {
      oldFailureRate =
          Math.max(
              oldVersion.failureRate(PRIOR_CALLS),
              recentOldVersion.failureRate(RECENT_PRIOR_CALLS));
    }
    if (oldVersion.timedCalls() >= MINIMUM_TIMED_OLD_CALLS) {
      int usualBucket = oldVersion.upperQuantileBucket(OLD_SHARE_ABOVE_USUAL) + SLACK_BUCKETS;
      int slowBucket = Math.min(LatencyBuckets.COUNT - 1, Math.min(usualBucket, objectiveBucket));
      slowAboveBucket = Optional.of(slowBucket);
      oldSlowRate =
          Math.max(
              oldVersion.slowRate(slowBucket, 0),
              recentOldVersion.slowRate(slowBucket, RECENT_PRIOR_CALLS));
    }
  }

  void addNewVersionCalls(CallCounts counts) {
    newVersionCalls += counts.total();
    newVersionFailures += counts.failed();
    double answered = counts.answered();
    double failed = counts.failed();
    failureDetector.observe(answered, failed, oldFailureRate);
    acceptance.observe(answered, failed, oldFailureRate);
    if (slowAboveBucket.isPresent()) {
      DecayingCallCounts added = new DecayingCallCounts();
      added.add(counts);
      double slow = added.timedCallsAbove(slowAboveBucket.get());
      slownessDetector.observe(added.timedCalls() - slow, slow, oldSlowRate);
    }
  }

  // -- queries

  double oldVersionCalls() {
    return oldVersion.totalCalls();
  }

  long newVersionCalls() {
    return newVersionCalls;
  }

  boolean isAccepted() {
    return acceptance.isAccepted();
  }

  /** Returns why the version is condemned on this route, if it is. */
  Optional<String> rejectionReason() {
    if (failureDetector.isRejected()) {
      return Optional.of(
          "%d of %d calls failed, old version %.1f%%"
              .formatted(newVersionFailures, newVersionCalls, 100 * oldFailureRate));
    }
    if (slownessDetector.isRejected()) {
      return Optional.of(
          "too many slow answers in %d calls, old version %.1f%%"
              .formatted(newVersionCalls, 100 * oldSlowRate));
    }
    return Optional.empty();
  }
}
