package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

/**
 * Limits the calls that start at an upstream within any second while it is cold.
 *
 * <p>Starts are counted while the upstream is warm as well, because it may have become cold shortly
 * before that is detected. Not thread-safe; callers hold the lock of the owning {@link
 * AdmissionControl}.
 */
final class ColdStartRateLimiter {
  private static final Duration WINDOW = Duration.ofSeconds(1);

  private final Deque<Instant> recentStarts = new ArrayDeque<>();
  private OptionalDouble callsPerSecond;
  private Instant coldUntil;

  // -- construction

  /**
   * Creates a limiter for an upstream that is warm.
   *
   * @param callsPerSecond the calls per second that the upstream sustains while it is cold, or
   *     empty for no limit
   */
  ColdStartRateLimiter(OptionalDouble callsPerSecond, Instant now) {
    this.callsPerSecond = requireNonNull(callsPerSecond, "callsPerSecond is null");
    this.coldUntil = requireNonNull(now, "now is null");
  }

  // -- queries

  boolean isCold(Instant now) {
    return now.isBefore(coldUntil);
  }

  /** Returns whether one more call may start now. */
  boolean isStartAllowed(Instant now) {
    removeExpiredStarts(now);
    return !isCold(now) || callsPerSecond.isEmpty() || recentStarts.size() + 1 <= maximumStarts();
  }

  private double maximumStarts() {
    return Math.max(1, callsPerSecond.orElse(Double.MAX_VALUE));
  }

  // -- events

  /**
   * Sets the calls per second that the upstream sustains while it is cold, or empty for no limit.
   */
  void setCallsPerSecond(OptionalDouble newCallsPerSecond) {
    callsPerSecond = requireNonNull(newCallsPerSecond, "newCallsPerSecond is null");
  }

  /** Sets the time until which the upstream is cold, as it reports itself. */
  void setColdUntil(Instant until) {
    coldUntil = requireNonNull(until, "until is null");
  }

  /** Treats the upstream as cold at least until the given time. */
  void extendColdUntil(Instant until) {
    coldUntil = until.isAfter(coldUntil) ? until : coldUntil;
  }

  void recordStart(Instant now) {
    removeExpiredStarts(now);
    recentStarts.addLast(now);
  }

  private void removeExpiredStarts(Instant now) {
    Instant windowStart = now.minus(WINDOW);
    while (!recentStarts.isEmpty() && recentStarts.peekFirst().isBefore(windowStart)) {
      recentStarts.removeFirst();
    }
  }
}
