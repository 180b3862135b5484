package org.parsleycart.decision.admission;

import java.time.Duration;

/**
 * The moving average of the latencies of an upstream on all routes. Not thread-safe; callers hold
 * the lock of the owning {@link AdmissionControl}.
 */
final class MeanLatency {
  /** Weight of a new sample, so that the average covers roughly the last ten answers. */
  private static final double SAMPLE_WEIGHT = 0.1;

  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private double averageSeconds;
  private boolean hasSample;

  // -- queries

  /** Returns the average in seconds, zero before the first answer. */
  double seconds() {
    return averageSeconds;
  }

  // -- events

  void record(Duration latency) {
    double sample = latency.toNanos() / NANOSECONDS_PER_SECOND;
    averageSeconds =
        hasSample ? averageSeconds + (sample - averageSeconds) * SAMPLE_WEIGHT : sample;
    hasSample = true;
  }
}
