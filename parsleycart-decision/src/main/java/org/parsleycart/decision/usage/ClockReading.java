package org.parsleycart.decision.usage;

import java.time.Duration;

/**
 * The readings of three clocks at one moment, in milliseconds. A process can be paused in ways that
 * one of them does not show: the monotonic clock may stop while a VM is suspended, and the wall
 * clock may be stepped.
 *
 * @param boot a clock that goes on while the VM is suspended
 * @param wall the wall clock
 * @param monotonic the monotonic clock of the process
 */
public record ClockReading(long boot, long wall, long monotonic) {

  // -- queries

  /** Returns whether less than a time has passed until a later reading by every clock. */
  boolean isCertainlyWithin(Duration time, ClockReading later) {
    return isWithin(later.boot - boot, time)
        && isWithin(later.wall - wall, time)
        && isWithin(later.monotonic - monotonic, time);
  }

  /** A clock that went backwards does not tell how much time passed. */
  private static boolean isWithin(long elapsed, Duration time) {
    return elapsed >= 0 && elapsed < time.toMillis();
  }

  /** Returns the time until a later reading that has passed by every clock that is never set. */
  Duration certainlyPassed(ClockReading later) {
    return Duration.ofMillis(Math.min(later.boot - boot, later.monotonic - monotonic));
  }

  /** Returns the longest time that may have passed until a later reading. */
  Duration possiblyPassed(ClockReading later) {
    return Duration.ofMillis(
        Math.max(later.wall - wall, Math.max(later.boot - boot, later.monotonic - monotonic)));
  }
}
