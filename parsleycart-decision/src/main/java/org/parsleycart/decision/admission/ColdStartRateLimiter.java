package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

/**
 * Bounds the calls that start at an upstream in any second while it is cold.
 *
 * <p>Starts are counted also while the upstream is warm, as it may have turned cold a moment before
 * that is known. Used under the lock of its owner.
 */
final class ColdStartRateLimiter {
  private static final Duration WINDOW = Duration.ofSeconds(1);

  private final Deque<Instant> recentStarts = new ArrayDeque<>();
  private OptionalDouble callsPerSecond;
  private Instant coldUntil;

  // -- construction

  /**
   * Creates the bound of an upstream that is warm.
   *
   * @param callsPerSecond what a cold upstream bears, or empty for no bound
   * @param now the time
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

  /** Sets what a cold upstream bears. */
  void setCallsPerSecond(OptionalDouble newCallsPerSecond) {
    callsPerSecond = requireNonNull(newCallsPerSecond, "newCallsPerSecond is null");
  }

  /** Takes note that the upstream is cold up to a time, as it said itself. */
  void setColdUntil(Instant until) {
    coldUntil = requireNonNull(until, "until is null");
  }

  /** Takes note that the upstream may have become cold, at least up to a time. */
  void extendColdUntil(Instant until) {
    coldUntil = until.isAfter(coldUntil) ? until : coldUntil;
  }

  /** Takes note of a call that starts. */
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
