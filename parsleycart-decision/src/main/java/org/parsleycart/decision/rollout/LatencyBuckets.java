package org.parsleycart.decision.rollout;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/** Latency buckets. The upper bound of each bucket is √2 times that of the previous one. */
public final class LatencyBuckets {
  /** The number of buckets; the last one has no upper bound. */
  public static final int COUNT = 32;

  private static final double FIRST_BOUND_NANOSECONDS = 100_000;
  private static final double BUCKETS_PER_OCTAVE = 2;

  private LatencyBuckets() {}

  /**
   * Returns the index of the bucket of a latency: 0 up to 100 microseconds, 31 above about 4.6
   * seconds.
   */
  public static int indexOf(Duration latency) {
    requireNonNull(latency, "latency is null");
    double ratio = latency.toNanos() / FIRST_BOUND_NANOSECONDS;
    if (ratio <= 1) {
      return 0;
    }
    double octaves = Math.log(ratio) / Math.log(2);
    return Math.min(COUNT - 1, (int) Math.ceil(octaves * BUCKETS_PER_OCTAVE));
  }
}
