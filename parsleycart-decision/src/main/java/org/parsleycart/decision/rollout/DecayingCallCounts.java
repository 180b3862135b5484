package org.parsleycart.decision.rollout;

import java.util.stream.IntStream;
import org.parsleycart.decision.message.CallCounts;

/** Call counts of one version on one route, in which older calls have less weight. */
final class DecayingCallCounts {
  private double answered;
  private double failed;
  private final double[] timedCallsByBucket = new double[LatencyBuckets.COUNT];

  // -- events

  void decay(double retainedShare) {
    answered *= retainedShare;
    failed *= retainedShare;
    for (int bucket = 0; bucket < timedCallsByBucket.length; bucket++) {
      timedCallsByBucket[bucket] *= retainedShare;
    }
  }

  void add(CallCounts counts) {
    answered += counts.answered();
    failed += counts.failed();
    for (int bucket = 0; bucket < timedCallsByBucket.length; bucket++) {
      timedCallsByBucket[bucket] += counts.latencies().get(bucket);
    }
  }

  // -- queries

  double totalCalls() {
    return answered + failed;
  }

  /**
   * Returns the share of failed calls. The prior calls count as successful and limit the influence
   * of few calls.
   */
  double failureRate(double priorCalls) {
    return failed / (totalCalls() + priorCalls);
  }

  double timedCalls() {
    return IntStream.range(0, timedCallsByBucket.length)
        .mapToDouble(bucket -> timedCallsByBucket[bucket])
        .sum();
  }

  double timedCallsAbove(int bucket) {
    return IntStream.range(bucket + 1, timedCallsByBucket.length)
        .mapToDouble(index -> timedCallsByBucket[index])
        .sum();
  }

  /**
   * Returns the share of timed calls above a bucket, with prior calls as for failures, or zero if
   * there are no calls.
   */
  double slowRate(int bucket, double priorCalls) {
    double allCalls = timedCalls() + priorCalls;
    return allCalls == 0 ? 0 : timedCallsAbove(bucket) / allCalls;
  }

  /** Returns the first bucket above which at most the given share of the timed calls lies. */
  int upperQuantileBucket(double share) {
    double maximumCallsAbove = timedCalls() * share;
    return IntStream.range(0, timedCallsByBucket.length)
        .filter(bucket -> timedCallsAbove(bucket) <= maximumCallsAbove)
        .findFirst()
        .orElse(timedCallsByBucket.length - 1);
  }
}
