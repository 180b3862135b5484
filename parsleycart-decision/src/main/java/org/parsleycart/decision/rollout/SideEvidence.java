package org.parsleycart.decision.rollout;

import java.util.stream.IntStream;
import org.parsleycart.decision.message.CallCounts;

/** The calls of one version on one route, of which older ones count less and less. */
final class SideEvidence {
  private double good;
  private double failed;
  private final double[] latencies = new double[LatencyBuckets.COUNT];

  // -- events

  void forget(double keptShare) {
    good *= keptShare;
    failed *= keptShare;
    for (int bucket = 0; bucket < latencies.length; bucket++) {
      latencies[bucket] *= keptShare;
    }
  }

  void add(CallCounts counts) {
    good += counts.answered();
    failed += counts.failed();
    for (int bucket = 0; bucket < latencies.length; bucket++) {
      latencies[bucket] += counts.latencies().get(bucket);
    }
  }

  // -- queries

  double total() {
    return good + failed;
  }

  /** Returns the share of failed calls, with a prior that keeps few calls from saying much. */
  double failureRate(double priorCalls) {
    return failed / (total() + priorCalls);
  }

  double timed() {
    return IntStream.range(0, latencies.length).mapToDouble(bucket -> latencies[bucket]).sum();
  }

  double timedAbove(int bucket) {
    return IntStream.range(bucket + 1, latencies.length).mapToDouble(each -> latencies[each]).sum();
  }

  /** Returns the share of timed calls above a bucket, with a prior as for failures. */
  double slowRate(int bucket, double priorCalls) {
    double all = timed() + priorCalls;
    return all == 0 ? 0 : timedAbove(bucket) / all;
  }

  /** Returns the first bucket above which at most the given share of the calls lies. */
  int bucketOfShareAbove(double share) {
    double allowed = timed() * share;
    return IntStream.range(0, latencies.length)
        .filter(bucket -> timedAbove(bucket) <= allowed)
        .findFirst()
        .orElse(latencies.length - 1);
  }
}
