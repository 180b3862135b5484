package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Computes how long a caller is asked to wait before it retries a refused request.
 *
 * <p>Delays are randomized, so that callers refused together do not retry together. They are short
 * enough to leave the caller most of its time for the second attempt.
 */
public final class RetryAfterDelay {
  /** The caller protocol limits the wait to a third of the remaining time. */
  private static final double MAXIMUM_SHARE = 0.33;

  /** A shorter wait would meet the same load that caused the refusal. */
  private static final double MINIMUM_SHARE = 0.1;

  private static final Duration MINIMUM_DELAY = Duration.ofMillis(20);

  private RetryAfterDelay() {}

  /**
   * Returns how long the caller should wait, at least 20 ms.
   *
   * @param remaining the time until the deadline of the request
   * @param random the source of the randomized delay
   */
  public static Duration of(Duration remaining, RandomGenerator random) {
    requireNonNull(remaining, "remaining is null");
    requireNonNull(random, "random is null");
    double share = MINIMUM_SHARE + random.nextDouble() * (MAXIMUM_SHARE - MINIMUM_SHARE);
    Duration delay = Duration.ofNanos((long) (remaining.toNanos() * share));
    return delay.compareTo(MINIMUM_DELAY) < 0 ? MINIMUM_DELAY : delay;
  }
}
