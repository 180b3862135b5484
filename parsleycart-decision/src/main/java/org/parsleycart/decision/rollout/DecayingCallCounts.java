package org.parsleycart.decision.rollout;

import java.util.stream.IntStream;
import org.parsleycart.decision.message.CallCounts;

/** The calls of one version on one route, of which older ones count less and less. */
final class DecayingCallCounts {
  private double good;
  private double failed;
  private final double[] latencies = new double[LatencyBuckets.COUNT];

  // -- events

  void decay(double keptShare) {
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

  double totalCalls() {
    return good + failed;
  }

  /** Returns the share of failed calls, with a prior that keeps few calls from saying much. */
  double failureRate(double priorCalls) {
    return failed / (totalCalls() + priorCalls);
  }

  double timedCalls() {
    return IntStream.range(0, latencies.length).mapToDouble(bucket -> latencies[bucket]).sum();
  }

  double timedCallsAbove(int bucket) {
    return IntStream.range(bucket + 1, latencies.length).mapToDouble(each -> latencies[each]).sum();
  }

  /** Returns the share of timed calls above a bucket, with a prior as for failures. */
  double slowRate(int bucket, double priorCalls) {
    double all = timedCalls() + priorCalls;
    return all == 0 ? 0 : timedCallsAbove(bucket) / all;
  }

  /** Returns the first bucket above which at most the given share of the calls lies. */
  int upperQuantileBucket(double share) {
    double allowed = timedCalls() * share;
    return IntStream.range(0, latencies.length)
        .filter(bucket -> timedCallsAbove(bucket) <= allowed)
        .findFirst()
        .orElse(latencies.length - 1);
  }
}
