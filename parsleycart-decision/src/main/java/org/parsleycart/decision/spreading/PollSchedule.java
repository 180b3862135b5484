package org.parsleycart.decision.spreading;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;

/**
 * Schedules the reads of the configuration head from the platform.
 *
 * <p>The interval grows with the fleet size, so that the platform receives reads at a constant
 * rate. Failures back off exponentially. Every interval is jittered. Not thread-safe: used by one
 * thread.
 */
public final class PollSchedule {
  /** The target rate of reads by the whole fleet. */
  static final double FLEET_READS_PER_SECOND = 50;

  private static final Duration MINIMUM_INTERVAL = Duration.ofSeconds(1);
  private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(30);
  private static final double MILLISECONDS_PER_SECOND = 1000;

  private final RandomGenerator random;
  private Instant nextReadAt;
  private Duration backoff = MINIMUM_INTERVAL;

  // -- construction

  /** Creates a schedule whose first read is due immediately. */
  public PollSchedule(Instant now, RandomGenerator random) {
    this.nextReadAt = requireNonNull(now, "now is null");
    this.random = requireNonNull(random, "random is null");
  }

  // -- queries

  /** Returns whether a read is due. */
  public boolean isDue(Instant now) {
    return !now.isBefore(nextReadAt);
  }

  // -- events

  /**
   * Records a read and schedules the next one.
   *
   * @param hasAnswered whether the platform answered
   * @param isIsolated whether the platform is the only source of information about the rest of the
   *     fleet; failed reads then do not back off
   */
  public void recordRead(boolean hasAnswered, boolean isIsolated, int fleetSize, Instant now) {
    if (!hasAnswered) {
      nextReadAt = now.plus(jittered(isIsolated ? MINIMUM_INTERVAL : backoff));
      backoff = shorter(backoff.multipliedBy(2), MAXIMUM_BACKOFF);
      return;
    }
    backoff = MINIMUM_INTERVAL;
    long milliseconds = (long) (fleetSize / FLEET_READS_PER_SECOND * MILLISECONDS_PER_SECOND);
    Duration interval = Duration.ofMillis(Math.max(MINIMUM_INTERVAL.toMillis(), milliseconds));
    nextReadAt = now.plus(jittered(interval));
  }

  /** Brings the next read forward to about one second from now, unless it is due sooner. */
  public void bringForward(Instant now) {
    Instant soon = now.plus(MINIMUM_INTERVAL);
    if (nextReadAt.isAfter(soon)) {
      nextReadAt = now.plus(jittered(MINIMUM_INTERVAL));
    }
  }

  private Duration jittered(Duration interval) {
    long milliseconds = interval.toMillis();
    return Duration.ofMillis(milliseconds / 2 + random.nextLong(milliseconds + 1));
  }

  private static Duration shorter(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? one : other;
  }
}
