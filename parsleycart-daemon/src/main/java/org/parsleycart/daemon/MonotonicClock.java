package org.parsleycart.daemon;

import java.time.Instant;
import java.time.InstantSource;

/**
 * A clock that starts at the wall-clock time and then follows the monotonic timer, so that it never
 * moves backwards.
 */
public final class MonotonicClock implements InstantSource {
  private final Instant start;
  private final long startNanoseconds;

  // -- construction

  private MonotonicClock(Instant start, long startNanoseconds) {
    this.start = start;
    this.startNanoseconds = startNanoseconds;
  }

  /** Returns a clock that starts at the current wall-clock time. */
  public static MonotonicClock start() {
    return new MonotonicClock(InstantSource.system().instant(), System.nanoTime());
  }

  // -- InstantSource

  @Override
  public Instant instant() {
    return start.plusNanos(System.nanoTime() - startNanoseconds);
  }
}
