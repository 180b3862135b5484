package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * When a caller whose request was refused should come back.
 *
 * <p>Returns are spread, so that those refused together do not come back together, and early enough
 * that the caller still has most of its time for the second try.
 */
public final class RetryAfterDelay {
  /** Callers wait for at most a third of the time that they have left, as their protocol says. */
  private static final double MAXIMUM_SHARE = 0.33;

  /** Earlier than this share of the time left, the load that refused the request still stands. */
  private static final double MINIMUM_SHARE = 0.1;

  private static final Duration MINIMUM_DELAY = Duration.ofMillis(20);

  private RetryAfterDelay() {}

  /**
   * Returns how long to wait.
   *
   * @param remaining the time until the deadline of the request
   * @param random spreads the returns
   */
  public static Duration of(Duration remaining, RandomGenerator random) {
    requireNonNull(remaining, "remaining is null");
    requireNonNull(random, "random is null");
    double share = MINIMUM_SHARE + random.nextDouble() * (MAXIMUM_SHARE - MINIMUM_SHARE);
    Duration delay = Duration.ofNanos((long) (remaining.toNanos() * share));
    return delay.compareTo(MINIMUM_DELAY) < 0 ? MINIMUM_DELAY : delay;
  }
}
