package org.parsleycart.decision.rollout;

import java.util.Optional;
import org.parsleycart.decision.message.CallCounts;

/** Evidence that compares the old and the new version of a rollout on one route. */
final class RouteEvidence {
  private static final double PRIOR_CALLS = 50;
  private static final double RECENT_PRIOR_CALLS = 3;
  private static final double MINIMUM_FAILURE_RATE = 0.002;
  private static final double MINIMUM_FAILURE_RATE_INCREASE = 0.02;
  private static final double SINGLE_ROUTE_FAILURE_RATE_INCREASE = 0.05;
  private static final double MINIMUM_SLOW_RATE = 0.01;
  private static final double MINIMUM_SLOW_RATE_INCREASE = 0.1;
  private static final double OLD_SHARE_ABOVE_USUAL = 0.05;

  /**
   * Two buckets, a factor of √2 each: a call is slow above twice the latency that the old version
   * rarely exceeds.
   */
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

  /**
   * Returns the evidence for one route. It accepts a version after fewer calls because the
   * cumulative sum continues to monitor it.
   */
  static RouteEvidence ofOneRoute() {
    return new RouteEvidence(SINGLE_ROUTE_FAILURE_RATE_INCREASE);
  }

  /** Returns the evidence for all routes combined. */
  static RouteEvidence ofAllRoutes() {
    return new RouteEvidence(MINIMUM_FAILURE_RATE_INCREASE);
  }

  // -- events

  void decay(double retainedShare, double recentRetainedShare) {
    oldVersion.decay(retainedShare);
    recentOldVersion.decay(recentRetainedShare);
  }

  /**
   * Adds calls of the old version. The last known rates remain in use when the old version receives
   * no more traffic.
   *
   * <p>The larger of the long-term and the recent rate is used, so that a fault that affects both
   * versions at once is not attributed to the new version.
   *
   * @param objectiveBucket the latency bucket of the objective of the route
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

  /** Returns why the new version is rejected on this route, or empty if it is not. */
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
