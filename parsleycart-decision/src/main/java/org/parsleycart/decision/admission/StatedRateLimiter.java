package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalDouble;

/**
 * Limits the calls that start at an upstream to the rate that the upstream states in its answers: a
 * token bucket. It meters the calls of the whole fleet, because all of them pass the daemon beside
 * the upstream.
 *
 * <p>Not thread-safe; callers hold the lock of the owning {@link AdmissionControl}.
 */
final class StatedRateLimiter {
  /** How much of the rate may be saved up, so that calls that arrive at random use all of it. */
  private static final Duration MAXIMUM_SAVED = Duration.ofMillis(250);

  /**
   * The lowest rate applied. An upstream that states less still gets a call now and then, because
   * only an answer can show that the rate has changed.
   */
  private static final double MINIMUM_CALLS_PER_SECOND = 0.5;

  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private OptionalDouble callsPerSecond = OptionalDouble.empty();
  private double savedCalls;
  private Instant savedUntil;

  // -- construction

  StatedRateLimiter(Instant now) {
    this.savedUntil = requireNonNull(now, "now is null");
  }

  // -- queries

  /** Returns the calls per second that may start, or empty for no limit. */
  OptionalDouble callsPerSecond() {
    return callsPerSecond;
  }

  /** Returns whether one more call may start now. */
  boolean isStartAllowed(Instant now) {
    save(now);
    return callsPerSecond.isEmpty() || savedCalls >= 1;
  }

  // -- events

  /**
   * Records the rate that an answer states.
   *
   * @param stated the calls per second that the upstream takes from all daemons together, or empty
   *     if it states none
   */
  void recordStatedRate(OptionalDouble stated, Instant now) {
    requireNonNull(stated, "stated is null");
    save(now);
    callsPerSecond =
        stated.isEmpty()
            ? stated
            : OptionalDouble.of(Math.max(MINIMUM_CALLS_PER_SECOND, stated.getAsDouble()));
    savedCalls = Math.min(savedCalls, maximumSavedCalls());
  }

  void recordStart(Instant now) {
    save(now);
    savedCalls = Math.max(0, savedCalls - 1);
  }

  private void save(Instant now) {
    double seconds = Duration.between(savedUntil, now).toNanos() / NANOSECONDS_PER_SECOND;
    savedUntil = now;
    savedCalls = Math.min(maximumSavedCalls(), savedCalls + seconds * callsPerSecond.orElse(0));
  }

  private double maximumSavedCalls() {
    return Math.max(1, callsPerSecond.orElse(0) * MAXIMUM_SAVED.toNanos() / NANOSECONDS_PER_SECOND);
  }
}
