package org.parsleycart.decision.spreading;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;

/**
 * When a daemon reads the head of the configuration from the platform.
 *
 * <p>The interval grows with the fleet, so that the platform sees a constant rate of reads;
 * failures back off exponentially. Every interval is jittered. Used by one thread.
 */
public final class PollSchedule {
  /** The rate of reads that the whole fleet aims at, in reads each second. */
  static final double FLEET_READS_PER_SECOND = 50;

  private static final Duration SHORTEST_INTERVAL = Duration.ofSeconds(1);
  private static final Duration LONGEST_BACKOFF = Duration.ofSeconds(30);
  private static final double MILLISECONDS_PER_SECOND = 1000;

  private final RandomGenerator random;
  private Instant next;
  private Duration backoff = SHORTEST_INTERVAL;

  // -- construction

  /** Creates a schedule whose first read is due at once. */
  public PollSchedule(Instant now, RandomGenerator random) {
    this.next = requireNonNull(now, "now is null");
    this.random = requireNonNull(random, "random is null");
  }

  // -- queries

  /** Returns whether a read is due. */
  public boolean isDue(Instant now) {
    return !now.isBefore(next);
  }

  // -- events

  /**
   * Takes note of a read.
   *
   * @param answered whether the platform answered
   * @param isolated whether the platform is the only way to learn of the rest of the fleet
   * @param fleetSize the number of daemons
   * @param now the time
   */
  public void recordRead(boolean answered, boolean isolated, int fleetSize, Instant now) {
    if (!answered) {
      next = now.plus(jittered(isolated ? SHORTEST_INTERVAL : backoff));
      backoff = shorter(backoff.multipliedBy(2), LONGEST_BACKOFF);
      return;
    }
    backoff = SHORTEST_INTERVAL;
    long milliseconds = (long) (fleetSize / FLEET_READS_PER_SECOND * MILLISECONDS_PER_SECOND);
    Duration interval = Duration.ofMillis(Math.max(SHORTEST_INTERVAL.toMillis(), milliseconds));
    next = now.plus(jittered(interval));
  }

  /** Moves the next read up to within the shortest interval. */
  public void bringForward(Instant now) {
    Instant soon = now.plus(SHORTEST_INTERVAL);
    if (next.isAfter(soon)) {
      next = now.plus(jittered(SHORTEST_INTERVAL));
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
